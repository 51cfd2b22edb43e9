"""The attempts in flight, and how far their targets have come with them."""

import enum
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .blame import NO_TRAITS, Traits
from .inbound import AdmittedRequest
from .inventory import KnownTarget


class Phase(enum.StrEnum):
    """How far a target has come with a request.

    Attributes
    ----------
    waiting
        It has answered nothing. It may be running the request.
    begun
        It has begun to answer.
    survived
        It has answered so much that the request will not crash it.
    """

    waiting = 'waiting'
    begun = 'begun'
    survived = 'survived'


@dataclass(slots=True, eq=False)
class Exposure:
    """One attempt of a request, which the target may not survive.

    Attributes
    ----------
    request : AdmittedRequest
    target : KnownTarget
    trial : frozenset of int
        Traits for which the attempt is a trial; empty if it is none.
    phase : Phase
    """

    request: AdmittedRequest
    target: KnownTarget
    trial: Traits = NO_TRAITS
    phase: Phase = Phase.waiting


@dataclass(slots=True)
class Exposures:
    """The attempts that this host has in flight.

    Attributes
    ----------
    in_flight : set of Exposure
    """

    in_flight: set[Exposure] = field(default_factory=set)

    @contextmanager
    def track(
        self, request: AdmittedRequest, target: KnownTarget, trial: Traits
    ) -> Iterator[Exposure]:
        """Track an attempt of a request while it is in flight."""
        exposure = Exposure(request, target, trial)
        self.in_flight.add(exposure)
        try:
            yield exposure
        finally:
            self.in_flight.discard(exposure)
