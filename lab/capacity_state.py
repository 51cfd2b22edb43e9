"""Measures the cost of each kind of record in the state of a host."""

import secrets
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from ebonywell import changes, onceonly, orders, records, registry, suspects
from ebonywell.leases import LeaseClaimed
from ebonywell.state import State, apply_record, decode_state, encode_state
from ebonywell.types import EntryKind

from .slopes import Row, allocated_bytes, min_cpu_seconds

SIZES = (500, 2000, 8000)
MODELS_PER_TARGET = 4
ADAPTERS_PER_MODEL = 4
GIB = 1 << 30
Bodies = Iterator[records.Body]


def _entries(count: int) -> Bodies:
    adapters = tuple(
        changes.Adapter(f'adapter-{number}', GIB)
        for number in range(ADAPTERS_PER_MODEL)
    )
    for number in range(count):
        entry = changes.Entry(
            f'model-{number}',
            EntryKind.model,
            bytes=GIB,
            adapters=adapters,
        )
        yield changes.EntrySet(entry)


def _workspaces(count: int) -> Bodies:
    for number in range(count):
        yield changes.WorkspaceSet(
            changes.Workspace(f'workspace-{number}', 1, 1),
        )


def _keys(count: int) -> Bodies:
    yield changes.WorkspaceSet(changes.Workspace('w', 1, 1))
    for _ in range(count):
        yield changes.KeyIssued(
            secrets.token_hex(6),
            secrets.token_hex(32),
            'w',
        )


def _approvals(count: int) -> Bodies:
    yield changes.EntrySet(changes.Entry('e', EntryKind.model))
    yield from _workspaces(count)
    for number in range(count):
        yield changes.ApprovalSet(f'workspace-{number}', 'e', granted=True)


def _targets(count: int) -> Bodies:
    yield LeaseClaimed('host/1', replaces=-1)
    for number in range(count):
        residents = {
            f'model-{(number + step) % count}': orders.Resident(
                GIB,
                {f'adapter-{each}': GIB for each in range(ADAPTERS_PER_MODEL)},
            )
            for step in range(MODELS_PER_TARGET)
        }
        yield orders.TargetSeen(
            fencing=0,
            target=f'engine-{number}',
            incarnation=secrets.token_hex(6),
            memory_bytes=80 * GIB,
            checks_fencing=True,
            residents=residents,
        )


def _once_only(count: int) -> Bodies:
    for _ in range(count):
        key = secrets.token_hex(32)
        claim = secrets.token_hex(16)
        yield onceonly.CallClaimed(
            key,
            claim,
            'counter',
            'orders',
            secrets.token_hex(32),
            'entry-1/1',
        )
        outcome = onceonly.make_outcome(200, 'application/json', b'{}' * 50)
        yield onceonly.CallFinished(key, claim, outcome)


def _suspects(count: int) -> Bodies:
    for _ in range(count):
        yield suspects.RequestSuspected(secrets.token_hex(32), 'engine-1', 'a')


def _hosts(count: int) -> Bodies:
    for number in range(count):
        yield registry.HostRegistered(
            f'entry-{number}',
            secrets.token_hex(6),
            f'10.0.{number // 256}.{number % 256}:7000',
        )
        yield registry.EpochSettled(2 * number)


BODY_MAKERS: Mapping[str, Callable[[int], Bodies]] = MappingProxyType(
    {
        'entry with 4 adapters': _entries,
        'workspace': _workspaces,
        'key': _keys,
        'approval and its workspace': _approvals,
        'target with 4 models of 4 adapters': _targets,
        'once-only call with its outcome': _once_only,
        'suspect': _suspects,
        'entry host': _hosts,
    }
)


def build_state(bodies: list[records.Body]) -> State:
    """Return the state after applying records."""
    state = State()
    for offset, body in enumerate(bodies):
        record = records.make_record(body, 'entry-1/1', 0)
        apply_record(state, offset, record)
    return state


def measure_state() -> list[Row]:
    """Return memory, checkpoint size and times for each kind and size.

    The times are those to read and apply records, and to decode and encode a
    checkpoint.
    """
    rows: list[Row] = []
    for name, make_bodies in BODY_MAKERS.items():
        for size in SIZES:
            rows.extend(
                _measure_record_kind(name, size, list(make_bodies(size)))
            )
    return rows


def _measure_record_kind(
    name: str,
    size: int,
    bodies: list[records.Body],
) -> list[Row]:
    parsed = [
        records.to_json(records.make_record(body, 'entry-1/1', 0))
        for body in bodies
    ]
    encoded = encode_state(build_state(bodies))
    return [
        Row(
            f'memory: {name}',
            size,
            # Decoded from a checkpoint, so that the state shares no objects
            # with the records.
            allocated_bytes(lambda: decode_state(encoded)),
            'bytes',
        ),
        Row(f'checkpoint: {name}', size, len(encoded), 'bytes'),
        Row(
            f'read and apply: {name}',
            size,
            min_cpu_seconds(lambda: _replay(parsed)),
            's',
        ),
        Row(
            f'decode and encode: {name}',
            size,
            min_cpu_seconds(lambda: encode_state(decode_state(encoded))),
            's',
        ),
    ]


def _replay(parsed: list[object]) -> None:
    state = State()
    for offset, raw_record in enumerate(parsed):
        apply_record(state, offset, records.parse_record(raw_record))
