"""Bounds for the connections of a host's callers."""

from ..callermemory import CallerMemory, callers_memory_bytes
from ..callers import DEFAULT_LIMITS, Callers, max_caller_connections
from ..hostgauges import add_caller_gauges
from ..hostprocess import HostProcess
from ..routetable import CallerLimits
from . import headers


def make_callers(host: HostProcess) -> Callers:
    """Return the bounds for the connections of a host's callers.

    The operator's limits are in force as soon as the host knows them.
    """

    def limits() -> CallerLimits:
        configuration = host.known.intake.configuration
        return configuration.limits if configuration else DEFAULT_LIMITS

    settings = host.settings
    callers = Callers(
        limits=limits,
        memory=CallerMemory(callers_memory_bytes(settings.memory_bytes)),
        max_connections=max_caller_connections(settings.max_descriptors),
        request_id_header=headers.REQUEST_ID,
        log=host.log,
        count=host.metrics.count,
    )
    add_caller_gauges(host.metrics, callers)
    return callers
