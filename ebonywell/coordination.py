"""What the hosts decide together about requests to targets."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from .crashguard import CrashGuard
from .digests import (
    CrashMessage,
    Message,
    OriginMessage,
    OriginRequestMessage,
    PauseMessage,
    PermitMessage,
    PermitRequestMessage,
    StatementMessage,
    TrialMessage,
)
from .gossip import Gossip, Report
from .hostknowledge import Knowledge
from .inventory import KnownTarget
from .logs import Logger
from .metrics import Metrics
from .origins.defaults import DefaultReleases
from .sharedstore import SharedStore
from .streamorigins import StreamOrigins
from .streamrecords import StreamRecords
from .targetlimits import TargetLimits


def _ignore_pause(message: PauseMessage) -> None:
    """Do nothing; the default of `Coordination.pause_target`."""


@dataclass(slots=True)
class Coordination:
    """The parts of a host that decide with their like on other hosts.

    Attributes
    ----------
    guard : CrashGuard
        Holds back requests that crash targets.
    limits : TargetLimits
        Keeps the limits that targets state.
    origins : StreamOrigins
        Knows where resumable streams began.
    pause_target : callable
        Has this host send a target nothing for a moment.
    """

    guard: CrashGuard
    limits: TargetLimits
    origins: StreamOrigins
    pause_target: Callable[[PauseMessage], None] = _ignore_pause

    def receive(self, message: Message) -> bool:
        """Handle a message; return False if it is meant for other parts."""
        match message:
            case CrashMessage() | TrialMessage():
                self.guard.receive(message)
            case StatementMessage() | PermitRequestMessage() | PermitMessage():
                self.limits.receive(message)
            case PauseMessage():
                self.pause_target(message)
            case OriginRequestMessage() | OriginMessage():
                self.origins.receive(message)
            case _:
                return False
        return True

    def list_reports(self) -> Iterator[Report]:
        """Yield what to report with the next digest, the most urgent first."""
        yield from self.limits.list_messages()
        yield from self.guard.list_crashes()

    def expire(
        self, targets: Iterable[KnownTarget], proven_at: float, now: float
    ) -> None:
        """Forget what no longer counts.

        Parameters
        ----------
        targets : iterable of KnownTarget
        proven_at : float
            When discovery last proved which targets there are.
        now : float
        """
        self.guard.expire(now)
        self.limits.expire(one.incarnation for one in targets)
        self.origins.note_targets(proven_at, now)


def make_coordination(
    known: Knowledge,
    gossip: Gossip,
    store: SharedStore,
    own_topic: str,
    is_ready: Callable[[], bool],
    life: Callable[[], int | None],
    log: Logger,
    metrics: Metrics,
) -> Coordination:
    """Return what a host decides together with the other hosts.

    Parameters
    ----------
    known : Knowledge
    gossip : Gossip
    store : SharedStore
    own_topic : str
        Topic of the hosts' own records.
    is_ready : callable
        Returns whether this host serves callers.
    life : callable
        Returns the store offset of its start, None before it has joined.
    log : Logger
    metrics : Metrics
    """
    name = known.fleet.own_name
    records = StreamRecords(store, own_topic, name, life, log)
    return Coordination(
        CrashGuard(name, gossip.broadcast, log, metrics),
        TargetLimits(
            known.fleet,
            gossip,
            is_ready,
            log,
            metrics,
            cold=known.inventory.cold,
        ),
        StreamOrigins(
            records,
            known.fleet,
            known.inventory,
            gossip,
            DefaultReleases(
                records,
                known.fleet,
                known.inventory,
                known.list_resumable_services,
                log,
            ),
            log,
        ),
    )
