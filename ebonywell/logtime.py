"""Time that passes with the log, alike on every host."""

from dataclasses import dataclass, field

MAX_VOTES = 15
MAX_VOTE_AGE_OFFSETS = 4096
MAX_STEP_S = 60.0


@dataclass(slots=True)
class Vote:
    """The newest time that one host wrote.

    Attributes
    ----------
    offset : int
        Where it stands in the log.
    written_at : float
        Seconds since the epoch by that host's clock.
    """

    offset: int
    written_at: float


@dataclass(slots=True)
class LogTime:
    """Seconds that have passed in the log by most of the writers' clocks.

    A few wrong clocks cannot move the median of the latest writers. A step of
    the median by more than a minute adds nothing: when most clocks jump, or
    the log is silent, records last longer, never shorter.

    Attributes
    ----------
    elapsed_s : float
        Never falls.
    mark : float
        The median up to which `elapsed_s` counts, in seconds since the epoch.
    votes : dict of str to Vote
        By host name, the latest writer last.
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
    """Count one record's time.

    Parameters
    ----------
    time : LogTime
        Changed in place.
    offset : int
    writer : str
        Host name and incarnation; a host has one vote.
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
    # The lower of the two in the middle: records then last longer.
    return times[(len(times) - 1) // 2]
