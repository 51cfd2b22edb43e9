"""Records about targets that came, changed their life, or went."""

from collections.abc import Iterable, Iterator, Mapping

from .changes import Entry
from .memory import Memory
from .orders import Resident, TargetGone, TargetSeen
from .targets import Report, ResidentModel, Target, TargetTable

GONE_AFTER_S = 10.0
_ENGINE = 'engine'


def is_engine(target: Target) -> bool:
    """Return whether a target takes orders."""
    return target.listed.role == _ENGINE


def engines(table: TargetTable) -> list[Target]:
    """Return the targets of the host list that take orders."""
    return [target for target in table.by_name.values() if is_engine(target)]


def wants_visit(memory: Memory, target: Target) -> bool:
    """Return whether the lease's holder has business with a target now.

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


def seen(
    memory: Memory,
    entries: Mapping[str, Entry],
    fencing: int,
    report: Report,
) -> TargetSeen | None:
    """Return the record that a report calls for, if it shows a new life.

    Parameters
    ----------
    memory : Memory
    entries : mapping of str to Entry
        They say what the adapters of the report take.
    fencing : int
    report : Report
        Read under the lease with that fencing number, so that it cannot be
        older than what the log says already.
    """
    known = memory.get(report.name)
    is_same = known is not None and known.incarnation == report.incarnation
    if is_same and known is not None and not known.gone:
        return None
    residents = {
        one.model: _resident(entries.get(one.model), one)
        for one in report.models
    }
    named = sum(
        one.bytes + sum(one.adapters.values()) for one in residents.values()
    )
    return TargetSeen(
        fencing,
        report.name,
        report.incarnation,
        report.memory_bytes,
        report.checks_fencing,
        max(report.used_bytes - named, 0),
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


def gone(
    memory: Memory,
    targets: Iterable[Target],
    fencing: int,
    now: float,
) -> Iterator[TargetGone]:
    """Iterate over the records for targets that serve nobody any more.

    Parameters
    ----------
    memory : Memory
    targets : iterable of Target
        Those of the host list.
    fencing : int
    now : float
        In seconds, by the clock of the reports.
    """
    listed = tuple(targets)
    if not listed:
        # The host list has not been read yet.
        return
    heard = {
        target.name
        for target in listed
        if not target.failing or now - target.reported_at < GONE_AFTER_S
    }
    for name, known in memory.items():
        if not known.gone and name not in heard:
            yield TargetGone(fencing, name)
