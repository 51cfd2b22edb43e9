"""Demand of all hosts for models, as received by the lease holder."""

from dataclasses import dataclass, field

from .digests import DemandMessage, ModelDemand
from .fleetview import FleetView
from .loadboard import LoadBoard
from .modeldemand import HostDemand, ModelKey, sum_demand

# Interval between a host's demand messages. Although demand is averaged over
# seconds, it is sent more often because requests are waiting for models.
PERIOD_S = 0.25
# Most demand messages that the lease holder receives; in a larger fleet each
# host sends them less often.
MESSAGES_PER_S = 400
# Periods without a message after which a host's demand is ignored.
MAX_SILENT_PERIODS = 4
# Time after which a load request expires; a host that waits for a model
# repeats its request more often.
LOAD_REQUEST_LIFE_S = 0.5


@dataclass(slots=True, frozen=True)
class ReceivedDemand:
    """A host's demand message and when it was received."""

    message: DemandMessage
    received_at: float


@dataclass(slots=True)
class FleetDemand:
    """Demand of this host and, on the lease holder, of the other hosts.

    Attributes
    ----------
    own : HostDemand
        Demand of this host's callers.
    board : LoadBoard
        Knows the models that this host's requests run on.
    fleet : FleetView
    received : dict of str to ReceivedDemand
        Demand of the other hosts, by host.
    load_requests : dict of (str, str) to dict of str to float
        When each host last requested a model, by service and model; the
        host's demand message may arrive only later.
    """

    own: HostDemand
    board: LoadBoard
    fleet: FleetView
    received: dict[str, ReceivedDemand] = field(default_factory=dict)
    load_requests: dict[ModelKey, dict[str, float]] = field(
        default_factory=dict
    )

    def period_s(self) -> float:
        """Return the interval between a host's demand messages, in seconds."""
        return max(PERIOD_S, self.fleet.size / MESSAGES_PER_S)

    def own_message(self, now: float) -> DemandMessage:
        """Return the demand message of this host."""
        return DemandMessage(
            self.fleet.own_name,
            self.own.snapshot(now),
            self.own.recent_adapters(now),
            self.board.list_runs(),
        )

    def receive(self, message: DemandMessage, now: float) -> None:
        """Store the demand message of another host."""
        self.received[message.sender] = ReceivedDemand(message, now)

    def note_load_request(self, key: ModelKey, host: str, now: float) -> None:
        """Record that a host requests the load of a model."""
        self.load_requests.setdefault(key, {})[host] = now

    def expire(self, now: float) -> None:
        """Drop the load requests and demand of hosts that have gone silent."""
        for key, hosts in list(self.load_requests.items()):
            if now - max(hosts.values()) >= LOAD_REQUEST_LIFE_S:
                self.load_requests.pop(key)
        life_s = MAX_SILENT_PERIODS * self.period_s()
        for name, report in list(self.received.items()):
            if now - report.received_at >= life_s:
                self.received.pop(name)

    def total(self, now: float) -> dict[ModelKey, ModelDemand]:
        """Return the demand of all hosts, by service and model."""
        snapshots = [one.message.demand for one in self.received.values()]
        snapshots.append(self.own.snapshot(now))
        total = sum_demand(snapshots)
        for key, hosts in self.load_requests.items():
            known = total.get(key, ModelDemand(*key, 0, 0))
            waiting = max(known.waiting, len(hosts))
            total[key] = ModelDemand(*key, known.work_ms, waiting)
        return total

    def recent_adapters(self, now: float) -> set[str]:
        """Return the adapters that callers of any host used recently."""
        used = set(self.own.recent_adapters(now))
        for report in self.received.values():
            used.update(report.message.adapters)
        return used

    def models_in_use(self, target: str) -> set[str]:
        """Return the models and ``model/adapter`` that requests run on."""
        used = self.board.models_in_use(target)
        for report in self.received.values():
            used.update(report.message.runs.get(target, ()))
        return used

    def count_reporting_hosts(self) -> int:
        """Return the number of hosts with known demand, including this one."""
        return 1 + len(self.received)

    def knows_half(self) -> bool:
        """Return whether the demand of half of the hosts is known."""
        return 2 * self.count_reporting_hosts() >= self.fleet.size
