"""What callers, replicas and the operator saw of a day."""

import math
from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Call:
    """A request as its caller saw it.

    Attributes
    ----------
    request_id, path, key, host : str
    is_repeatable : bool
    tokens : int
        That it counts against its workspace's limit.
    sent_at, ended_at : float
        By the clock of the day.
    status : int
        0 for no answer.
    seal, echoed_id : str
        What the answer bore of its replica and of its request.
    body : bytes
    events : tuple of int
        Numbers of a stream's events.
    is_stream, is_whole : bool
    left_at : float or None
        When the caller closed its connection before the answer's end.
    limit_s : float
        The lesser of its deadline and its route's timeout.
    event_count : int
        That its whole stream has.
    reuses_connection : bool
        Whether it was not the first on its connection.
    fully_sent_at : float or None
        When its last byte was sent; None if that never was.
    is_reset : bool
        Whether its connection was reset, and not closed.
    """

    request_id: str
    path: str
    key: str
    host: str
    is_repeatable: bool
    tokens: int
    sent_at: float
    ended_at: float
    status: int
    seal: str = ''
    echoed_id: str = ''
    body: bytes = b''
    events: tuple[int, ...] = ()
    is_stream: bool = False
    is_whole: bool = True
    left_at: float | None = None
    limit_s: float = math.inf
    event_count: int = 5
    reuses_connection: bool = False
    fully_sent_at: float | None = None
    is_reset: bool = False

    @property
    def is_cut(self) -> bool:
        """Whether its connection ended without a whole answer."""
        is_whole = self.is_whole and self.status
        return not is_whole and self.left_at is None


@dataclass(slots=True, frozen=True)
class ReplicaRun:
    """A request that a replica began to run.

    Attributes
    ----------
    ended_at : float
        When the replica had no more work with it.
    """

    request_id: str
    replica: str
    service: str
    started_at: float
    path: str
    workspace: str
    has_key: bool
    ended_at: float = math.inf


@dataclass(slots=True, frozen=True)
class Window:
    """A time in which something held, such as a fault or a stop."""

    subject: str
    begin: float
    end: float


@dataclass(slots=True, frozen=True)
class ProcessEnd:
    """The end of a host's process.

    Attributes
    ----------
    host : str
    started_at, ended_at : float
    exit_code : int
        What it ended with; the signal below 0.
    last_seen_at : float
        When it was last seen running.
    stop_requested_at, killed_at : float or None
        When it was told to stop, and when it was killed.
    """

    host: str
    started_at: float
    ended_at: float
    exit_code: int
    last_seen_at: float
    stop_requested_at: float | None = None
    killed_at: float | None = None


@dataclass(slots=True, frozen=True)
class DayBounds:
    """What the operator allowed on the day.

    Attributes
    ----------
    workspace : str
        That holds all keys.
    rate, burst, slack, overshoot : float
        The limit in tokens, and how far a window may lie above it.
    window_s : float
    revoke_s : float
    retry_ratio, retry_slack : float
    retry_window_s : float
    grace_s : float
        In which a host that was told to stop ends.
    config_s : float
        In which a configuration or a reload takes effect.
    """

    workspace: str
    rate: float
    burst: float
    slack: float
    overshoot: float = 0.1
    window_s: float = 8
    revoke_s: float = 5
    retry_ratio: float = 0.2
    retry_slack: float = 56
    retry_window_s: float = 10
    grace_s: float = 8
    config_s: float = 2


@dataclass(slots=True)
class DayHistory:
    """All that was seen.

    Attributes
    ----------
    bounds : DayBounds
    calls : list of Call
    runs : list of ReplicaRun
    services : dict of str to str
        By the first part of a path.
    withdrawn_at : dict of str to float
        When each key was taken away.
    stops : list of Window
        Planned stops by host, from the signal until what they may cut counts
        no more.
    reloads : list of Window
        The same of reloads.
    changes : list of Window
        The same of configurations.
    faults : list of Window
        Of hosts, links and the store, and what it takes to get over them.
    ends : list of ProcessEnd
    broken_by_replicas : set of str
        Requests that a replica broke off.
    overfull_engines : list of str
        Engines that were ordered to load more than they hold.
    accepted_fences : dict of str to list of (int, str)
        Tokens and holders of the orders that each engine accepted.
    """

    bounds: DayBounds
    calls: list[Call] = field(default_factory=list)
    runs: list[ReplicaRun] = field(default_factory=list)
    services: dict[str, str] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    stops: list[Window] = field(default_factory=list)
    reloads: list[Window] = field(default_factory=list)
    changes: list[Window] = field(default_factory=list)
    faults: list[Window] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    broken_by_replicas: set[str] = field(default_factory=set)
    overfull_engines: list[str] = field(default_factory=list)
    accepted_fences: dict[str, list[tuple[int, str]]] = field(
        default_factory=dict
    )

    def runs_by_request(self) -> dict[str, list[ReplicaRun]]:
        """Return the runs of each request."""
        found: dict[str, list[ReplicaRun]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found
