"""Requests missing models and adapters from the lease holder."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from .adapterloads import LoadRequest
from .clock import boot_time
from .inbound import AdmittedRequest
from .inventory import Inventory
from .loading import load_s
from .routetable import EngineSpec

# Interval after which a load request is sent again, since it or its answer may
# have been lost.
REQUEST_GAP_S = 0.12
# Expected time for the order and the notification of a load.
ORDER_READY_S = 0.2
ADAPTER_READY_S = 0.1


@dataclass(slots=True)
class LoadRequests:
    """Recent load requests of this host.

    Attributes
    ----------
    inventory : Inventory
    has_holder : callable
        Returns whether this host knows of a lease holder that gives orders.
    send : callable
        Sends a load request to the lease holder.
    is_load_under_way : callable
        Returns whether a model, given by service and name, is loading.
    load_left_s : callable
        Returns how long that load is expected to take yet, 0 if unknown.
    engine_of : callable
        Returns the engine capacity of a service, None for a plain service.
    requested_at : dict of LoadRequest to float
        When each load request was last sent.
    """

    inventory: Inventory
    has_holder: Callable[[], bool]
    send: Callable[[LoadRequest], None]
    is_load_under_way: Callable[[str, str], bool]
    load_left_s: Callable[[str, str], float]
    engine_of: Callable[[str], EngineSpec | None]
    requested_at: dict[LoadRequest, float] = field(default_factory=dict)

    def request_load(self, call: AdmittedRequest, target: str = '') -> float:
        """Request the model or adapter that a caller's request lacks.

        Parameters
        ----------
        call : AdmittedRequest
        target : str
            The target that should load the adapter; empty for any.

        Returns
        -------
        float
            Expected time until it is loaded, in seconds; infinite if no host
            gives orders.
        """
        generation = call.generation
        if generation is None or not self.has_holder():
            return math.inf
        wanted = LoadRequest(
            call.service, generation.model, '', target, call.release
        )
        is_present = self._is_present(wanted)
        adapter = generation.adapter if is_present else ''
        request = replace(wanted, adapter=adapter)
        now = boot_time()
        if now - self.requested_at.get(request, -math.inf) >= REQUEST_GAP_S:
            self.requested_at[request] = now
            self.send(request)
        expected_s = ADAPTER_READY_S if generation.adapter else 0
        if is_present:
            return expected_s
        return expected_s + ORDER_READY_S + self.expected_load_s(call)

    def is_loading(self, call: AdmittedRequest) -> bool:
        """Return whether the model of a caller's request is loading."""
        generation = call.generation
        if generation is None:
            return False
        return self.is_load_under_way(call.service, generation.model)

    def expected_load_s(self, call: AdmittedRequest) -> float:
        """Return how long a load of the model of a request takes."""
        generation = call.generation
        engine = self.engine_of(call.service)
        if generation is None or engine is None:
            return 0
        if generation.model not in engine.models:
            return 0
        targets = self.inventory.list_open(call.service)
        times = [load_s(generation.model, known, engine) for known in targets]
        return min(times, default=engine.models[generation.model].load_s)

    def left_s(self, call: AdmittedRequest) -> float:
        """Return how long the load under way takes yet, 0 if unknown."""
        generation = call.generation
        if generation is None:
            return 0
        return self.load_left_s(call.service, generation.model)

    def lacks_model(self, call: AdmittedRequest) -> bool:
        """Return whether no target holds the model of a request."""
        generation = call.generation
        if generation is None:
            return False
        return not self._is_present(
            LoadRequest(call.service, generation.model, '', '', call.release)
        )

    def expire(self, now: float) -> None:
        """Drop load requests that may be sent again."""
        for request, requested_at in list(self.requested_at.items()):
            if now - requested_at >= REQUEST_GAP_S:
                self.requested_at.pop(request)

    def _is_present(self, wanted: LoadRequest) -> bool:
        now = boot_time()
        holding = [
            known
            for known in self.inventory.list_open(wanted.service)
            if known.holds(wanted.model) and wanted.accepts(known)
        ]
        if wanted.release is None:
            return bool(holding)
        # The target that broke off a stream may have crashed, and only a few
        # others can go on with it.
        return any(known.is_reachable(now) for known in holding)
