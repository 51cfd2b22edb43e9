"""Makes log records for targets that appear, restart or disappear."""

from collections.abc import Iterable, Iterator, Mapping

from .changes import Entry
from .memory import Memory
from .orders import Resident, TargetGone, TargetSeen
from .targets import Report, ResidentModel, Target, TargetTable

GONE_AFTER_S = 10.0
_ENGINE = 'engine'


def is_engine(target: Target) -> bool:
    """Return whether a target is an engine, and so takes orders."""
    return target.listed.role == _ENGINE


def engines(table: TargetTable) -> list[Target]:
    """Return the engines among the targets of the host list."""
    return [target for target in table.by_name.values() if is_engine(target)]


def needs_poll(memory: Memory, target: Target) -> bool:
    """Return whether the lease holder should poll a target now.

    It should if the target is not in the log, was recorded as gone, has
    unsettled orders, or runs in another incarnation than the log has.

    Parameters
    ----------
    memory : Memory
    target : Target
    """
    if not is_engine(target) or target.report is None or target.failing:
        return False
    known = memory.get(target.name)
    if known is None or known.gone or known.unsettled:
        return True
    return known.incarnation != target.report.incarnation


def make_seen_record(
    memory: Memory,
    entries: Mapping[str, Entry],
    fencing: int,
    report: Report,
) -> TargetSeen | None:
    """Return a record of a target's report if the log needs one.

    It does if the target is new, runs in a new incarnation, or was recorded
    as gone.

    Parameters
    ----------
    memory : Memory
    entries : mapping of str to Entry
        Entries of the catalogue by name, for the sizes of adapters.
    fencing : int
    report : Report
        A report read under the lease with that fencing number, so that it
        can't be older than the state in the log.
    """
    known = memory.get(report.name)
    is_same = known is not None and known.incarnation == report.incarnation
    if is_same and known is not None and not known.gone:
        return None
    residents = {
        one.model: _resident(entries.get(one.model), one)
        for one in report.models
    }
    resident_bytes = sum(
        one.bytes + sum(one.adapters.values()) for one in residents.values()
    )
    return TargetSeen(
        fencing,
        report.name,
        report.incarnation,
        report.memory_bytes,
        report.checks_fencing,
        max(report.used_bytes - resident_bytes, 0),
        residents,
    )


def _resident(entry: Entry | None, model: ResidentModel) -> Resident:
    sizes: dict[str, int] = {}
    if entry is not None:
        sizes = {one.name: one.bytes for one in entry.adapters}
    return Resident(
        model.bytes,
        {name: sizes.get(name, 0) for name in model.adapters},
    )


def make_gone_records(
    memory: Memory,
    targets: Iterable[Target],
    fencing: int,
    now: float,
) -> Iterator[TargetGone]:
    """Iterate over records for targets that no longer serve requests.

    Parameters
    ----------
    memory : Memory
    targets : iterable of Target
        The engines in the host list.
    fencing : int
    now : float
        Current time, in seconds, by the clock of ``Target.reported_at``.
    """
    listed = tuple(targets)
    if not listed:
        # The host list has not been read yet.
        return
    answering = {
        target.name
        for target in listed
        if not target.failing or now - target.reported_at < GONE_AFTER_S
    }
    for name, known in memory.items():
        if not known.gone and name not in answering:
            yield TargetGone(fencing, name)
