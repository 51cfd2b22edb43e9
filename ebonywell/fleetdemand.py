"""What the callers of all hosts ask of the engines, as the holder knows it."""

from dataclasses import dataclass, field

from .digests import DemandMessage, ModelDemand
from .fleetview import FleetView
from .loadboard import LoadBoard
from .modeldemand import HostDemand, ModelKey, sum_demand

# Demand is averaged over seconds, but requests wait for models meanwhile.
PERIOD_S = 0.25
# In a larger fleet each host tells its demand less often, so that the holder
# takes no more messages than this.
MESSAGES_PER_S = 400
# A host that told nothing for so many periods is left out.
MAX_SILENT_PERIODS = 4
# A host that waits for a model asks more often than this.
LOAD_REQUEST_LIFE_S = 0.5


@dataclass(slots=True, frozen=True)
class ReceivedDemand:
    """What a host told the holder, and when."""

    message: DemandMessage
    received_at: float


@dataclass(slots=True)
class FleetDemand:
    """The demand on this host, and what the others told if it is the holder.

    Attributes
    ----------
    own : HostDemand
    board : LoadBoard
        Has the models that this host's requests run on.
    fleet : FleetView
    received : dict of str to ReceivedDemand
        By host.
    load_requests : dict of (str, str) to dict of str to float
        When each host last asked for a model that it lacks, by service and
        model; it may tell of its demand only later.
    """

    own: HostDemand
    board: LoadBoard
    fleet: FleetView
    received: dict[str, ReceivedDemand] = field(default_factory=dict)
    load_requests: dict[ModelKey, dict[str, float]] = field(
        default_factory=dict
    )

    def period_s(self) -> float:
        """Return how often each host tells the holder of its demand."""
        return max(PERIOD_S, self.fleet.size / MESSAGES_PER_S)

    def own_message(self, now: float) -> DemandMessage:
        """Return what this host tells the holder."""
        return DemandMessage(
            self.fleet.own_name,
            self.own.snapshot(now),
            self.own.recent_adapters(now),
            self.board.list_runs(),
        )

    def receive(self, message: DemandMessage, now: float) -> None:
        """Take over what another host told."""
        self.received[message.sender] = ReceivedDemand(message, now)

    def note_load_request(self, key: ModelKey, host: str, now: float) -> None:
        """Take over that a host asks for a model that it lacks."""
        self.load_requests.setdefault(key, {})[host] = now

    def expire(self, now: float) -> None:
        """Forget what hosts told or asked for that have fallen silent."""
        for key, askers in list(self.load_requests.items()):
            if now - max(askers.values()) >= LOAD_REQUEST_LIFE_S:
                self.load_requests.pop(key)
        life_s = MAX_SILENT_PERIODS * self.period_s()
        for name, told in list(self.received.items()):
            if now - told.received_at >= life_s:
                self.received.pop(name)

    def total(self, now: float) -> dict[ModelKey, ModelDemand]:
        """Return the demand of all hosts, by service and model."""
        snapshots = [one.message.demand for one in self.received.values()]
        snapshots.append(self.own.snapshot(now))
        total = sum_demand(snapshots)
        for key, askers in self.load_requests.items():
            known = total.get(key, ModelDemand(*key, 0, 0))
            waiting = max(known.waiting, len(askers))
            total[key] = ModelDemand(*key, known.work_ms, waiting)
        return total

    def recent_adapters(self, now: float) -> set[str]:
        """Return the adapters that any host's callers used of late."""
        used = set(self.own.recent_adapters(now))
        for told in self.received.values():
            used.update(told.message.adapters)
        return used

    def models_in_use(self, target: str) -> set[str]:
        """Return the models and ``model/adapter`` that requests run on."""
        used = self.board.models_in_use(target)
        for told in self.received.values():
            used.update(told.message.runs.get(target, ()))
        return used

    def count_reporting_hosts(self) -> int:
        """Return of how many hosts the demand is known, this one included."""
        return 1 + len(self.received)

    def knows_half(self) -> bool:
        """Return whether the demand of half of the hosts is known."""
        return 2 * self.count_reporting_hosts() >= self.fleet.size
