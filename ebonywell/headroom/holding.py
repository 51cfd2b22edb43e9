"""The requests that a host holds until a target has headroom for them.

Made for bursts: the work of a few hundred milliseconds is worth waiting for on
the host, where a request can be withdrawn and a more urgent one can go first. A
request that is held and turned away in the end has cost its caller that time,
so that the number of held requests and their time are bounded, and requests of
a kind that is mostly turned away are hardly held at all.

The module is plain state; it takes times and functions.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from ..inbound import AdmittedRequest
from .room import HELD, Cause, Judgement, Verdict

# Held requests of one host. Each may keep a body of some megabytes, and a host
# that holds so many is due to turn requests away.
MAX_HELD = 32
# Weight of the newest result in the share of held requests that are admitted.
RESULT_WEIGHT = 0.15
# Share that is assumed before there are results.
INITIAL_SHARE = 0.75
# Workspaces whose excess differs by less than this are in the same place.
EXCESS_STEP = 0.5

Kind = tuple[str, int]


@dataclass(slots=True, eq=False)
class HeldRequest:
    """A request that a host holds.

    Attributes
    ----------
    request : AdmittedRequest
    begun_at : float
    cause : Cause
        What the best target lacked for it at first.
    judgement : Judgement
        Its newest one.
    settled : Event
        Set once it is no longer held.
    """

    request: AdmittedRequest
    begun_at: float
    cause: Cause
    judgement: Judgement = HELD
    settled: anyio.Event = field(default_factory=anyio.Event)

    def settle(self, judgement: Judgement) -> None:
        """End the holding of the request."""
        self.judgement = judgement
        self.settled.set()


@dataclass(slots=True)
class Holding:
    """The requests that a host holds, and what became of earlier ones.

    Attributes
    ----------
    excess_of : callable
        Returns how far a workspace is over its usual share; 1 if it is not.
    requests : list of HeldRequest
    admitted_shares : dict of (str, int) to float
        Share of the requests held recently that were admitted, by service and
        rank.
    """

    excess_of: Callable[[str], float]
    requests: list[HeldRequest] = field(default_factory=list)
    admitted_shares: dict[Kind, float] = field(default_factory=dict)

    def add(self, held: HeldRequest) -> HeldRequest | None:
        """Hold a request; return the one that there is no place for, if any."""
        self.requests.append(held)
        if len(self.requests) <= MAX_HELD:
            return None
        last = self.list_ordered()[-1]
        self.requests.remove(last)
        return last

    def discard(self, held: HeldRequest) -> None:
        """Hold a request no longer."""
        if held in self.requests:
            self.requests.remove(held)

    def list_ordered(self) -> list[HeldRequest]:
        """Return the held requests in the order in which they are examined."""
        return sorted(self.requests, key=lambda one: self.order(one.request))

    def order(self, request: AdmittedRequest) -> tuple[int, int, float]:
        """Return the sort key of a request: rank, excess, end of its goal."""
        workspace = request.workspace
        excess = self.excess_of(workspace.name) if workspace else 1
        due_at = request.received_at + request.route.goal_s
        return request.rank, int(max(0, excess - 1) / EXCESS_STEP), due_at

    def precedes(self, request: AdmittedRequest) -> bool:
        """Return whether a held request of the same model is to go first."""
        own = self.order(request)
        return any(
            _resource_of(one.request) == _resource_of(request)
            and self.order(one.request) < own
            for one in self.requests
        )

    def examine(
        self, judge_one: Callable[[HeldRequest], Judgement]
    ) -> Sequence[HeldRequest]:
        """Judge the held requests again; return those that are settled.

        At most one request of each service is admitted at once: its load is
        counted only when it has been sent.
        """
        admitted: set[str] = set()
        settled = []
        for held in self.list_ordered():
            if held.request.service in admitted:
                continue
            judgement = judge_one(held)
            if judgement.verdict is Verdict.hold:
                continue
            if judgement.verdict is Verdict.admit:
                admitted.add(held.request.service)
            held.settle(judgement)
            settled.append(held)
            self.requests.remove(held)
        return settled

    def note_result(
        self, request: AdmittedRequest, *, is_admitted: bool
    ) -> None:
        """Record whether a held request was admitted in the end."""
        kind = (request.service, request.rank)
        share = self.admitted_share(request)
        share += RESULT_WEIGHT * (is_admitted - share)
        self.admitted_shares[kind] = share

    def admitted_share(self, request: AdmittedRequest) -> float:
        """Return which share of such requests was admitted recently."""
        kind = (request.service, request.rank)
        return self.admitted_shares.get(kind, INITIAL_SHARE)


def _resource_of(request: AdmittedRequest) -> tuple[str, str]:
    generation = request.generation
    return request.service, '' if generation is None else generation.model
