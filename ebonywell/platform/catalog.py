"""The operator's configuration as the platform's store holds it."""

import msgspec

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
_MS = 0.001
_MEGABYTE = 1_000_000
_TOKENS = 'tokens'
_KINDS = {
    'idempotent': RequestKind.idempotent,
    'non_idempotent': RequestKind.once,
    'streaming': RequestKind.stream,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    kind: str
    timeoutMs: float
    goalMs: float = 1000
    priority: int = 0
    service: str = ''
    split: tuple[_Split, ...] = ()
    # Counts targets that run the request, not those that reject it.
    maxAttempts: int = 1
    anonymous: bool = False
    allowResume: bool = False


class _Model(msgspec.Struct):
    name: str
    weightsMb: float
    loadS: float = 1
    diskS: float = 1
    # From the weights in the replica's memory.
    warmS: float = 1
    adapters: int = 0
    adapterMb: float = 0


class _Engine(msgspec.Struct):
    slots: int = 1
    kvCapacityTokens: int = 0
    weightsMb: float = 0
    adapterSlots: int = 0
    loadsPerS: float = 1
    models: tuple[_Model, ...] = ()


class _Service(msgspec.Struct):
    name: str
    maxConns: int = 100
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: tuple[str, ...] = ()
    ratePerS: float = 0
    burst: float = 0
    unit: str = ''
    plainTokens: int = 1
    priority: int | None = None


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 65536
    maxBodyBytes: int = 4194304
    # The longest that a caller's connection may stay idle.
    idleTimeoutMs: float = 60000


class _Config(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Config, strict=False)


def decode_configuration(body: bytes) -> Configuration:
    """Return the configuration in a record's value.

    Raises
    ------
    RecordError
        If it is none.
    """
    try:
        found = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise RecordError(f'configuration: {error}') from error
    routes: dict[str, dict[str, Route]] = {}
    for route in found.routes:
        of_host = routes.setdefault(route.host.lower(), {})
        of_host[route.pathPrefix] = _translate_route(route)
    return Configuration(
        found.version,
        routes,
        {one.name: _translate_service(one) for one in found.services},
        {one.name: _translate_tenant(one) for one in found.tenants},
        {
            digest_key(key): tenant.name
            for tenant in found.tenants
            for key in tenant.apiKeys
        },
        CallerLimits(
            found.limits.maxHeaderBytes,
            found.limits.maxBodyBytes,
            found.limits.idleTimeoutMs * _MS,
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
        route.pathPrefix,
        kind,
        tuple(services),
        route.timeoutMs * _MS,
        route.goalMs * _MS,
        route.priority,
        max(1, route.maxAttempts),
        route.anonymous,
        kind is RequestKind.stream and route.allowResume,
    )


def _translate_service(service: _Service) -> Service:
    engine = service.engine
    if engine is None:
        return Service(service.name, service.maxConns)
    spec = EngineSpec(
        engine.slots,
        engine.kvCapacityTokens,
        int(engine.weightsMb * _MEGABYTE),
        engine.adapterSlots,
        engine.loadsPerS,
        {one.name: _translate_model(one) for one in engine.models},
    )
    return Service(service.name, service.maxConns, spec)


def _translate_model(model: _Model) -> ModelSpec:
    return ModelSpec(
        model.name,
        int(model.weightsMb * _MEGABYTE),
        model.loadS,
        model.diskS,
        model.warmS,
        model.adapters,
        int(model.adapterMb * _MEGABYTE),
    )


def _translate_tenant(tenant: _Tenant) -> WorkspaceLimit:
    return WorkspaceLimit(
        tenant.name,
        tenant.ratePerS,
        tenant.burst,
        tenant.plainTokens,
        tenant.unit == _TOKENS,
        tenant.priority,
    )
