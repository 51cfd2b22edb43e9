"""What callers, replicas and the operator observed during a day."""

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
        Tokens that it counts against its workspace's limit.
    sent_at, ended_at : float
        Monotonic time.
    status : int
        0 if there was no answer.
    seal, echoed_id : str
        The replica's name and the request's id in the answer's headers.
    body : bytes
    events : tuple of int
        Numbers of a stream's events.
    is_stream, is_whole : bool
    left_at : float or None
        When the caller closed its connection before the answer's end.
    limit_s : float
        The lesser of its deadline and its route's time-out.
    event_count : int
        Events of its whole stream.
    reuses_connection : bool
        Whether it was not the first on its connection.
    fully_sent_at : float or None
        When its last byte was sent; None if it was never sent.
    is_reset : bool
        Whether its connection was reset instead of closed.
    resumes : str
        Id of the request that began the stream; empty for a new request.
    resumed_after : int
        Number of the last event that its caller has.
    releases : frozenset of int
        Releases of the replicas that made its events.
    has_spare_target : bool
        Whether two replicas of the stream's release served when it was resumed.
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
    resumes: str = ''
    resumed_after: int = 0
    releases: frozenset[int] = frozenset()
    has_spare_target: bool = False

    @property
    def is_cut(self) -> bool:
        """Whether its connection ended without a whole answer."""
        is_whole = self.is_whole and self.status
        return not is_whole and self.left_at is None


@dataclass(slots=True, frozen=True)
class ReplicaRun:
    """One run of a request on a replica.

    Attributes
    ----------
    ended_at : float
        When the replica stopped working on it.
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
    """The span of a fault, stop, reload or change, and what it affects."""

    subject: str
    begin: float
    end: float


@dataclass(slots=True, frozen=True)
class StatedLimit:
    """A limit that a replica stated, and the requests that it got meanwhile.

    Attributes
    ----------
    replica : str
    rate : float
        Requests per second.
    begin, end : float
    arrivals : tuple of float
        Times of all requests, polls and orders.
    """

    replica: str
    rate: float
    begin: float
    end: float
    arrivals: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class ProcessEnd:
    """The end of a host's process.

    Attributes
    ----------
    host : str
    started_at, ended_at : float
    exit_code : int
        The negated signal number if a signal ended the process.
    last_seen_at : float
        When the process was last observed running.
    stop_requested_at, killed_at : float or None
        When the first signal to stop was sent, and when it was killed.
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
    """Bounds that the operator set for a day.

    Attributes
    ----------
    workspace : str
        The workspace of all keys.
    rate, burst : float
        The workspace's limit, in tokens.
    slack, overshoot : float
        How far a window may exceed the limit, in tokens and as a share of it.
    window_s : float
        Length of the windows in which the limit is checked.
    revoke_s : float
        Time within which a withdrawn key stops working.
    retry_ratio, retry_slack : float
        Allowed retries: a share of a service's requests, and a number.
    retry_window_s : float
    grace_s : float
        Time within which a host ends after a signal to stop.
    config_s : float
        Time within which a configuration or a reload takes effect.
    contact_s : float
        Time within which all hosts know what a replica has stated.
    stated_window_s, stated_share, stated_slack : float
        Length of the windows in which a stated limit is checked, and how far
        they may exceed it: a multiple of it, and a number of requests.
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
    contact_s: float = 3
    stated_window_s: float = 4
    stated_share: float = 1.5
    stated_slack: float = 5


@dataclass(slots=True)
class DayHistory:
    """Everything that was observed during a day.

    Attributes
    ----------
    bounds : DayBounds
    calls : list of Call
    runs : list of ReplicaRun
    services : dict of str to str
        Services by the first part of a path.
    withdrawn_at : dict of str to float
        When each key was withdrawn.
    stops : list of Window
        Planned stops of hosts, from the signal to the last time at which a cut
        request counts as cut by the stop.
    reloads : list of Window
        Reloads of hosts, with the same kind of span.
    changes : list of Window
        Changes of configuration, with the same kind of span.
    faults : list of Window
        Faults of hosts, links and the store, including recovery time.
    ends : list of ProcessEnd
    broken_by_replicas : set of str
        Ids of requests whose connection a replica broke off.
    overfull_engines : list of str
        Engines that were ordered to load more than fits.
    stated_limits : list of StatedLimit
    accepted_fences : dict of str to list of (int, str)
        Fencing numbers and lease holders of the orders that each engine
        accepted.
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
    stated_limits: list[StatedLimit] = field(default_factory=list)
    accepted_fences: dict[str, list[tuple[int, str]]] = field(
        default_factory=dict
    )

    def runs_by_request(self) -> dict[str, list[ReplicaRun]]:
        """Return the runs of each request, by request id."""
        runs: dict[str, list[ReplicaRun]] = defaultdict(list)
        for run in self.runs:
            runs[run.request_id].append(run)
        return runs
