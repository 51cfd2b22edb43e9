"""Asks the holder of the lease for models and adapters that are missing."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from .adapterloads import Wanted
from .clock import boot_time
from .inbound import AdmittedRequest, Generation
from .inventory import Inventory

# A question or its answer may be lost; after this long it is asked again.
ASK_GAP_S = 0.12
# An order, the load and the news of it; see the deployments' sheets for how
# long loads take.
MODEL_S = 1.4
ADAPTER_S = 0.1


@dataclass(slots=True)
class Wants:
    """The questions that this host has asked of late.

    Attributes
    ----------
    inventory : Inventory
    has_holder : callable
        Whether some host gives orders now, as far as this one knows.
    ask : callable
        Sends a question to the holder of the lease.
    knows_coming : callable
        Takes a service and a model; whether a load of it is under way.
    asked_at : dict of Wanted to float
    """

    inventory: Inventory
    has_holder: Callable[[], bool]
    ask: Callable[[Wanted], None]
    knows_coming: Callable[[str, str], bool]
    asked_at: dict[Wanted, float] = field(default_factory=dict)

    def want(self, call: AdmittedRequest, target: str = '') -> float:
        """Ask for what a request misses.

        Parameters
        ----------
        call : AdmittedRequest
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
        wanted = Wanted(call.service, generation.model, adapter, target)
        now = boot_time()
        if now - self.asked_at.get(wanted, -math.inf) >= ASK_GAP_S:
            self.asked_at[wanted] = now
            self.ask(wanted)
        expected_s = ADAPTER_S if generation.adapter else 0
        return expected_s if is_present else expected_s + MODEL_S

    def is_coming(self, call: AdmittedRequest) -> bool:
        """Return whether a load of a request's model is under way."""
        generation = call.generation
        if generation is None:
            return False
        return self.knows_coming(call.service, generation.model)

    def expire(self, now: float) -> None:
        """Forget questions that may be asked again."""
        for wanted, asked_at in list(self.asked_at.items()):
            if now - asked_at >= ASK_GAP_S:
                self.asked_at.pop(wanted)

    def _is_present(self, service: str, generation: Generation) -> bool:
        return any(
            known.holds(generation.model)
            for known in self.inventory.of_service(service)
        )
