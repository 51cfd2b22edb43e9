"""Decodes the operator's configuration from the platform's store."""

from types import MappingProxyType

import msgspec

from ..evacuation.cold import MAX_COLD_S, ColdSpec
from ..exceptions import RecordError
from ..routetable import (
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    RequestKind,
    Route,
    Service,
    WeightedService,
    WorkspaceLimit,
    digest_key,
)

TOPIC = 'keyed.op'
KEY = 'config'
# Records with this prefix before the name of a zone evacuate it.
EVACUATION_PREFIX = 'evacuate/'
_MS = 0.001
_MEGABYTE = 1_000_000
_TOKENS = 'tokens'
_KINDS = MappingProxyType(
    {
        'idempotent': RequestKind.idempotent,
        'non_idempotent': RequestKind.once,
        'streaming': RequestKind.stream,
    }
)


class _Split(msgspec.Struct, rename='camel'):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 1000
    # Goal for the longest pause between two events of a stream; 0 for none.
    gap_aim_ms: float = 0
    priority: int = 0
    service: str = ''
    split: tuple[_Split, ...] = ()
    # Only targets that ran the request count, not those that rejected it.
    max_attempts: int = 1
    anonymous: bool = False
    allow_resume: bool = False


class _Model(msgspec.Struct, rename='camel'):
    name: str
    weights_mb: float
    load_s: float = 1
    disk_s: float = 1
    # Load time when the weights are cached in the replica's memory.
    warm_s: float = 1
    adapters: int = 0
    adapter_mb: float = 0


class _Engine(msgspec.Struct, rename='camel'):
    slots: int = 1
    kv_capacity_tokens: int = 0
    weights_mb: float = 0
    adapter_slots: int = 0
    loads_per_s: float = 1
    # Output tokens in one event of a stream.
    stride: int = 1
    models: tuple[_Model, ...] = ()


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_conns: int = 100
    # Time for which a target is cold after its start, and the requests per
    # second that it takes then; 0 for any number.
    cold_start_s: float = 0
    cold_per_s: float = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: tuple[str, ...] = ()
    rate_per_s: float = 0
    burst: float = 0
    unit: str = ''
    plain_tokens: int = 1
    priority: int | None = None


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 65536
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10000
    # Idle time after which a caller's connection is closed.
    idle_timeout_ms: float = 60000


class _Config(msgspec.Struct, rename='camel'):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Config, strict=False)


def decode_configuration(body: bytes) -> Configuration:
    """Decode the configuration from a record's value.

    Raises
    ------
    RecordError
        If the value is not a valid configuration.
    """
    try:
        found = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise RecordError(f'configuration: {error}') from error
    routes: dict[str, dict[str, Route]] = {}
    for route in found.routes:
        of_host = routes.setdefault(route.host.lower(), {})
        of_host[route.path_prefix] = _translate_route(route)
    return Configuration(
        found.version,
        routes,
        {one.name: _translate_service(one) for one in found.services},
        {one.name: _translate_tenant(one) for one in found.tenants},
        {
            digest_key(key): tenant.name
            for tenant in found.tenants
            for key in tenant.api_keys
        },
        CallerLimits(
            found.limits.max_header_bytes,
            found.limits.max_body_bytes,
            found.limits.header_timeout_ms * _MS,
            # No route waits longer for a request.
            max((one.timeout_ms for one in found.routes), default=0) * _MS,
            found.limits.idle_timeout_ms * _MS,
        ),
    )


def _translate_route(route: _Route) -> Route:
    kind = _KINDS.get(route.kind)
    if kind is None:
        raise RecordError(f'route {route.name}: unknown kind {route.kind}')
    services = [WeightedService(one.service, one.weight) for one in route.split]
    if not services:
        services.append(WeightedService(route.service, 1))
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        kind,
        tuple(services),
        route.timeout_ms * _MS,
        route.goal_ms * _MS,
        route.priority,
        max(1, route.max_attempts),
        route.anonymous,
        kind is RequestKind.stream and route.allow_resume,
        max(0, route.gap_aim_ms) * _MS,
    )


def _translate_service(service: _Service) -> Service:
    engine = service.engine
    cold = None
    if service.cold_per_s > 0:
        start_s = min(max(service.cold_start_s, 0), MAX_COLD_S)
        cold = ColdSpec(start_s, service.cold_per_s)
    if engine is None:
        return Service(service.name, service.max_conns, cold=cold)
    spec = EngineSpec(
        engine.slots,
        engine.kv_capacity_tokens,
        int(engine.weights_mb * _MEGABYTE),
        engine.adapter_slots,
        engine.loads_per_s,
        {one.name: _translate_model(one) for one in engine.models},
        max(1, engine.stride),
    )
    return Service(service.name, service.max_conns, spec, cold)


def _translate_model(model: _Model) -> ModelSpec:
    return ModelSpec(
        model.name,
        int(model.weights_mb * _MEGABYTE),
        model.load_s,
        model.disk_s,
        model.warm_s,
        model.adapters,
        int(model.adapter_mb * _MEGABYTE),
    )


def _translate_tenant(tenant: _Tenant) -> WorkspaceLimit:
    return WorkspaceLimit(
        tenant.name,
        tenant.rate_per_s,
        tenant.burst,
        tenant.plain_tokens,
        tenant.unit == _TOKENS,
        tenant.priority,
    )
