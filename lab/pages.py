"""Makes and checks the parts of the pages that come from the code.

``python -m lab.pages`` writes the settings table into docs/OPERATORS.md.
"""

import ast
import dataclasses
import re
from collections.abc import Iterator
from pathlib import Path

from ebonywell.config import Settings

OPERATORS = Path('docs/OPERATORS.md')
PACKAGE = Path('ebonywell')
BEGIN = '<!-- settings: made by python -m lab.pages -->'
END = '<!-- end of settings -->'
_FIELD = re.compile(r'^    (\w+) : (\w+)\n((?:        .*\n)+)', re.MULTILINE)
_LOGGERS = frozenset(('log', 'record', 'write_event'))
_REFUSERS = frozenset(('refuse', 'unknown', 'Refusal', 'make', '_fail'))
_CODE = re.compile('[a-z]+(_[a-z]+)*')


def settings_table() -> str:
    """Return the table of the settings of an entry process."""
    lines = ['| flag | environment | default | what |', '|---|---|---|---|']
    explained = {
        name: ' '.join(text.split())
        for name, _, text in _FIELD.findall(Settings.__doc__ or '')
    }
    for field in dataclasses.fields(Settings):
        dashed = field.name.replace('_', '-')
        lines.append(
            f'| `--{dashed}` | `EBONYWELL_{field.name.upper()}` '
            f'| {_show_default(field.default)} | {explained[field.name]} |',
        )
    return '\n'.join(lines)


def _show_default(default: object) -> str:
    if default is dataclasses.MISSING:
        return 'needed'
    return 'empty' if default == '' else f'`{default}`'


def with_settings(page: str) -> str:
    """Return the operators' page with the table as the code has it."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f'{before}{BEGIN}\n{settings_table()}\n{END}{after}'


def event_names() -> set[str]:
    """Return the events that the package writes."""
    return set(_first_arguments(_LOGGERS))


def error_codes() -> set[str]:
    """Return the codes of all refusals and failures in the package."""
    return set(_first_arguments(_REFUSERS))


def _first_arguments(names: frozenset[str]) -> Iterator[str]:
    for path in PACKAGE.glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _called(node) in names:
                yield from _codes_in(node)


def _called(node: ast.Call) -> str:
    if isinstance(node.func, ast.Attribute):
        return node.func.attr
    return getattr(node.func, 'id', '')


def _codes_in(node: ast.Call) -> Iterator[str]:
    """Yield the code or event, which may be one of a choice of two."""
    for argument in node.args[:2]:
        found = [
            part.value
            for part in ast.walk(argument)
            if isinstance(part, ast.Constant)
            and isinstance(part.value, str)
            and _CODE.fullmatch(part.value)
        ]
        if found:
            yield from found
            return


def main() -> None:
    """Write the settings table into the operators' page."""
    OPERATORS.write_text(with_settings(OPERATORS.read_text()))


if __name__ == '__main__':
    main()
