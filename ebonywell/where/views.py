"""Describes the decision on a request, without sending it.

The candidates and the choice come from the host's own selector, and the
rejection for overload from `overload`, so that the answer changes with them.
"""

from typing import Any

import msgspec

from ..inbound import AdmittedRequest
from ..inventory import KnownTarget, TargetState
from ..overload import overload_retry_after_s
from ..selection import estimate_first_byte_ms
from ..targeting import TargetSelector


class CandidateView(msgspec.Struct, frozen=True):
    """A target that could serve the request.

    Attributes
    ----------
    target, zone : str
    expected_ms : float
        Expected time to the first byte, from the target's load.
    cached_tokens : int
        Prompt tokens that the target is taken to hold.
    limit_due_s : float
        Time until the target's stated limit allows a request, 0 if it has none.
    facts : dict of str to Any
        What the decision knows of the target.
    """

    target: str
    zone: str
    expected_ms: float
    cached_tokens: int
    limit_due_s: float
    facts: dict[str, Any]


class ExcludedView(msgspec.Struct, frozen=True):
    """A target that the request cannot go to, and why."""

    target: str
    zone: str
    why: str


class ServiceView(msgspec.Struct, frozen=True):
    """The decision on a request for one service.

    Attributes
    ----------
    service : str
    candidates : list of CandidateView
    excluded : list of ExcludedView
    target : str or None
        The chosen target, None if there is none.
    wait_ms : float
        Expected time to the first byte there, corrected by its recent slowness.
    verdict : str
        ``sent``, ``no_target`` or ``overloaded``.
    """

    service: str
    candidates: list[CandidateView]
    excluded: list[ExcludedView]
    target: str | None
    wait_ms: float
    verdict: str


class WhereView(msgspec.Struct, frozen=True):
    """Where a request would go now.

    Attributes
    ----------
    services : list of ServiceView
    config_version : int
    config_age_s, targets_age_s : float or None
        Age of the proofs that the configuration, and all announcements of
        targets, were known; None without any.
    hosts_known, hosts_silent : int
        Other hosts, whose loads the decision counts.
    """

    services: list[ServiceView]
    config_version: int
    config_age_s: float | None
    targets_age_s: float | None
    hosts_known: int
    hosts_silent: int


def describe_decision(
    selector: TargetSelector, request: AdmittedRequest, now: float
) -> ServiceView:
    """Return the decision on a request; nothing is sent or reserved."""
    eligible = selector.list_eligible(request, set())
    names = {known.name for known in eligible}
    excluded = [
        ExcludedView(
            known.name,
            known.announcement.zone,
            'evacuated'
            if selector.inventory.evacuations.is_evacuated(known)
            else find_obstacle(known, request, now),
        )
        for known in selector.inventory.targets.values()
        if known.announcement.service == request.service
        and known.name not in names
    ]
    selected = selector.select(request, set())
    return ServiceView(
        request.service,
        _describe_candidates(selector, request, eligible),
        excluded,
        None if selected is None else selected[0].name,
        0 if selected is None else selected[1].wait_s * 1000,
        'no_target'
        if selected is None
        else _judge_wait(request, selected[1].wait_s),
    )


def find_obstacle(
    known: KnownTarget, request: AdmittedRequest, now: float
) -> str:
    """Return why a target that is not eligible is none."""
    generation = request.generation
    if known.announcement.state is not TargetState.ready:
        return known.announcement.state.value
    if known.is_leaving:
        return 'leaving'
    if generation is not None and not known.holds(generation.model):
        return 'lacks_model'
    if generation is not None and not known.holds(
        generation.model, generation.adapter
    ):
        return 'lacks_adapter'
    if now < known.paused_until:
        return 'paused'
    return 'has_no_room' if known.is_reachable(now) else 'refused_connection'


def _describe_candidates(
    selector: TargetSelector,
    request: AdmittedRequest,
    eligible: list[KnownTarget],
) -> list[CandidateView]:
    generation = request.generation
    prompt_tokens = 0 if generation is None else generation.prompt_tokens
    views = []
    candidates = selector.describe_all(request, eligible)
    for known, candidate in zip(eligible, candidates, strict=True):
        is_engine = bool(candidate.cache_tokens)
        cached_tokens = prompt_tokens - candidate.new_tokens if is_engine else 0
        is_limited = selector.limits.is_limited(known)
        views.append(
            CandidateView(
                known.name,
                known.announcement.zone,
                estimate_first_byte_ms(candidate),
                cached_tokens,
                selector.limits.due_in_s(known) if is_limited else 0,
                msgspec.to_builtins(candidate),
            )
        )
    return sorted(views, key=lambda view: view.expected_ms)


def _judge_wait(request: AdmittedRequest, wait_s: float) -> str:
    max_first_byte_s = min(
        request.first_byte_timeout_s, request.deadline - request.received_at
    )
    is_over = overload_retry_after_s(
        wait_s, request.route.goal_s, max_first_byte_s
    )
    return 'overloaded' if is_over else 'sent'
