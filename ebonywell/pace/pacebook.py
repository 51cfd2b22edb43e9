"""Learns how fast each target works now, for each model.

Addresses targets of one service that differ in speed for good, models that
differ from each other, and machines that are slow at times. A duration is the
product of the three: the target's lasting factor, the model's cost and the
machine's state. What waits at a target is counted in tokens at the usual pace,
so that prompts of other models ahead of a request count by their own cost.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..selection import PLAIN_REQUEST_MS, PROMPT_TOKENS_PER_MS, STEP_MS
from .learning import Factor, learn, new_factor
from .machines import MachineState, MeanState
from .observations import Observation
from .paces import Pace

# Expected deviations of the logarithms before anything is known. Models differ
# by 3 to 1 and targets by 2.4 to 1 in the deployments' specifications.
SERVICE_DEVIATION = 0.6
MODEL_DEVIATION = 0.5
TARGET_DEVIATION = 0.6
STEP_DEVIATION = 0.4
# Deviations of the logarithm of one wait: always; by the share of prompts
# ahead, which may be more than expected; by the share of steps; and by the
# share of the wait for which the machine's state is unknown.
WAIT_DEVIATION = 0.2
AHEAD_DEVIATION = 1.0
STEPS_DEVIATION = 0.5
MACHINE_DEVIATION = 0.4
# Range of the logarithms of its models' costs (5 to 1) from which a service's
# paces are used. Up to it the starting values err by about two either way, less
# than waits vary anyhow, and the service is estimated as before.
UNEVEN_LOG = 1.6
# Variance up to which a model's cost is known well.
SURE_VARIANCE = 0.02
# Largest cost that counts as demand. Models take at most the time of the
# largest ones, which the starting values are made for.
MAX_COST = 1.5
# Models whose cost is kept; the one that was observed longest ago goes first.
MAX_MODELS = 2000
# Services whose pace is learned; others are estimated as before.
MAX_SERVICES = 200
# Unit of `Observation.ahead_tokens` for a plain service: thousandths of the
# time of one request.
PLAIN_AHEAD_UNIT = 1000
MIN_WAIT_MS = 1
# Time in which a target reads most prompts after their choice. The machine is
# expected to be as it is in the middle of it.
READING_S = 0.3
_MS_PER_S = 1000


@dataclass(slots=True)
class ServicePace:
    """What the targets of one service have in common.

    Attributes
    ----------
    cost : Factor
        Time to read a token, or of a plain request, by the starting value.
    steps : Factor
        Duration of a step, by the starting value.
    machines : MeanState
    has_states : bool
        Whether its targets state how slow their machines are.
    least, greatest : float
        Logarithms of the costs of its models, of those that are known well.
    """

    cost: Factor
    steps: Factor
    machines: MeanState = field(default_factory=MeanState)
    has_states: bool = False
    least: float = math.inf
    greatest: float = -math.inf

    @property
    def is_uneven(self) -> bool:
        """Whether its targets or models differ so much that paces matter."""
        return self.has_states or self.greatest - self.least > UNEVEN_LOG

    def note_model(self, model: Factor) -> None:
        """Take the cost of a model into the range, once it is known well."""
        if model.variance <= SURE_VARIANCE:
            self.least = min(self.least, model.mean)
            self.greatest = max(self.greatest, model.mean)


@dataclass(slots=True)
class TargetPace:
    """One incarnation of a target.

    Attributes
    ----------
    born : int
        Low bits of its start time; see `observations.BORN_MASK`.
    factor : Factor
        How long it takes, compared with others of its service.
    machine : MachineState
    observed : int
        Number of observations.
    logged : float
        Logarithm of the factor that was logged last.
    """

    born: int
    factor: Factor
    machine: MachineState = field(default_factory=MachineState)
    observed: int = 0
    logged: float = 0


@dataclass(slots=True)
class PaceBook:
    """Paces of all targets, learned from the observations of all hosts.

    Attributes
    ----------
    services : dict of (str, bool) to ServicePace
        Keyed by name, and by whether requests are plain. Of plain services,
        only those whose targets state how slow their machines are.
    models : dict of (str, str) to Factor
        Cost of a model by its service and name, compared with the service's;
        the one that was observed last is last.
    targets : dict of str to TargetPace
    """

    services: dict[tuple[str, bool], ServicePace] = field(default_factory=dict)
    models: dict[tuple[str, str], Factor] = field(default_factory=dict)
    targets: dict[str, TargetPace] = field(default_factory=dict)

    def note(self, observation: Observation, now: float) -> None:
        """Learn from an observation.

        Parameters
        ----------
        observation : Observation
            Ignored if it is about another incarnation than the one known.
        now : float
            Time of the first byte, in seconds by the clock of this process.
        """
        target = self._get_target(observation.target, observation.born, now)
        if target.born != observation.born:
            return
        service = self._note_machine(observation, target, now)
        if service is None:
            return
        model = self._get_model(observation, now)
        factors = (service.cost, model, target.factor, service.steps)
        for factor in factors:
            factor.advance(now)
        wait = _divide(observation, *(one.mean for one in factors))
        waited_ms = max(observation.waited_ms, MIN_WAIT_MS)
        machine, known_share = service.machines.over(
            target.machine, observation.machine_percent, waited_ms / _MS_PER_S
        )
        weights = (wait.own_share, wait.own_share, 1, wait.step_share)
        learn(
            tuple(zip(factors, weights, strict=True)),
            math.log(waited_ms / (wait.expected_ms * machine)),
            _noise(wait, known_share),
        )
        target.observed += 1
        service.note_model(model)

    def note_machine(
        self, target: str, born: int, percent: int, now: float
    ) -> None:
        """Record a target's statement that belongs to no observation."""
        known = self._get_target(target, born, now)
        if known.born == born:
            known.machine.note(percent, now)

    def retain(self, borns: Mapping[str, int], now: float) -> None:
        """Forget all incarnations of targets except these."""
        for name in self.targets.keys() - borns.keys():
            self.targets.pop(name)
        for name, target in self.targets.items():
            if target.born != borns[name]:
                self.targets[name] = _new_target(borns[name], now)

    def pace(
        self, service: str, model: str, target: str, now: float
    ) -> Pace | None:
        """Return the pace of a target now, None if nothing is known of it.

        Parameters
        ----------
        service : str
        model : str
            Empty for a plain service.
        target : str
        now : float
        """
        known_service = self.services.get((service, not model))
        if known_service is None or not known_service.is_uneven:
            return None
        known = self.targets.get(target)
        log_factor = 0 if known is None else known.factor.log_at(now)
        state = MachineState() if known is None else known.machine
        lasting = math.exp(log_factor)
        slowness = lasting * known_service.machines.expect(
            state, now + READING_S / 2
        )
        cost = self._log_cost(known_service, service, model, now)
        steps = known_service.steps.log_at(now)
        return Pace(
            PROMPT_TOKENS_PER_MS / (slowness * math.exp(cost)),
            PROMPT_TOKENS_PER_MS / slowness,
            STEP_MS * slowness * math.exp(steps),
            PLAIN_REQUEST_MS * slowness * math.exp(cost),
            lasting,
            state.percent,
            state.age_s(now) if state.percent else 0,
        )

    def cost(self, service: str, model: str, now: float) -> float:
        """Return the time for a model's work, by the starting value.

        Waits at its targets seem to raise it while more is asked for than they
        can do, so it is bounded. Else a model in high demand would count for
        several times its work, and take the engines of others.
        """
        known = self.services.get((service, not model))
        if known is None or not known.is_uneven:
            return 1
        return min(
            math.exp(self._log_cost(known, service, model, now)), MAX_COST
        )

    def time_factor(self, service: str, target: str, now: float) -> float:
        """Return the time that a target takes for work, by that of others."""
        known = self.targets.get(target)
        found = self.services.get((service, False))
        if known is None or found is None or not found.is_uneven:
            return 1
        lasting = math.exp(known.factor.log_at(now))
        mean = found.machines.factor
        return lasting * known.machine.usual(mean) / mean

    def tokens_per_ms(
        self, service: str, model: str, target: str, now: float
    ) -> float | None:
        """Return the prompt tokens that a target reads per ms, if known."""
        pace = self.pace(service, model, target, now)
        return None if pace is None else pace.tokens_per_ms

    def step_ms(
        self, service: str, model: str, target: str, now: float
    ) -> float:
        """Return the duration of a step of a target's batch."""
        pace = self.pace(service, model, target, now)
        return STEP_MS if pace is None else pace.step_ms

    def plain_ms(self, service: str, target: str, now: float) -> float | None:
        """Return how long a plain request occupies a slot, if known."""
        pace = self.pace(service, '', target, now)
        return None if pace is None else pace.plain_ms

    def _get_target(self, name: str, born: int, now: float) -> TargetPace:
        target = self.targets.get(name)
        if target is None:
            target = _new_target(born, now)
            self.targets[name] = target
        return target

    def _note_machine(
        self, observation: Observation, target: TargetPace, now: float
    ) -> ServicePace | None:
        """Record the machine's state; return the service, None if unpaced."""
        percent = observation.machine_percent
        key = (observation.service, not observation.model)
        service = self.services.get(key)
        is_learned = bool(percent or observation.model)
        if is_learned and service is None and len(self.services) < MAX_SERVICES:
            service = ServicePace(
                new_factor(SERVICE_DEVIATION, now),
                new_factor(STEP_DEVIATION, now),
            )
            self.services[key] = service
        if percent and service is not None:
            service.has_states = True
            service.machines.note(percent, target.machine.age_s(now))
            target.machine.note(percent, now)
        return service

    def _get_model(self, observation: Observation, now: float) -> Factor:
        key = (observation.service, observation.model)
        model = self.models.pop(key, None) or new_factor(MODEL_DEVIATION, now)
        self.models[key] = model
        while len(self.models) > MAX_MODELS:
            self.models.pop(next(iter(self.models)))
        return model

    def _log_cost(
        self, known: ServicePace, service: str, model: str, now: float
    ) -> float:
        found = self.models.get((service, model))
        log_cost = known.cost.log_at(now)
        return log_cost if found is None else log_cost + found.log_at(now)


@dataclass(slots=True, frozen=True)
class _Wait:
    """An expected wait on a machine in its usual state, and its parts.

    Attributes
    ----------
    expected_ms : float
    own_share : float
        Share that depends on the cost of the request's own model.
    ahead_share : float
        Share of the prompts or requests before it.
    step_share : float
    """

    expected_ms: float
    own_share: float
    ahead_share: float
    step_share: float


def _divide(
    observation: Observation,
    log_service: float,
    log_model: float,
    log_target: float,
    log_steps: float,
) -> _Wait:
    cost = math.exp(log_service + log_model)
    factor = math.exp(log_target)
    if not observation.model:
        queued = observation.ahead_tokens / PLAIN_AHEAD_UNIT
        expected_ms = PLAIN_REQUEST_MS * (1 + queued) * cost * factor
        return _Wait(expected_ms, 1, queued / (1 + queued), 0)
    own_ms = observation.new_tokens / PROMPT_TOKENS_PER_MS * cost
    ahead_ms = observation.ahead_tokens / PROMPT_TOKENS_PER_MS
    step_ms = STEP_MS * math.exp(log_steps)
    usual_ms = own_ms + ahead_ms + step_ms
    return _Wait(
        usual_ms * factor,
        own_ms / usual_ms,
        ahead_ms / usual_ms,
        step_ms / usual_ms,
    )


def _noise(wait: _Wait, known_share: float) -> float:
    """Return the variance of a wait's logarithm if all factors were exact."""
    deviations = (
        WAIT_DEVIATION,
        AHEAD_DEVIATION * wait.ahead_share,
        STEPS_DEVIATION * wait.step_share,
        MACHINE_DEVIATION * (1 - known_share),
    )
    return sum(one * one for one in deviations)


def _new_target(born: int, now: float) -> TargetPace:
    return TargetPace(born, new_factor(TARGET_DEVIATION, now))
