"""Simulates entry hosts and their limits, with faults and a virtual clock.

The log, the links and the clocks are small fakes; membership, relay and limits
are the production code.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from functools import partial
from typing import Any, cast

import msgspec

from ebonywell import ledger as token_ledger
from ebonywell import lending, logs, registry
from ebonywell.answers import RefusedError
from ebonywell.changes import Workspace, WorkspaceSet
from ebonywell.decider import EXPEL_AFTER_S
from ebonywell.hostlist import ROLE, HostLine
from ebonywell.limits import TICK_S, Limits
from ebonywell.logclient import LONG_POLL_S
from ebonywell.membership import Membership
from ebonywell.peers import HEARTBEAT_INTERVAL_S, Peer, Peers
from ebonywell.records import Body, make_record
from ebonywell.relay import Relay
from ebonywell.replica import Replica
from ebonywell.shares import Reservation, Waiter
from ebonywell.targets import ListedHost
from ebonywell.types import HostId
from ebonywell.wire import Heartbeat, Message, Transfers, encode

from .limits_tally import AdmittedRequest, PendingRequest, Tally

READ_INTERVAL_S = 0.25
READ_LATENCY_S = 0.004
APPEND_LATENCY_S = 0.01
MIN_MESSAGE_DELAY_S = 0.0015
MESSAGE_JITTER_S = 0.002
WAITER_TICK_INTERVAL_S = 0.02
REGISTRY_INTERVAL_S = 0.25
ZONE = 'az1'
MIN_REQUEST_S = 0.1
MAX_REQUEST_S = 3.0


class FakePeers:
    """Fake of `Peers`: the links of one host."""

    def __init__(self, host: 'FakeHost') -> None:
        self.host = host
        self.address = f'{host.id.name}:1'
        self.known: dict[str, Peer] = {}
        self.handlers: dict[type[Message], list[Any]] = {}
        self.heartbeat: Callable[[str], Heartbeat] | None = None
        self.listed: Any = None
        self.add_handler(Heartbeat, self._record_heartbeat)

    def add_handler(self, kind: type[Message], handler: Any) -> None:
        """Register a function that is called for each message of a kind."""
        self.handlers.setdefault(kind, []).append(handler)

    def send(self, name: str, message: Message) -> bool:
        """Send a message, subject to the fleet's delays and faults."""
        return self.host.fleet.send(self.host, name, message)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every other host."""
        for name in self.host.fleet.hosts:
            if name != self.host.id.name and self.heartbeat is not None:
                self.send(name, self.heartbeat(name))

    def handle_message(self, sender: HostId, message: Message) -> None:
        """Pass a message to its handlers."""
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)

    def _record_heartbeat(self, sender: HostId, heartbeat: Heartbeat) -> None:
        self.known[sender.name] = Peer(sender, heartbeat, self.host.clock())


class FakeHost:
    """One incarnation of a host, with production membership and limits.

    Attributes
    ----------
    id : HostId
    clock_offset_s : float
        Difference of the host's monotonic clock from the virtual time.
    frozen_until : float
        Virtual time until which the process is frozen.
    is_dead, is_leaving, has_log : bool
    is_cut : bool
        Whether this incarnation reaches neither the log nor any peer.
    read_number : int
        Number of the latest read of the log; late answers to older reads
        are dropped.
    deferred_actions : list of callable
        Actions that run when a frozen host resumes.
    """

    def __init__(self, fleet: 'Fleet', host_id: HostId, address: str) -> None:
        self.fleet = fleet
        self.id = host_id
        self.clock_offset_s = fleet.chance.uniform(0, 1000)
        self.frozen_until: float = 0
        self.is_dead = False
        self.is_leaving = False
        self.has_log = True
        self.is_cut = False
        self.is_reading = False
        self.read_sent_at: float = 0
        self.read_number = 0
        self.appended_at = -math.inf
        self.deferred_actions: list[Callable[[], None]] = []
        self.peers = FakePeers(self)
        self.peers.address = address
        peers = cast(Peers, self.peers)
        self.replica = Replica(
            cast(Any, None),
            host_id,
            logs.discard_event,
            self.clock,
        )
        line = ListedHost(host_id.name, ROLE, address, ZONE)
        self.membership = Membership(
            host_id,
            HostLine(line, cast(Any, None), logs.discard_event),
            self.replica,
            peers,
            tuple,
            logs.discard_event,
            self.clock,
        )
        self.relay = Relay(self.replica, peers, logs.discard_event, self.clock)
        self.limits = Limits(
            host_id,
            self.replica,
            peers,
            self.membership,
            logs.discard_event,
            self.clock,
        )
        self.membership.is_open = True
        self.membership.decider.expel_after_s = fleet.expel_after_s

    @property
    def can_reach_log(self) -> bool:
        """Whether this host can read and append to the log."""
        return self.fleet.log_is_up and self.has_log and not self.is_cut

    def clock(self) -> float:
        """Return the monotonic time of this host."""
        return self.fleet.now + self.clock_offset_s

    def run_when_awake(self, action: Callable[[], None]) -> None:
        """Run an action now, or on resuming if frozen, or never if dead."""
        if self.is_dead:
            return
        if self.fleet.now < self.frozen_until:
            self.deferred_actions.append(action)
        else:
            action()

    def read_log(self) -> None:
        """Start a long poll of the log for new records."""
        if self.is_reading or not self.can_reach_log:
            return
        self.is_reading = True
        self.read_sent_at = self.clock()
        self.read_number = next(self.fleet.sequence)
        has_more = self.replica.state.applied + 1 < len(self.fleet.records)
        self.fleet.after(
            READ_LATENCY_S if has_more else LONG_POLL_S,
            partial(self.complete_read, self.read_number),
        )

    def complete_read(self, read_number: int) -> None:
        """Answer a read of the log; a frozen host gets the answer later."""
        if not self.is_reading or read_number != self.read_number:
            return
        self.is_reading = False
        if self.can_reach_log:
            start = self.replica.state.applied + 1
            page = list(enumerate(self.fleet.records[start:], start))
            sent_at = self.read_sent_at
            self.run_when_awake(lambda: self.take_page(page, sent_at))

    def take_page(self, page: list[tuple[int, object]], sent_at: float) -> None:
        """Apply the records that answer a read sent at the given time."""
        for offset, parsed in page:
            self.replica.apply(offset, parsed)
        self.replica.read_at = sent_at
        self.replica.is_complete = True
        self.read_log()

    def append_due_record(self) -> None:
        """Append the due membership record, as `Membership.run` does."""
        now = self.clock()
        if not self.replica.is_complete or self.is_leaving:
            return
        self.membership.acks[str(self.id)] = self.replica.state.applied
        record = self.membership.due_record(now)
        if record is not None and now - self.appended_at > 1:
            self.appended_at = now
            self.append(record)

    def append(self, record: Body) -> None:
        """Append a record, unless the log cannot be reached."""
        if self.can_reach_log:
            self.fleet.after(
                APPEND_LATENCY_S, lambda: self.fleet.append(record)
            )

    def tick(self) -> None:
        """Transfer tokens between hosts, as `Limits.run` does."""
        lending.tick(self.limits.ledger, self.limits.apply_epoch())

    def leave(self) -> None:
        """Hand over all tokens and leave, as a planned stop does."""
        self.is_leaving = True
        self.limits.apply_epoch()
        lending.hand_over(self.limits.ledger, self.clock())
        self.append(registry.HostLeft(self.id.name, self.id.incarnation))
        self.fleet.after(1, partial(setattr, self, 'is_dead', True))

    def request(
        self,
        workspace: str,
        tokens: int,
        used_tokens: int,
        *,
        is_conforming: bool = False,
    ) -> None:
        """Admit, queue or reject a request of a caller.

        Parameters
        ----------
        workspace : str
        tokens, used_tokens : int
            Tokens to reserve, and tokens used when the request ends.
        is_conforming : bool
            Whether a single bucket for the whole fleet has the tokens.
        """
        tally = self.fleet.tallies.setdefault(workspace, Tally())
        if self.is_dead or self.is_leaving:
            tally.unreachable += 1
            return
        request = PendingRequest(
            workspace, tokens, used_tokens, is_conforming, tally
        )
        self.run_when_awake(partial(self._admit, request))

    def _admit(self, request: PendingRequest) -> None:
        now = self.limits.apply_epoch()
        tally = request.tally
        try:
            account = self.limits.open_account(request.workspace, now)
        except RefusedError:
            tally.stale_rejections += 1
            tally.wrongful_rejections += request.is_conforming
            return
        reservation = token_ledger.reserve(
            self.limits.ledger, account, request.tokens, now
        )
        if reservation is not None:
            tally.waits_s.append(0)
            self._start_request(reservation, request)
            return

        def end_wait() -> None:
            self._finish_waiting(request, waiter, now)

        waiter = Waiter(request.tokens, now + lending.MAX_WAIT_S, end_wait)
        if lending.enqueue(self.limits.ledger, account, waiter, now):
            self._tick_while_waiting(WAITER_TICK_INTERVAL_S, waiter)
        else:
            end_wait()

    def _finish_waiting(
        self, request: PendingRequest, waiter: Waiter, began_at: float
    ) -> None:
        tally = request.tally
        now = self.clock()
        if self.membership.is_stale(now):
            tally.stale_rejections += 1
            tally.wrongful_rejections += request.is_conforming
        elif waiter.reservation is None:
            tally.limit_rejections += 1
            tally.wrongful_rejections += request.is_conforming
        else:
            tally.waited += 1
            tally.waits_s.append(now - began_at)
            self._start_request(waiter.reservation, request)

    def _tick_while_waiting(self, interval_s: float, waiter: Waiter) -> None:
        account_waiters = [
            account.waiters for account in self.limits.ledger.accounts.values()
        ]
        if any(waiter in waiters for waiters in account_waiters):
            self.run_when_awake(self.tick)
            self.fleet.after(
                interval_s, lambda: self._tick_while_waiting(interval_s, waiter)
            )

    def _start_request(
        self, reservation: Reservation, request: PendingRequest
    ) -> None:
        request.tally.admitted += 1
        fleet = self.fleet
        entry = AdmittedRequest(
            fleet.now,
            reservation.workspace,
            self.id.name,
            reservation.tokens,
        )
        fleet.history.append(entry)

        def settle() -> None:
            entry.tokens = request.used_tokens
            self.limits.settle(reservation, request.used_tokens)

        fleet.after(
            fleet.chance.uniform(MIN_REQUEST_S, fleet.max_request_s),
            lambda: self.run_when_awake(settle),
        )


class Fleet:
    """Simulated hosts, their log and links, and the virtual time.

    Attributes
    ----------
    now : float
        Seconds since the start.
    hosts : dict of str to FakeHost
        The latest incarnation of each name.
    lives : list of FakeHost
        All incarnations. A frozen one may have a successor already.
    records : list of object
        Contents of the log.
    cuts : set of frozenset of str
        Pairs of hosts that cannot reach each other.
    loss_probability, duplicate_probability : float
        Probabilities that a message is lost or delivered twice.
    max_request_s : float
        Longest duration of a request.
    messages, message_bytes : int
        Number and size of the token transfers sent.
    history : list of AdmittedRequest
    """

    def __init__(
        self,
        seed: int,
        names: list[str],
        expel_after_s: float = EXPEL_AFTER_S,
    ) -> None:
        self.expel_after_s = expel_after_s
        self.chance = random.Random(seed)
        self.now: float = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.hosts: dict[str, FakeHost] = {}
        self.lives: list[FakeHost] = []
        self.records: list[object] = []
        self.log_is_up = True
        self.cuts: set[frozenset[str]] = set()
        self.max_request_s = MAX_REQUEST_S
        self.loss_probability: float = 0
        self.duplicate_probability: float = 0
        self.messages = 0
        self.message_bytes = 0
        self.history: list[AdmittedRequest] = []
        self.tallies: dict[str, Tally] = {}
        for name in names:
            self.start(name)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        event = (self.now + delay_s, next(self.sequence), action)
        heapq.heappush(self.events, event)

    def run_until(self, end: float) -> None:
        """Run the scheduled actions up to a time."""
        while self.events and self.events[0][0] <= end:
            due_at, _, action = heapq.heappop(self.events)
            self.now = due_at
            action()
        self.now = end

    def start(self, name: str, address: str = '') -> FakeHost:
        """Start a new incarnation of a host."""
        incarnation = str(next(self.sequence))
        host = FakeHost(self, HostId(name, incarnation), address or name)
        self.hosts[name] = host
        self.lives.append(host)
        self._repeat(HEARTBEAT_INTERVAL_S, host, host.peers.send_heartbeats)
        self._repeat(READ_INTERVAL_S, host, host.read_log)
        self._repeat(REGISTRY_INTERVAL_S, host, host.append_due_record)
        self._repeat(TICK_S, host, host.tick)
        return host

    def freeze(self, host: FakeHost, seconds: float) -> None:
        """Freeze a host for some seconds; what reaches it meanwhile is kept."""
        host.frozen_until = max(host.frozen_until, self.now + seconds)
        self.after(seconds, partial(self._resume, host))

    def append(self, record: Body) -> None:
        """Append a record to the log, which ends the open long polls."""
        made = make_record(record, '', self.now)
        self.records.append(msgspec.to_builtins(made))
        for host in self.hosts.values():
            self.after(
                READ_LATENCY_S, partial(host.complete_read, host.read_number)
            )

    def add_workspace(self, name: str, rate: float, burst: float) -> None:
        """Append a record that creates a workspace."""
        self.append(WorkspaceSet(Workspace(name, rate, burst)))

    def send(self, sender: FakeHost, name: str, message: Message) -> bool:
        """Deliver a message with a delay, and maybe twice or not at all."""
        target = self.hosts.get(name)
        if target is None or sender.is_cut or target.is_cut:
            return False
        is_cut = frozenset((sender.id.name, name)) in self.cuts
        if is_cut or self.chance.random() < self.loss_probability:
            return False
        if isinstance(message, Transfers):
            self.messages += 1
            self.message_bytes += len(encode(message))
        self._deliver(sender.id, target, message)
        if self.chance.random() < self.duplicate_probability:
            self._deliver(sender.id, target, message)
        return True

    def _resume(self, host: FakeHost) -> None:
        actions = list(host.deferred_actions)
        if self.now >= host.frozen_until:
            host.deferred_actions.clear()
            for action in actions:
                host.run_when_awake(action)

    def _deliver(
        self,
        sender: HostId,
        target: FakeHost,
        message: Message,
    ) -> None:
        def deliver() -> None:
            target.run_when_awake(
                lambda: target.peers.handle_message(sender, message),
            )

        delay_s = MIN_MESSAGE_DELAY_S + self.chance.random() * MESSAGE_JITTER_S
        self.after(delay_s, deliver)

    def _repeat(
        self,
        interval_s: float,
        host: FakeHost,
        action: Callable[[], None],
    ) -> None:
        def act() -> None:
            if not host.is_dead:
                # A frozen process does not run the rounds that it missed.
                if self.now >= host.frozen_until:
                    action()
                self.after(interval_s, act)

        self.after(self.chance.random() * interval_s, act)
