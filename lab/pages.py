"""Generates and checks the parts of the documentation taken from the code.

``python -m lab.pages`` writes the settings table into docs/OPERATORS_PAGE.md.
"""

import ast
import dataclasses
import re
from collections.abc import Iterator
from pathlib import Path

from ebonywell.config import Settings

OPERATORS_PAGE = Path('docs/OPERATORS.md')
PACKAGE = Path('ebonywell')
BEGIN_MARKER = '<!-- settings: made by python -m lab.pages -->'
END_MARKER = '<!-- end of settings -->'
_DOCUMENTED_FIELD = re.compile(
    r'^    (\w+) : (\w+)\n((?:        .*\n)+)', re.MULTILINE
)
_EVENT_FUNCTIONS = frozenset(('log', 'record', 'write_event'))
_ERROR_FUNCTIONS = frozenset(('refuse', 'unknown', 'Refusal', 'make', '_fail'))
_SNAKE_CASE = re.compile('[a-z]+(_[a-z]+)*')


def settings_table() -> str:
    """Return the settings of an entry process as a Markdown table."""
    lines = ['| flag | environment | default | what |', '|---|---|---|---|']
    descriptions = {
        name: ' '.join(text.split())
        for name, _, text in _DOCUMENTED_FIELD.findall(Settings.__doc__ or '')
    }
    for field in dataclasses.fields(Settings):
        flag = field.name.replace('_', '-')
        lines.append(
            f'| `--{flag}` | `EBONYWELL_{field.name.upper()}` '
            f'| {_format_default(field.default)} '
            f'| {descriptions[field.name]} |',
        )
    return '\n'.join(lines)


def _format_default(default: object) -> str:
    if default is dataclasses.MISSING:
        return 'needed'
    return 'empty' if default == '' else f'`{default}`'


def replace_settings_table(page: str) -> str:
    """Return the operators' page with its settings table regenerated."""
    before, _, rest = page.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    return f'{before}{BEGIN_MARKER}\n{settings_table()}\n{END_MARKER}{after}'


def event_names() -> set[str]:
    """Return the names of the events that the package logs."""
    return set(_literals_passed_to(_EVENT_FUNCTIONS))


def error_codes() -> set[str]:
    """Return the codes of all errors that the package sends."""
    return set(_literals_passed_to(_ERROR_FUNCTIONS))


def _literals_passed_to(functions: frozenset[str]) -> Iterator[str]:
    for path in PACKAGE.glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _function_name(node) in functions:
                yield from _codes_in(node)


def _function_name(node: ast.Call) -> str:
    if isinstance(node.func, ast.Attribute):
        return node.func.attr
    return getattr(node.func, 'id', '')


def _codes_in(node: ast.Call) -> Iterator[str]:
    """Yield the error code or event name, or both of a conditional one."""
    for argument in node.args[:2]:
        codes = [
            part.value
            for part in ast.walk(argument)
            if isinstance(part, ast.Constant)
            and isinstance(part.value, str)
            and _SNAKE_CASE.fullmatch(part.value)
        ]
        if codes:
            yield from codes
            return


def main() -> None:
    """Write the settings table into the operators' page."""
    OPERATORS_PAGE.write_text(
        replace_settings_table(OPERATORS_PAGE.read_text())
    )


if __name__ == '__main__':
    main()
