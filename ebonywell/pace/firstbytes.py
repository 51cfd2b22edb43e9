"""Forms an observation from the first byte of a target's answer.

Addresses waits of which a part is not the target's own: the observation says
what was expected to be read before the request, by the load at its choice.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..inbound import AdmittedRequest
from ..inventory import KnownTarget
from ..selection import (
    PROMPT_TOKENS_PER_MS,
    Candidate,
    Choice,
    full_wait_ms,
    queued_share,
)
from ..urgency import tokens_ahead
from .observations import BORN_MASK, Observation, prefix_digests
from .pacebook import PLAIN_AHEAD_UNIT
from .paces import Pace
from .serverload import ServerLoad
from .sharing import SharedObservations

# Range of the ratio of actual to expected time that counts as expected; the
# objective for the 5th and the 95th percentile when nothing fails.
MIN_RATIO = 0.6
MAX_RATIO = 1.8
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class FirstByte:
    """The head of a target's answer to one send.

    Attributes
    ----------
    request : AdmittedRequest
    target : KnownTarget
    choice : Choice
    load : ServerLoad
        What the head states.
    sent_at, received_at : float
    is_answer : bool
        Whether it begins the answer to the first send of the request.
    """

    request: AdmittedRequest
    target: KnownTarget
    choice: Choice
    load: ServerLoad
    sent_at: float
    received_at: float
    is_answer: bool


Observer = Callable[[FirstByte], None]


def ignore_first_byte(first_byte: FirstByte) -> None:
    """Do nothing; the default until an observer is set."""


def make_observer(shared: SharedObservations) -> Observer:
    """Return a function that observes and shares first bytes."""

    def observe(first_byte: FirstByte) -> None:
        target = first_byte.target
        now = first_byte.received_at
        shared.note_load(
            target.name, target.announcement.born, first_byte.load, now
        )
        if first_byte.is_answer:
            shared.metrics.count(
                'first_bytes_total', wait=classify_wait(first_byte)
            )
            shared.note_own(make_observation(first_byte), now)

    return observe


def make_observation(first_byte: FirstByte) -> Observation:
    """Return the observation of a first byte, without its number."""
    request = first_byte.request
    generation = request.generation
    target = first_byte.target
    candidate = first_byte.choice.candidate
    waited_s = first_byte.received_at - first_byte.sent_at
    prefix = () if generation is None else generation.prefix
    model = '' if generation is None else generation.model
    adapter = '' if generation is None else generation.adapter
    return Observation(
        0,
        target.name,
        target.announcement.born & BORN_MASK,
        request.service,
        model,
        adapter,
        candidate.new_tokens,
        count_ahead(candidate),
        round(waited_s * _MS_PER_S),
        first_byte.load.machine_percent,
        prefix_digests(f'{model}/{adapter}', prefix),
    )


def count_ahead(candidate: Candidate) -> int:
    """Return what a target is expected to do before the request.

    Returns
    -------
    int
        Prompt tokens at the usual pace, with the wait for room in a full
        batch; for a plain service, requests by slots, in thousandths.
    """
    if not candidate.cache_tokens:
        return round(queued_share(candidate) * PLAIN_AHEAD_UNIT)
    tokens = tokens_ahead(candidate.load.waiting_tokens, candidate.rank)
    return round(tokens + full_wait_ms(candidate) * PROMPT_TOKENS_PER_MS)


def classify_wait(first_byte: FirstByte) -> str:
    """Return whether a wait was about as long as expected."""
    expected_s = first_byte.choice.wait_s
    waited_s = first_byte.received_at - first_byte.sent_at
    if waited_s < MIN_RATIO * expected_s:
        return 'shorter'
    return 'longer' if waited_s > MAX_RATIO * expected_s else 'expected'


def pace_fields(pace: Pace | None) -> dict[str, float]:
    """Return the fields of a log line that tell a learned pace."""
    if pace is None:
        return {}
    return {
        'pace': pace.tokens_per_ms,
        'target_factor': pace.target_factor,
        'machine_percent': pace.machine_percent,
        'machine_age_s': pace.machine_age_s,
    }
