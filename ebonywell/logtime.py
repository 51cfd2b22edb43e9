"""Elapsed time derived from the log, identical on every host."""

from dataclasses import dataclass, field

MAX_VOTES = 15
MAX_VOTE_AGE_OFFSETS = 4096
MAX_STEP_S = 60.0


@dataclass(slots=True)
class Vote:
    """The time stamp of one host's latest record.

    Attributes
    ----------
    offset : int
        The offset of that record in the log.
    written_at : float
        Seconds since the epoch by that host's clock.
    """

    offset: int
    written_at: float


@dataclass(slots=True)
class LogTime:
    """Seconds elapsed in the log, by the median of the writers' clocks.

    A few wrong clocks cannot move the median of the latest writers. A step of
    the median by more than a minute (`MAX_STEP_S`) adds no time: when most
    clocks jump, or nothing is written to the log, records are kept longer,
    never shorter.

    Attributes
    ----------
    elapsed_s : float
        Never decreases.
    mark : float
        The median of the last update of `elapsed_s`, in seconds since the
        epoch.
    votes : dict of str to Vote
        Keyed by host name; the latest writer comes last.
    """

    elapsed_s: float = 0
    mark: float = 0
    votes: dict[str, Vote] = field(default_factory=dict)


def advance(
    time: LogTime,
    offset: int,
    writer: str,
    written_at: float,
) -> None:
    """Update the elapsed time with one record's time stamp.

    Parameters
    ----------
    time : LogTime
        Changed in place.
    offset : int
    writer : str
        Host name and incarnation; all incarnations of a host share one vote.
    written_at : float
        Seconds since the epoch by the writer's clock.
    """
    host = writer.partition('/')[0]
    time.votes.pop(host, None)
    time.votes[host] = Vote(offset, written_at)
    _drop_old_votes(time, offset)
    step_s = _median(time) - time.mark
    if abs(step_s) > MAX_STEP_S:
        time.mark += step_s
    elif step_s > 0:
        time.mark += step_s
        time.elapsed_s += step_s


def _drop_old_votes(time: LogTime, offset: int) -> None:
    oldest = next(iter(time.votes))
    is_old = time.votes[oldest].offset + MAX_VOTE_AGE_OFFSETS < offset
    if is_old or len(time.votes) > MAX_VOTES:
        time.votes.pop(oldest)


def _median(time: LogTime) -> float:
    times = sorted(vote.written_at for vote in time.votes.values())
    # The lower of the two middle values, so that records are kept longer.
    return times[(len(times) - 1) // 2]
