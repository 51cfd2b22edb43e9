"""Asks the holder of the lease for models and adapters that are missing."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from .adapterloads import LoadRequest
from .clock import boot_time
from .inbound import Generation, InboundCall
from .inventory import Inventory

# A question or its answer may be lost; after this long it is asked again.
REQUEST_GAP_S = 0.12
# An order, the load and the news of it; see the deployments' sheets for how
# long loads take.
MODEL_READY_S = 1.4
ADAPTER_READY_S = 0.1


@dataclass(slots=True)
class LoadRequests:
    """The questions that this host has asked of late.

    Attributes
    ----------
    inventory : Inventory
    has_holder : callable
        Whether some host gives orders now, as far as this one knows.
    send : callable
        Sends a question to the holder of the lease.
    is_load_under_way : callable
        Takes a service and a model; whether a load of it is under way.
    requested_at : dict of LoadRequest to float
    """

    inventory: Inventory
    has_holder: Callable[[], bool]
    send: Callable[[LoadRequest], None]
    is_load_under_way: Callable[[str, str], bool]
    requested_at: dict[LoadRequest, float] = field(default_factory=dict)

    def request_load(self, call: InboundCall, target: str = '') -> float:
        """Ask for what a request misses.

        Parameters
        ----------
        call : InboundCall
        target : str
            Where its adapter is wanted; empty for anywhere.

        Returns
        -------
        float
            After how many seconds it may be there; infinite if nobody can
            bring it now.
        """
        generation = call.generation
        if generation is None or not self.has_holder():
            return math.inf
        is_present = self._is_present(call.service, generation)
        adapter = generation.adapter if is_present else ''
        wanted = LoadRequest(call.service, generation.model, adapter, target)
        now = boot_time()
        if now - self.requested_at.get(wanted, -math.inf) >= REQUEST_GAP_S:
            self.requested_at[wanted] = now
            self.send(wanted)
        expected_s = ADAPTER_READY_S if generation.adapter else 0
        return expected_s if is_present else expected_s + MODEL_READY_S

    def is_loading(self, call: InboundCall) -> bool:
        """Return whether a load of a request's model is under way."""
        generation = call.generation
        if generation is None:
            return False
        return self.is_load_under_way(call.service, generation.model)

    def expire(self, now: float) -> None:
        """Forget questions that may be asked again."""
        for wanted, asked_at in list(self.requested_at.items()):
            if now - asked_at >= REQUEST_GAP_S:
                self.requested_at.pop(wanted)

    def _is_present(self, service: str, generation: Generation) -> bool:
        return any(
            known.holds(generation.model)
            for known in self.inventory.of_service(service)
        )
