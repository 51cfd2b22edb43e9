"""Weighs two forms of configuration: the whole catalogue, or one change.

Operators conflicts_per_change: each reads, changes one entry, and appends what names the
revision that it read. A loser reads again and tries again.
"""

import random
from dataclasses import dataclass

import cyclopts
import msgspec

from ebonywell import changes, records
from ebonywell.types import EntryKind

app = cyclopts.App()
ENTRY_COUNTS = (50, 300, 1300)
OPERATOR_COUNTS = (1, 2, 8)
CHANGES_PER_OPERATOR = 200


@dataclass(slots=True)
class ConfigurationRow:
    """One way at one size.

    Attributes
    ----------
    way : str
    entries : str
    operators : str
    bytes_a_change : float
        Appended to the log for each accepted change, lost tries too.
    conflicts_a_change : float
    """

    way: str
    entries: str
    operators: str
    bytes_a_change: float
    conflicts_a_change: float


def make_entry(number: int, owner: str) -> changes.Entry:
    """Return an entry of a common size."""
    adapters = tuple(
        changes.Adapter(f'adapter-{each}', 1 << 30) for each in range(4)
    )
    return changes.Entry(
        f'model-{number}',
        EntryKind.model,
        owner,
        bytes=1 << 34,
        adapters=adapters,
    )


def _record_bytes(body: records.Body) -> int:
    record = records.make_record(body, 'entry-1/0123456789ab', 1e9)
    return len(msgspec.json.encode(records.to_json(record)))


def conflicts_per_change(
    entries: int,
    operators: int,
    is_whole: bool,
    rng: random.Random,
) -> float:
    """Return the conflicts for each accepted change.

    In each round every operator has read the same state and appends its
    change; those that lose take part in the next round again.
    """
    wanted = [CHANGES_PER_OPERATOR for _ in range(operators)]
    pending = [rng.randrange(entries) for _ in range(operators)]
    conflicts = 0
    while any(wanted):
        taken: set[int] = set()
        racing = [one for one in range(operators) if wanted[one]]
        rng.shuffle(racing)
        for one in racing:
            thing = 0 if is_whole else pending[one]
            if thing in taken:
                conflicts += 1
                continue
            taken.add(thing)
            wanted[one] -= 1
            pending[one] = rng.randrange(entries)
    return conflicts / (CHANGES_PER_OPERATOR * operators)


def measure(seed: int = 1) -> list[ConfigurationRow]:
    """Return bytes and conflicts for each way, size and number of operators."""
    rows = []
    for entries in ENTRY_COUNTS:
        sizes = [
            _record_bytes(changes.EntrySet(make_entry(number, 'team')))
            for number in range(entries)
        ]
        for operators in OPERATOR_COUNTS:
            for is_whole in (True, False):
                rng = random.Random(seed)
                lost = conflicts_per_change(entries, operators, is_whole, rng)
                size = sum(sizes) if is_whole else sum(sizes) / entries
                rows.append(
                    ConfigurationRow(
                        'whole catalogue' if is_whole else 'one change',
                        str(entries),
                        str(operators),
                        size * (1 + lost),
                        lost,
                    ),
                )
    return rows


@app.default
def main(seed: int = 1) -> None:
    """Print all rows."""
    for row in measure(seed):
        print(
            f'{row.way:16} {row.entries:>5} entries {row.operators:>2} writers '
            f'{row.bytes_a_change:12.0f} bytes {row.conflicts_a_change:8.3f}',
        )


if __name__ == '__main__':
    app()
