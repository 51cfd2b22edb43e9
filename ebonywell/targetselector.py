"""Selects a target with free capacity for a request."""

import enum
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .ejection import Ejector
from .messages import Call
from .routing import (
    Candidate,
    LoadObservation,
    ReplicaChooser,
    apply_preferences,
    choose_by_prefix,
    choose_of_two,
    estimate_loads,
    prefix_key,
)
from .targets import Target, TargetTable

DEFAULT_LIMIT = 64
MIN_LIMIT = 1.0
LIMIT_DECREASE = 0.8
MAX_LIMIT = 1024
INDEX_MAX_AGE_S = 1.0
INDEX_MISS_MAX_AGE_S = 0.1
NO_TARGETS: frozenset[str] = frozenset()


class Ending(enum.StrEnum):
    """How an exchange with a target ended.

    Attributes
    ----------
    answered
        The target sent a whole answer.
    broken
        The exchange broke after bytes may have reached the target.
    unreachable
        No byte was sent to the target, or it crashed.
    leaving
        The target rejected the request because it is draining.
    busy
        The target rejected the request for another reason.
    not_loaded
        The target rejected the request because the model is not loaded.
    """

    answered = 'answered'
    broken = 'broken'
    unreachable = 'unreachable'
    leaving = 'leaving'
    busy = 'busy'
    not_loaded = 'not_loaded'


@dataclass(slots=True)
class Limit:
    """Limit of this process's concurrent requests on one target.

    The limit is multiplied by `LIMIT_DECREASE` when the target reports a
    queue or rejects a request as busy, so that requests wait in this process,
    where queueing is fair among workspaces. Each other report raises the
    limit by one.

    Attributes
    ----------
    calls : float
        The most requests in flight at once.
    reported_at : float
        Time of the report that last changed the limit.
    in_flight_at_report : int
        Requests of this process in flight when that report was received.
    """

    calls: float
    reported_at: float = -1
    in_flight_at_report: int = 0


class TargetSelector:
    """Selects targets by their reports and by how past exchanges ended.

    Attributes
    ----------
    table : TargetTable
    zone : str
        This host's availability zone.
    limits : dict of str to Limit
        Concurrency limits by target.
    unavailable_since : dict of str to float
        When a target answered that it is leaving or was unreachable, by the
        process's clock. Superseded by a later report of the target.
    index : dict of str to tuple of str
        Targets by the models that are ready on them.
    indexed_at : float
        When the index was built, in seconds by the process's clock.
    """

    def __init__(
        self,
        table: TargetTable,
        zone: str,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.zone = zone
        self.clock = clock
        self.rng = rng
        self.ejector = Ejector()
        self.limits: dict[str, Limit] = {}
        self.unavailable_since: dict[str, float] = {}
        self.index: dict[str, tuple[str, ...]] = {}
        self.indexed_at = -math.inf

    def observe(self, target: Target, ending: Ending) -> None:
        """Update the knowledge of a target after an exchange with it."""
        now = self.clock()
        match ending:
            case Ending.leaving:
                self.unavailable_since[target.name] = now
            case Ending.unreachable:
                self.unavailable_since[target.name] = now
                self.ejector.observe(target.name, now, is_good=False)
            case Ending.busy:
                self._decrease_limit(self._limit(target))
            case Ending.not_loaded:
                return
            case _:
                is_good = ending == Ending.answered
                self.ejector.observe(target.name, now, is_good=is_good)

    def usable_targets(
        self, call: Call, avoided: frozenset[str]
    ) -> list[Target]:
        """Return the targets that can serve a request, at capacity or not.

        Avoided targets and targets that do not answer polls are included only
        if there are no others.
        """
        available = [
            one
            for one in self._listed_targets(call)
            if not self._is_leaving(one)
        ]
        other = [one for one in available if one.name not in avoided]
        preferred = other or available
        answering = [target for target in preferred if not target.failing]
        usable = answering or preferred
        names = frozenset(target.name for target in usable)
        ejected = self.ejector.ejected(names, self.clock())
        return [one for one in usable if one.name not in ejected]

    def capacity(self, call: Call) -> float:
        """Return how many such requests this process may run at once."""
        return sum(
            self._limit(target).calls
            for target in self.usable_targets(call, frozenset())
        )

    def select(
        self,
        call: Call,
        avoided: frozenset[str],
        busy: frozenset[str] = NO_TARGETS,
    ) -> Target | None:
        """Return the best target with free capacity and take a slot on it.

        Parameters
        ----------
        call : Call
        avoided : frozenset of str
            Targets that are used only if there are no others.
        busy : frozenset of str
            Targets that are excluded.

        Returns
        -------
        Target or None
            None if no target has free capacity.
        """
        serving = self.usable_targets(call, avoided)
        serving = [one for one in serving if one.name not in busy]
        candidates = list(self._candidates(call, serving))
        if not candidates:
            return None
        prefix = prefix_key(call.prefix) if call.is_model else b''
        choose: ReplicaChooser = choose_by_prefix if prefix else choose_of_two
        chosen = choose(apply_preferences(candidates), prefix, self.rng)
        target = self.table.by_name[chosen.name]
        target.in_flight += 1
        return target

    def forget_removed(self) -> None:
        """Drop the state of targets that are no longer in the table."""
        names = frozenset(self.table.by_name)
        self.ejector.retain(names)
        for gone in set(self.limits) - names:
            self.limits.pop(gone)
        for left in set(self.unavailable_since) - names:
            self.unavailable_since.pop(left)

    def _listed_targets(self, call: Call) -> Iterator[Target]:
        names = call.entry.targets
        if call.is_model:
            names = self._targets_with_model(call.entry.name)
        for name in names:
            target = self.table.by_name.get(name)
            if target is not None:
                yield target

    def _targets_with_model(self, model: str) -> tuple[str, ...]:
        age_s = self.clock() - self.indexed_at
        is_missing = model not in self.index
        if age_s > INDEX_MAX_AGE_S or (
            is_missing and age_s > INDEX_MISS_MAX_AGE_S
        ):
            self.index = _index_models(self.table)
            self.indexed_at = self.clock()
        return self.index.get(model, ())

    def _candidates(
        self,
        call: Call,
        serving: list[Target],
    ) -> Iterator[Candidate]:
        now = self.clock()
        loads = estimate_loads(
            [self._observe_load(one, now) for one in serving]
        )
        for target, load in zip(serving, loads, strict=True):
            share = self.ejector.share(target.name, now)
            capacity = max(MIN_LIMIT, self._limit(target).calls * share)
            if target.in_flight < capacity:
                yield Candidate(
                    target.name,
                    load,
                    share,
                    is_same_zone=target.listed.zone == self.zone,
                    has_adapter=_has_adapter(target, call),
                )

    def _observe_load(self, target: Target, now: float) -> LoadObservation:
        report = target.report
        if report is None or target.failing:
            return LoadObservation(target.in_flight)
        return LoadObservation(
            target.in_flight,
            self._limit(target).in_flight_at_report,
            report.running + report.queue_depth,
            now - target.reported_at,
        )

    def _is_leaving(self, target: Target) -> bool:
        if target.is_leaving:
            return True
        since = self.unavailable_since.get(target.name)
        return since is not None and target.reported_at <= since

    def _limit(self, target: Target) -> Limit:
        limit = self.limits.get(target.name)
        if limit is None:
            limit = Limit(_max_limit(target))
            self.limits[target.name] = limit
        if (
            target.report is not None
            and limit.reported_at != target.reported_at
        ):
            limit.reported_at = target.reported_at
            limit.in_flight_at_report = target.in_flight
            if target.report.queue_depth > 0:
                self._decrease_limit(limit)
            else:
                limit.calls = min(limit.calls + 1, _max_limit(target))
        return limit

    def _decrease_limit(self, limit: Limit) -> None:
        limit.calls = max(MIN_LIMIT, limit.calls * LIMIT_DECREASE)


def _max_limit(target: Target) -> int:
    reported = target.report.max_running if target.report else 0
    return min(reported, MAX_LIMIT) if reported > 0 else DEFAULT_LIMIT


def _index_models(table: TargetTable) -> dict[str, tuple[str, ...]]:
    index: dict[str, list[str]] = {}
    for target in table.by_name.values():
        models = target.report.models if target.report else ()
        for resident in models:
            if resident.state == 'ready':
                index.setdefault(resident.model, []).append(target.name)
    return {model: tuple(names) for model, names in index.items()}


def _has_adapter(target: Target, call: Call) -> bool:
    if not call.adapter or target.report is None:
        return True
    return any(
        resident.model == call.entry.name and call.adapter in resident.adapters
        for resident in target.report.models
    )
