"""Reports the running requests of each model to the lease holder."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
import msgspec

from . import wire
from .logs import Logger
from .peers import Peers
from .replica import Replica
from .types import HostId

REPORT_INTERVAL_S = 1.0
# A host without recent reports runs no requests, or reports to another lease
# holder.
REPORT_TTL_S = 5.0
NOTE_KIND = 'usage'

Count = Callable[[], Mapping[str, float]]


class UsageNote(msgspec.Struct, frozen=True):
    """Report of one host to the lease holder.

    Attributes
    ----------
    running : dict of str to float
        Requests that run or wait on the host, by model.
    """

    running: dict[str, float]


@dataclass(slots=True)
class _ReceivedUsage:
    running: dict[str, float]
    received_at: float


class Usage:
    """The service named ``usage``.

    Hosts report only to the lease holder, so that the number of messages
    grows with the number of hosts and not with its square.

    Attributes
    ----------
    count : callable
        Returns the requests of this process that run or wait, by model.
    received : dict of str to _ReceivedUsage
        Latest reports of the other hosts, by host name.
    malformed : int
        Number of reports that could not be decoded.
    """

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        count: Count,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.replica = replica
        self.peers = peers
        self.count = count
        self.log = log
        self.clock = clock
        self.received: dict[str, _ReceivedUsage] = {}
        self.malformed = 0
        peers.add_handler(wire.Note, self._receive_note)

    async def run(self, ready: Callable[[], None]) -> None:
        """Report to the lease holder periodically until cancelled."""
        ready()
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self._report()

    async def stop(self) -> None:
        """Do nothing: reports expire at the lease holder."""

    def observe(self) -> Mapping[str, float]:
        """Return the requests that run or wait on all hosts, by model."""
        total = Counter(self.count())
        now = self.clock()
        for name, usage in list(self.received.items()):
            if now - usage.received_at > REPORT_TTL_S:
                self.received.pop(name)
            else:
                total.update(usage.running)
        return total

    def _report(self) -> None:
        holder, _, _ = self.replica.state.lease.holder.partition('/')
        if not holder or holder == self.replica.host.name:
            return
        running = dict(self.count())
        content = msgspec.json.encode(UsageNote(running))
        self.peers.send(holder, wire.Note(NOTE_KIND, content))

    def _receive_note(self, sender: HostId, message: wire.Note) -> None:
        if message.kind != NOTE_KIND:
            return
        try:
            note = msgspec.json.decode(message.content, type=UsageNote)
        except msgspec.MsgspecError as error:
            self.malformed += 1
            self.log('usage_malformed', peer=sender.name, reason=str(error))
            return
        self.received[sender.name] = _ReceivedUsage(note.running, self.clock())
