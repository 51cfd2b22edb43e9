"""Finds the target for a request among those that discovery announces."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from .clock import boot_time
from .health import HealthBook
from .inbound import Generation, InboundCall
from .inventory import Inventory, KnownTarget
from .loadboard import LoadBoard
from .logs import Logger
from .prefixes import PrefixBook
from .progress import Verdict
from .routetable import EngineSpec
from .selection import Candidate, Choice, choose


@dataclass(slots=True)
class Targeting:
    """What is known of the targets, put together for a choice.

    Attributes
    ----------
    zone : str
        This host's availability zone.
    inventory : Inventory
    board : LoadBoard
    health : HealthBook
    prefixes : PrefixBook
    engine_of : callable
        What the engines of a service have in common, None for plain ones.
    """

    zone: str
    inventory: Inventory
    board: LoadBoard
    health: HealthBook
    prefixes: PrefixBook
    engine_of: Callable[[str], EngineSpec | None]
    log: Logger
    rng: random.Random

    def able(
        self,
        call: InboundCall,
        avoided: set[str],
    ) -> list[KnownTarget]:
        """Return the targets that hold what a request needs."""
        now = boot_time()
        ready = self.inventory.of_service(call.service)
        generation = call.generation
        if generation is not None:
            model, adapter = generation.model, generation.adapter
            ready = [known for known in ready if known.holds(model, adapter)]
        return [
            known
            for known in ready
            if known.name not in avoided and known.is_reachable(now)
        ]

    def place(
        self,
        call: InboundCall,
        avoided: set[str],
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the target to send a request to, None if there is none."""
        return self._choose(call, self.able(call, avoided))

    def place_anywhere(
        self,
        call: InboundCall,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the best target, whether it has the adapter or not."""
        generation = call.generation
        if generation is None or not generation.adapter:
            return self.place(call, set())
        bare = replace(generation, adapter='')
        without = replace(call, generation=bare)
        return self._choose(call, self.able(without, set()))

    def note_absent(
        self,
        call: InboundCall,
        known: KnownTarget,
        verdict: Verdict,
    ) -> None:
        """Learn from a target that it has not what a request needs."""
        generation = call.generation
        self.log(
            'target_rejected',
            request=call.request_id,
            target=known.name,
            why=verdict.value,
            model=generation.model if generation else None,
        )
        if verdict is Verdict.other_target:
            known.refused_at = boot_time()
        elif generation is not None:
            known.drop(generation.model, generation.adapter)

    def _choose(
        self,
        call: InboundCall,
        able: list[KnownTarget],
    ) -> tuple[KnownTarget, Choice] | None:
        engine = self.engine_of(call.service)
        candidates = [self._describe(call, known, engine) for known in able]
        choice = choose(candidates, self.rng)
        if choice is None:
            return None
        return self.inventory.targets[choice.name], choice

    def _describe(
        self,
        call: InboundCall,
        known: KnownTarget,
        engine: EngineSpec | None,
    ) -> Candidate:
        now = boot_time()
        generation = call.generation
        load = self.board.total(known.name)
        health = self.health.look(known.name, now)
        is_near = known.announcement.zone == self.zone
        if generation is None or engine is None:
            return Candidate(
                known.name,
                load,
                health,
                known.announcement.slots,
                is_near=is_near,
            )
        kept = self.prefixes.kept_tokens(
            known.name,
            holder_name(generation),
            generation.prefix,
        )
        return Candidate(
            known.name,
            load,
            health,
            known.announcement.slots,
            engine.cache_tokens,
            max(0, generation.prompt_tokens - kept),
            generation.prompt_tokens + generation.likely_output_tokens,
            call.rank,
            is_near,
            not known.holds(generation.model, generation.adapter),
        )


def holder_name(generation: Generation) -> str:
    """Return the name under which an engine keeps a prompt's parts."""
    return f'{generation.model}/{generation.adapter}'
