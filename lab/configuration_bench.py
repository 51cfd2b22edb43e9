"""Compares two forms of change records: the whole catalogue, or one entry.

Operators change the catalogue concurrently: each reads it, changes one entry,
and appends a record that names the revision that it read. An operator whose
record conflicts reads again and retries.
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
    """Results of one form of records for one size and number of operators.

    Attributes
    ----------
    way : str
    entries : str
    operators : str
    bytes_a_change : float
        Bytes appended to the log per accepted change, including the attempts
        that conflicted.
    conflicts_a_change : float
    """

    way: str
    entries: str
    operators: str
    bytes_a_change: float
    conflicts_a_change: float


def make_entry(number: int, owner: str) -> changes.Entry:
    """Return a catalogue entry of typical size."""
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
    """Return the number of conflicts per accepted change.

    In each round, all operators read the same state and append their change.
    Operators whose change conflicted retry in the next round.
    """
    remaining = [CHANGES_PER_OPERATOR for _ in range(operators)]
    pending = [rng.randrange(entries) for _ in range(operators)]
    conflicts = 0
    while any(remaining):
        changed: set[int] = set()
        writers = [one for one in range(operators) if remaining[one]]
        rng.shuffle(writers)
        for one in writers:
            subject = 0 if is_whole else pending[one]
            if subject in changed:
                conflicts += 1
                continue
            changed.add(subject)
            remaining[one] -= 1
            pending[one] = rng.randrange(entries)
    return conflicts / (CHANGES_PER_OPERATOR * operators)


def measure(seed: int = 1) -> list[ConfigurationRow]:
    """Return a row for each form of records, size and number of operators."""
    rows = []
    for entries in ENTRY_COUNTS:
        sizes = [
            _record_bytes(changes.EntrySet(make_entry(number, 'team')))
            for number in range(entries)
        ]
        for operators in OPERATOR_COUNTS:
            for is_whole in (True, False):
                rng = random.Random(seed)
                conflicts = conflicts_per_change(
                    entries, operators, is_whole, rng
                )
                size = sum(sizes) if is_whole else sum(sizes) / entries
                rows.append(
                    ConfigurationRow(
                        'whole catalogue' if is_whole else 'one change',
                        str(entries),
                        str(operators),
                        size * (1 + conflicts),
                        conflicts,
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
