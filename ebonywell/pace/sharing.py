"""Observations of this host for its digests, and those of other hosts.

Addresses digests that replace each other and may be lost: an observation is in
all digests of a second, and receivers apply each number of a host's life once.
"""

import collections
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from ..digests import DIGEST_PERIOD_S, Digest
from ..logs import Logger, discard_event
from ..metrics import Metrics
from .observations import BORN_MASK, Observation
from .pacebook import PaceBook
from .serverload import MAX_PERCENT, MIN_PERCENT, ServerLoad

# Time for which an observation is repeated in digests.
SHARED_S = 1.0
# Bounds of the observations in one digest. The datagram also carries relayed
# digests and reports, which need most of its 1,350 bytes.
MAX_SHARED = 4
MAX_SHARED_BYTES = 280
# Digests of shared prefixes in one observation; the first are the most shared.
MAX_PARTS = 6
# Unit of the ages in a digest, so that most of them take one byte.
AGE_UNIT_S = 0.01
# Bounds of what a host may claim; beyond them it is faulty.
MAX_TOKENS = 10_000_000
MAX_WAITED_MS = 3_600_000
MAX_TOKENS_PER_MS = 1000
MAX_AGE_UNITS = 1000
# Numbers before the newest one that are told apart; a digest holds four.
NUMBERS_KEPT = 64
# Interval between two log lines about faults of the same kind.
LOG_PERIOD_S = 10.0
# Change of the logarithm of a lasting factor that is logged (by a third).
LOGGED_STEP = 0.29

Listener = Callable[[Observation, float], None]


@dataclass(slots=True)
class Heard:
    """Numbers of one host's observations that were applied.

    Attributes
    ----------
    life : int
    newest : int
    numbers : set of int
        Those that were applied, among the newest.
    """

    life: int
    newest: int = 0
    numbers: set[int] = field(default_factory=set)

    def is_new(self, number: int) -> bool:
        """Record a number, and return whether it was not applied before."""
        if number in self.numbers or number <= self.newest - NUMBERS_KEPT:
            return False
        self.numbers.add(number)
        if number > self.newest:
            self.newest = number
            if len(self.numbers) > NUMBERS_KEPT:
                self.numbers = {
                    one for one in self.numbers if one > number - NUMBERS_KEPT
                }
        return True


@dataclass(slots=True)
class Own:
    """An observation of this host.

    Attributes
    ----------
    observation : Observation
    made_at : float
    size : int
        Encoded size in bytes.
    """

    observation: Observation
    made_at: float
    size: int


@dataclass(slots=True)
class SharedObservations:
    """The newest observations of all hosts, and the paces learned from them.

    Attributes
    ----------
    paces : PaceBook
    listeners : list of callable
        Each is called with every new observation, own or received, and with
        the time of its first byte.
    own : deque of Own
        Observations of this host in the last second, the newest last.
    number : int
        Number of the last own observation.
    heard : dict of str to Heard
        Keyed by host.
    """

    paces: PaceBook = field(default_factory=PaceBook)
    listeners: list[Listener] = field(default_factory=list)
    own: collections.deque[Own] = field(
        default_factory=lambda: collections.deque(maxlen=MAX_SHARED)
    )
    number: int = 0
    heard: dict[str, Heard] = field(default_factory=dict)
    log: Logger = discard_event
    metrics: Metrics = field(default_factory=Metrics)
    logged_at: dict[str, float] = field(default_factory=dict)

    def note_own(self, observation: Observation, now: float) -> None:
        """Use an observation of this host, and share it under a number."""
        self.number += 1
        numbered = msgspec.structs.replace(
            observation,
            number=self.number,
            parts=observation.parts[:MAX_PARTS],
        )
        size = len(msgspec.msgpack.encode(numbered))
        self.own.append(Own(numbered, now, size))
        self.metrics.count('observations_total', origin='own')
        self._apply(numbered, now)

    def list_recent(
        self, now: float
    ) -> tuple[tuple[Observation, ...], tuple[int, ...]]:
        """Return the observations for a digest, newest first, and their ages.

        The ages are in units of `AGE_UNIT_S`.
        """
        shared: list[Observation] = []
        ages: list[int] = []
        room = MAX_SHARED_BYTES
        for one in reversed(self.own):
            room -= one.size + 1
            age_s = now - one.made_at
            if room < 0 or age_s > SHARED_S:
                break
            shared.append(one.observation)
            ages.append(max(0, round(age_s / AGE_UNIT_S)))
        return tuple(shared), tuple(ages)

    def receive(self, digest: Digest, followed: int, now: float) -> None:
        """Use the observations in another host's digest.

        Parameters
        ----------
        digest : Digest
        followed : int
            Number of digests that the host is known to have sent since.
        now : float
        """
        if not digest.observations:
            return
        if any(is_absurd(one) for one in digest.observations[:MAX_SHARED]):
            self.metrics.count('observations_total', origin='absurd')
            self._log_rarely('observations_absurd', now, peer=digest.name)
            return
        heard = self.heard.get(digest.name)
        if heard is None or heard.life != digest.life:
            heard = Heard(digest.life)
            self.heard[digest.name] = heard
        digest_age_s = followed * DIGEST_PERIOD_S
        ages = digest.observation_ages
        for place, one in enumerate(digest.observations[:MAX_SHARED]):
            if heard.is_new(one.number):
                units = ages[place] if place < len(ages) else 0
                age_s = min(max(units, 0), MAX_AGE_UNITS) * AGE_UNIT_S
                self.metrics.count('observations_total', origin='peer')
                self._apply(one, now - age_s - digest_age_s)

    def note_load(
        self, target: str, born: int, load: ServerLoad, now: float
    ) -> None:
        """Record what an answer of a target states about its load."""
        if load.faults:
            self.metrics.count('server_load_faults_total', by=load.faults)
            self._log_rarely('server_load_unreadable', now, target=target)
        self.paces.note_machine(
            target, born & BORN_MASK, load.machine_percent, now
        )

    def retain(
        self, borns: Mapping[str, int], hosts: Mapping[str, object], now: float
    ) -> None:
        """Forget the targets and hosts that are gone.

        Parameters
        ----------
        borns : mapping of str to int
            Start times of the known targets.
        hosts : mapping of str to object
            The other hosts by name.
        now : float
        """
        masked = {name: born & BORN_MASK for name, born in borns.items()}
        self.paces.retain(masked, now)
        for name in self.heard.keys() - hosts.keys():
            self.heard.pop(name)

    def _apply(self, observation: Observation, made_at: float) -> None:
        self.paces.note(observation, made_at)
        self._log_change(observation.target)
        for listener in self.listeners:
            listener(observation, made_at)

    def _log_change(self, name: str) -> None:
        target = self.paces.targets.get(name)
        if target is None:
            return
        log_factor = target.factor.mean
        if abs(log_factor - target.logged) >= LOGGED_STEP:
            target.logged = log_factor
            factor = math.exp(log_factor)
            self.log('target_pace_changed', target=name, factor=factor)

    def _log_rarely(self, event: str, now: float, **fields: str) -> None:
        if now - self.logged_at.get(event, -LOG_PERIOD_S) >= LOG_PERIOD_S:
            self.logged_at[event] = now
            self.log(event, **fields)


def is_absurd(observation: Observation) -> bool:
    """Return whether no target can have shown what a host claims."""
    percent = observation.machine_percent
    is_bounded = (
        observation.number > 0
        and 0 <= observation.new_tokens <= MAX_TOKENS
        and 0 <= observation.ahead_tokens <= MAX_TOKENS
        and 0 <= observation.waited_ms <= MAX_WAITED_MS
        and (not percent or MIN_PERCENT <= percent <= MAX_PERCENT)
    )
    if not is_bounded:
        return True
    longest = max(observation.waited_ms, 1) * MAX_TOKENS_PER_MS
    return observation.new_tokens > longest
