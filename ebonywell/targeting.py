"""Selects the target of a request among those that discovery announces."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from .clock import boot_time
from .digests import PauseMessage
from .headroom.terms import TermsOf, plain_terms
from .health import HealthTracker
from .inbound import AdmittedRequest
from .inventory import Inventory, KnownTarget
from .loadboard import LoadBoard
from .logs import Logger
from .overload import max_wait_s
from .pace.pacebook import PaceBook
from .prefixcache.index import PrefixCacheIndex, TargetMemory
from .prefixcache.prompts import Prompt, describe_prompt
from .prefixcache.weighing import order_by_prefix
from .progress import Verdict
from .routetable import EngineSpec
from .selection import Candidate, Choice, choose
from .statements import (
    MAX_SHARED_PAUSE_S,
    Notice,
    brittle_pause_s,
    shared_pause_s,
)
from .targetlimits import MAX_PERMIT_WAIT_S, TargetLimits

# Targets with a limit that a request may ask for, one after the other.
MAX_CLAIMS = 3


@dataclass(slots=True)
class TargetSelector:
    """Selects targets by their inventory, load, health and cached prompts.

    Attributes
    ----------
    zone : str
        This host's availability zone.
    inventory : Inventory
    board : LoadBoard
    health : HealthTracker
    prefixes : PrefixCacheIndex
    engine_of : callable
        Returns the engine capacity of a service, None for a plain service.
    limits : TargetLimits
    paces : PaceBook
    terms_of : callable
        Returns the terms of a request to a service with the given engines.
    """

    zone: str
    inventory: Inventory
    board: LoadBoard
    health: HealthTracker
    prefixes: PrefixCacheIndex
    engine_of: Callable[[str], EngineSpec | None]
    limits: TargetLimits
    log: Logger
    rng: random.Random
    paces: PaceBook = field(default_factory=PaceBook)
    terms_of: TermsOf = plain_terms

    def list_eligible(
        self,
        request: AdmittedRequest,
        avoided: set[str],
    ) -> list[KnownTarget]:
        """Return the reachable targets that have the model and adapter."""
        now = boot_time()
        return [
            known
            for known in self._list_holding(request)
            if known.name not in avoided
            and known.is_reachable(now)
            and _has_room(self.board, known)
            and request.release in {None, known.announcement.release}
        ]

    def select(
        self,
        request: AdmittedRequest,
        avoided: set[str],
        *,
        is_trial: bool = False,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the target for a request, None if there is none.

        A request in a trial may crash its target, so it goes where the fewest
        others run.
        """
        eligible = self.list_eligible(request, avoided)
        if not self.limits.is_empty:
            wait_s = self._permit_wait_s(request, eligible)
            eligible = [
                known
                for known in eligible
                if self.limits.due_in_s(known) <= wait_s
            ]
        if is_trial:
            eligible = _list_idlest(self.board, eligible)
        return self._select_from(request, eligible)

    def find_memory(self, name: str) -> TargetMemory | None:
        """Return the memory of a target; None if it caches no prompts."""
        known = self.inventory.targets.get(name)
        if known is None:
            return None
        engine = self.engine_of(known.announcement.service)
        if engine is None:
            return None
        held_tokens = self.board.total(name).held_tokens
        room_tokens = max(0, engine.cache_tokens - held_tokens)
        born = known.announcement.born
        return TargetMemory(born, room_tokens, known.models)

    async def reserve(
        self,
        request: AdmittedRequest,
        avoided: set[str],
        *,
        is_trial: bool = False,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the target to which a request may be sent now, or None.

        If the selected target has stated a limit, this waits for permission.
        Without it, another target is selected.
        """
        for _ in range(MAX_CLAIMS):
            selected = self.select(request, avoided, is_trial=is_trial)
            if selected is None or not self.limits.is_limited(selected[0]):
                return selected
            eligible = self.list_eligible(request, avoided)
            wait_s = self._permit_wait_s(request, eligible)
            if await self.limits.claim(selected[0], wait_s):
                return selected
        eligible = self._list_unlimited(self.list_eligible(request, avoided))
        return self._select_from(request, eligible)

    def is_unreachable(self, request: AdmittedRequest) -> bool:
        """Return whether targets could serve a request, but none is reached.

        Another host may reach them.
        """
        now = boot_time()
        holding = self._list_holding(request)
        return bool(holding) and not any(
            known.is_reachable(now) for known in holding
        )

    def is_closed(self, known: KnownTarget) -> bool:
        """Return whether the zone of a target takes no request any more."""
        return self.inventory.evacuations.is_closed(known, boot_time())

    def limit_due_s(self, request: AdmittedRequest) -> float | None:
        """Return when a request may be due that only limits hold back.

        Returns
        -------
        float or None
            Time in seconds; None if there is no target, or one without limit.
        """
        eligible = self.list_eligible(request, set())
        if not eligible or self._list_unlimited(eligible):
            return None
        return min(self.limits.due_in_s(known) for known in eligible)

    def select_ignoring_adapter(
        self,
        request: AdmittedRequest,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the best target, even if it lacks the adapter."""
        generation = request.generation
        if generation is None or not generation.adapter:
            return self.select(request, set())
        base_generation = replace(generation, adapter='')
        without_adapter = replace(request, generation=base_generation)
        eligible = self.list_eligible(without_adapter, set())
        # An order for an adapter counts against the limit of its target.
        return self._select_from(
            request, self._list_unlimited(eligible) or eligible
        )

    def describe_all(
        self, request: AdmittedRequest, eligible: Sequence[KnownTarget]
    ) -> list[Candidate]:
        """Return what is known of targets that could serve a request."""
        engine = self.engine_of(request.service)
        prompt = describe_prompt(request.generation)
        candidates = [
            self._describe(request, known, engine, prompt) for known in eligible
        ]
        return _gather(candidates, prompt)

    def record_rejection(
        self,
        request: AdmittedRequest,
        known: KnownTarget,
        verdict: Verdict,
    ) -> None:
        """Record a rejection by a target that lacks what a request needs."""
        generation = request.generation
        self.log(
            'target_rejected',
            request=request.request_id,
            target=known.name,
            why=verdict.value,
            model=generation.model if generation else None,
        )
        if verdict is Verdict.other_target:
            known.refused_at = boot_time()
        elif generation is not None:
            known.drop(generation.model, generation.adapter)

    def record_notice(
        self, known: KnownTarget, notice: Notice, verdict: Verdict
    ) -> None:
        """Record what a target asks of this host in an answer."""
        pause_s = notice.pause_s
        if known.max_rejections != notice.max_rejections:
            known.max_rejections = notice.max_rejections
            self.log(
                'target_brittle',
                target=known.name,
                max_rejections=notice.max_rejections,
            )
        if verdict is Verdict.not_run:
            brittle_s = brittle_pause_s(
                notice.max_rejections, self.limits.fleet.size
            )
            pause_s = max(pause_s, brittle_s)
            if notice.max_rejections is not None:
                self.limits.network.broadcast(
                    PauseMessage(
                        *known.incarnation,
                        shared_pause_s(notice.max_rejections),
                    )
                )
        if pause_s:
            _pause(self, known, pause_s)
        if notice.is_leaving and not known.is_leaving:
            self.inventory.note_leaving(known)
            self.log('target_leaving', target=known.name)

    def _list_holding(self, request: AdmittedRequest) -> list[KnownTarget]:
        """Return the targets that have the model and adapter."""
        ready = self.inventory.of_service(request.service)
        generation = request.generation
        holding = ready
        if generation is not None:
            model, adapter = generation.model, generation.adapter
            holding = [known for known in ready if known.holds(model, adapter)]
        if self.inventory.evacuations.is_empty:
            return holding
        elsewhere = list_elsewhere(self.inventory, request)
        return self.inventory.evacuations.list_usable(
            holding,
            is_elsewhere=generation is None
            or any(known.holds(generation.model) for known in elsewhere),
            is_coming=bool(elsewhere),
            now=boot_time(),
        )

    def _list_unlimited(
        self, eligible: Sequence[KnownTarget]
    ) -> list[KnownTarget]:
        return [
            known for known in eligible if not self.limits.is_limited(known)
        ]

    def _permit_wait_s(
        self, request: AdmittedRequest, eligible: Sequence[KnownTarget]
    ) -> float:
        """Return how long a request can wait for a target with a limit.

        If there are others, it takes only what nobody else is waiting for.
        """
        if self._list_unlimited(eligible):
            return 0
        longest_s = max_wait_s(
            request.route.goal_s, request.first_byte_timeout_s
        )
        return min(longest_s, MAX_PERMIT_WAIT_S)

    def _select_from(
        self,
        request: AdmittedRequest,
        eligible: list[KnownTarget],
    ) -> tuple[KnownTarget, Choice] | None:
        terms = self.terms_of(request, self.engine_of(request.service))
        candidates = self.describe_all(request, eligible)
        choice = choose(candidates, self.rng, terms)
        if choice is None:
            return None
        age_s = boot_time() - self.inventory.proven_at
        choice = replace(choice, proof_age_s=age_s)
        return self.inventory.targets[choice.name], choice

    def _describe(
        self,
        request: AdmittedRequest,
        known: KnownTarget,
        engine: EngineSpec | None,
        prompt: Prompt,
    ) -> Candidate:
        now = boot_time()
        generation = request.generation
        load = self.board.total(known.name)
        health = self.health.get(known.name, now)
        is_same_zone = known.announcement.zone == self.zone
        if generation is None or engine is None:
            return Candidate(
                known.name,
                load,
                health,
                known.announcement.slots,
                is_same_zone=is_same_zone,
                pace=self.paces.pace(request.service, '', known.name, now),
            )
        kept_tokens = self.prefixes.kept_tokens(
            known.incarnation, prompt, request.rank, now
        )
        return Candidate(
            known.name,
            load,
            health,
            known.announcement.slots,
            engine.cache_tokens,
            max(0, generation.prompt_tokens - kept_tokens),
            generation.prompt_tokens + generation.likely_output_tokens,
            request.rank,
            is_same_zone,
            not known.holds(generation.model, generation.adapter),
            self.paces.pace(request.service, generation.model, known.name, now),
            kept_tokens,
        )


def list_elsewhere(
    inventory: Inventory, request: AdmittedRequest
) -> list[KnownTarget]:
    """Return the targets outside evacuated zones that can serve a request.

    They may have to load its model first.
    """
    return [
        known
        for known in inventory.list_open(request.service)
        if request.release in {None, known.announcement.release}
    ]


def is_evacuated(inventory: Inventory, request: AdmittedRequest) -> bool:
    """Return whether only targets of evacuated zones could serve a request."""
    if inventory.evacuations.is_empty:
        return False
    is_known = bool(inventory.of_service(request.service))
    return is_known and not list_elsewhere(inventory, request)


def _gather(candidates: list[Candidate], prompt: Prompt) -> list[Candidate]:
    """Give the candidates an order if none has a shared prefix cached."""
    is_known = any(one.kept_tokens for one in candidates)
    if is_known or not prompt.shared_digests:
        return candidates
    names = [one.name for one in candidates]
    order = order_by_prefix(prompt.digests[0], names)
    return [replace(one, fill_order=order[one.name]) for one in candidates]


def pause_target(selector: TargetSelector, message: PauseMessage) -> None:
    """Send a target nothing for a moment that has rejected another host.

    The hosts come back one after another, since none sees what the others have
    sent at the same time.
    """
    known = selector.inventory.targets.get(message.target)
    if known is None or known.announcement.born != message.born:
        return
    pause_s = min(max(message.pause_s, 0), MAX_SHARED_PAUSE_S)
    _pause(selector, known, pause_s * selector.rng.uniform(1, 2))


def _pause(
    selector: TargetSelector, known: KnownTarget, pause_s: float
) -> None:
    until = boot_time() + pause_s
    known.paused_until = max(known.paused_until, until)
    selector.log('target_paused', target=known.name, for_s=pause_s)


def _has_room(board: LoadBoard, known: KnownTarget) -> bool:
    """Return whether a target that must not reject has a free slot."""
    if known.max_rejections is None:
        return True
    in_flight = board.total(known.name).in_flight
    return in_flight < known.announcement.slots


def _list_idlest(
    board: LoadBoard, eligible: list[KnownTarget]
) -> list[KnownTarget]:
    """Return those targets on which the fewest requests are in flight."""
    in_flight = {
        known.name: board.total(known.name).in_flight for known in eligible
    }
    fewest = min(in_flight.values(), default=0)
    return [known for known in eligible if in_flight[known.name] == fewest]
