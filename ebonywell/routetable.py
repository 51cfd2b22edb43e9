"""Routes, services, limits and keys of the operator's configuration."""

import enum
import hashlib
import random
from dataclasses import dataclass, field, replace

from .evacuation.cold import ColdSpec
from .urgency import UrgencyKey, assign_ranks

# Levels of priority among a service's routes from which requests leave headroom
# to more urgent ones. Engines tell two levels apart well enough by themselves.
MIN_PRIORITY_LEVELS = 3


class RequestKind(enum.StrEnum):
    """Whether a request may run more than once, and how it is answered.

    Attributes
    ----------
    idempotent
        It may run more than once; the answer is sent as a whole.
    once
        It must not run more than once; the answer is sent as a whole.
    stream
        The answer is a stream of events.
    """

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Target services and rules for one host name and path prefix.

    Attributes
    ----------
    name, host, path_prefix : str
        The prefix begins and ends with a slash.
    kind : RequestKind
    services : tuple of WeightedService
    timeout_s : float
        Maximum duration of a request, in seconds.
    goal_s : float
        Goal for the time to the first byte, in seconds.
    priority : int
        0 is the most urgent.
    max_runs : int
        Maximum number of targets on which one request may run.
    is_open : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be resumed on another target.
    pause_goal_s : float
        Goal for the longest pause between two events of a stream, in seconds;
        0 for none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    goal_s: float
    priority: int
    max_runs: int
    is_open: bool
    is_resumable: bool
    pause_goal_s: float = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be retried."""
        return self.kind is RequestKind.idempotent or self.is_resumable

    def pick_service(self, rng: random.Random) -> str:
        """Return a random service, chosen by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [one.weight for one in self.services]
        return rng.choices(self.services, weights)[0].service


@dataclass(slots=True, frozen=True)
class ModelSpec:
    """A model that the engines of a service may load.

    Attributes
    ----------
    name : str
    bytes : int
        Size of the weights.
    load_s : float
        Duration of a load from the weight store, in seconds.
    disk_load_s, memory_load_s : float
        Duration of a load from cached weights on the target's own disk or in
        its memory, in seconds.
    adapters : int
        Number of adapters; they are named ``a1`` and so on.
    adapter_bytes : int
        Size of one adapter.
    """

    name: str
    bytes: int
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapters: int
    adapter_bytes: int


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Capacity that all model engines of one service have in common.

    Attributes
    ----------
    slots : int
        Maximum number of requests in a batch.
    cache_tokens : int
        Cache for running requests and cached prompts, in tokens.
    weight_bytes : int
        Memory for weights and adapters.
    adapter_slots : int
    loads_per_s : float
        Loads per second that the weight store allows over all targets.
    models : dict of str to ModelSpec
    tokens_per_event : int
        Output tokens in one event of a stream.
    pause_goal_s : float
        Shortest goal of the service's routes for the longest pause of a
        stream, in seconds; 0 for none.
    ranks : tuple of int
        Ranks of the requests that the service may get, the most urgent first.
    priority_levels : int
        Number of different priorities among the routes to the service.
    """

    slots: int
    cache_tokens: int
    weight_bytes: int
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec]
    tokens_per_event: int = 1
    pause_goal_s: float = 0
    ranks: tuple[int, ...] = ()
    priority_levels: int = 1

    @property
    def has_terms(self) -> bool:
        """Whether requests must leave headroom; see `headroom`."""
        return self.priority_levels >= MIN_PRIORITY_LEVELS


@dataclass(slots=True, frozen=True)
class Service:
    """A group of targets that serve the same requests.

    Attributes
    ----------
    name : str
    max_connections : int
        Maximum number of connections that one target accepts from all
        callers.
    engine : EngineSpec or None
        None for a plain service.
    cold : ColdSpec or None
        None if cold targets take requests at any rate.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    cold: ColdSpec | None = None


@dataclass(slots=True, frozen=True)
class WorkspaceLimit:
    """Token bucket of one workspace, over all hosts together.

    Attributes
    ----------
    name : str
    rate : float
        Tokens per second; 0 for no limit.
    burst : float
        Size of the bucket, in tokens.
    plain_tokens : int
        Charge of a request without a token count.
    is_in_tokens : bool
        Whether the limit counts tokens rather than requests.
    priority : int or None
        Takes precedence over the priority of the route.
    """

    name: str
    rate: float
    burst: float
    plain_tokens: int
    is_in_tokens: bool
    priority: int | None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s : float
        Maximum time from the first byte of a request to the end of its headers.
    body_timeout_s : float
        Maximum time from there to the end of its body.
    idle_timeout_s : float
        Maximum time in which a caller sends nothing, or reads nothing of an
        answer.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    body_timeout_s: float
    idle_timeout_s: float


def urgency_key(route: Route, workspace: WorkspaceLimit | None) -> UrgencyKey:
    """Return the sort key that ranks a workspace's requests on a route."""
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return priority, route.priority, route.goal_s


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is stored and looked up."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


@dataclass(slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
    routes : dict of str to dict of str to Route
        Keyed by host name and path prefix.
    services : dict of str to Service
    workspaces : dict of str to WorkspaceLimit
    key_owners : dict of bytes to str
        Workspaces by the digests of their keys.
    limits : CallerLimits
    engines : dict of str to EngineSpec
        Engine capacity by the name of the service, without plain services.
    ranks : dict of UrgencyKey to int
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    workspaces: dict[str, WorkspaceLimit]
    key_owners: dict[bytes, str]
    limits: CallerLimits
    engines: dict[str, EngineSpec] = field(init=False)
    ranks: dict[UrgencyKey, int] = field(init=False)

    def __post_init__(self) -> None:
        """Index the model engine services and rank the kinds of requests."""
        owners = [None, *self.workspaces.values()]
        routes = [
            route for named in self.routes.values() for route in named.values()
        ]
        self.ranks = assign_ranks(
            urgency_key(route, owner) for route in routes for owner in owners
        )
        self.engines = {
            name: self._describe_requests(service.engine, name)
            for name, service in self.services.items()
            if service.engine is not None
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        Parameters
        ----------
        host : str
            Host name as the caller sent it. The port and the case are ignored.
        path : str
            Path without the query.
        """
        prefixes = self.routes.get(host.lower().partition(':')[0])
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def rank_of(self, route: Route, workspace: WorkspaceLimit | None) -> int:
        """Return the urgency rank of a request; 0 is the most urgent."""
        return self.ranks[urgency_key(route, workspace)]

    def find_workspace(self, key: str) -> WorkspaceLimit | None:
        """Return the workspace that owns a key, None for an unknown key."""
        owner = self.key_owners.get(digest_key(key))
        return None if owner is None else self.workspaces.get(owner)

    def _describe_requests(self, engine: EngineSpec, name: str) -> EngineSpec:
        """Return an engine with the goals and ranks of its requests."""
        routes = [
            route
            for named in self.routes.values()
            for route in named.values()
            if any(one.service == name for one in route.services)
        ]
        goals_s = [one.pause_goal_s for one in routes if one.pause_goal_s > 0]
        ranks = {
            self.rank_of(route, owner)
            for route in routes
            for owner in self._list_owners(route)
        }
        return replace(
            engine,
            pause_goal_s=min(goals_s, default=0),
            ranks=tuple(sorted(ranks)),
            priority_levels=len({one.priority for one in routes}),
        )

    def _list_owners(self, route: Route) -> list[WorkspaceLimit | None]:
        """Return the workspaces that a route's requests may belong to."""
        if route.is_open or not self.workspaces:
            return [None]
        return list(self.workspaces.values())
