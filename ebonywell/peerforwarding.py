"""Passes requests on to another host while this one reaches no target.

The other host treats the request as a caller's: it checks the key, charges the
limit, retries and resumes. This host only copies the answer. So a request is
admitted and counted once, and what may not be repeated is sent on once.
"""

import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio

from .answerbuffers import AnswerBuffers
from .attempts import MAX_ANSWER_BYTES, MIN_LEFT_S, add_content_length
from .clock import boot_time
from .digests import Digest
from .exceptions import TargetUnreachableError
from .fleetview import FleetView
from .inbound import AdmittedRequest, RejectionError, Responder
from .intake import Intake
from .inventory import Inventory
from .logs import Logger
from .progress import NOT_RUN_STATUSES, Outcome, Progress
from .routetable import RequestKind
from .streamheads import is_event_stream
from .targetreach import TargetReach
from .upstream import AnswerHead, Connection, ConnectionPool, Ending

# Hosts to which a request is passed on, one after the other.
MAX_HOSTS = 3
# Between two attempts to connect to a target while none is reached.
PROBE_PERIOD_S = 0.5
# Callers of a host that can pass nothing on find another one by then.
UNREACHABLE_RETRY_S = 0.5
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


@dataclass(slots=True, frozen=True)
class HostFormat:
    """Format of requests between hosts, which is that of callers' requests.

    Attributes
    ----------
    encode : callable
        Takes the request and the seconds left; returns the encoded
        head.
    answer_headers : callable
        Returns the headers that are forwarded to the caller.
    """

    encode: Callable[[AdmittedRequest, float], bytes]
    answer_headers: Callable[[AnswerHead], list[tuple[bytes, bytes]]]


class BrokenAnswerError(Exception):
    """Another host broke off before it had answered."""


@dataclass(slots=True)
class PeerForwarder:
    """Passes requests on to hosts that reach the targets.

    Attributes
    ----------
    inventory : Inventory
        The targets that this host knows.
    intake : Intake
        This host's configuration.
    target_pool : ConnectionPool
        Connections to targets.
    reach : TargetReach
        This host's links to the targets.
    pool : ConnectionPool
        Connections to other hosts.
    buffers : AnswerBuffers
        Answers of targets and of other hosts that are being buffered.
    """

    fleet: FleetView
    inventory: Inventory
    intake: Intake
    target_pool: ConnectionPool
    format: HostFormat
    log: Logger
    rng: random.Random
    reach: TargetReach = field(default_factory=TargetReach)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    buffers: AnswerBuffers = field(default_factory=AnswerBuffers)

    def is_cut(self) -> bool:
        """Return whether this host seems to be cut off from the targets."""
        return self.reach.is_cut(len(self.inventory.targets), boot_time())

    def can_forward(self, request: AdmittedRequest) -> bool:
        """Return whether a request may be passed on, and to some host.

        One that another host passed on goes no further.
        """
        return not request.is_forwarded and bool(self._list_hosts(set()))

    def is_needed(self, request: AdmittedRequest) -> bool:
        """Return whether to pass a request on at once."""
        return self.is_cut() and self.can_forward(request)

    async def serve(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
    ) -> Outcome:
        """Pass a request on, and copy the answer to the caller.

        Raises
        ------
        RejectionError
            If no host answered and nothing was sent to the caller.
        """
        tried: set[str] = set()
        for _ in range(MAX_HOSTS):
            if not self._may_try(request, progress, tried):
                break
            host = self.rng.choice(self._list_hosts(tried))
            tried.add(host.name)
            outcome = await self._try_host(request, responder, progress, host)
            if outcome is not None:
                return outcome
        if progress.may_run:
            raise RejectionError(_BAD_GATEWAY, 'host_broken')
        raise RejectionError(
            _UNAVAILABLE, 'targets_unreachable', UNREACHABLE_RETRY_S
        )

    async def probe_targets(self) -> None:
        """Connect to a target now and then while none is reached.

        Nothing else is sent to the targets then, so nothing else would notice
        that the links are back.
        """
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            if self.is_cut():
                known = self.rng.choice(list(self.inventory.targets.values()))
                await self._probe(known.announcement.address)

    def prune(self) -> None:
        """Close expired connections and those to hosts that have gone."""
        self.pool.prune(
            frozenset(
                peer.digest.caller_address
                for peer in self.fleet.peers.values()
                if peer.digest is not None
            )
        )

    def _may_try(
        self, request: AdmittedRequest, progress: Progress, tried: set[str]
    ) -> bool:
        """Return whether to pass a request on to a further host."""
        if progress.may_run and not request.route.is_repeatable:
            return False
        is_over = request.deadline - boot_time() < MIN_LEFT_S
        return not is_over and bool(self._list_hosts(tried))

    def _list_hosts(self, tried: set[str]) -> list[Digest]:
        """Return the hosts that reach the targets.

        An older configuration must not decide on what this host has admitted.
        """
        return [
            digest
            for digest in self.fleet.recent_digests(boot_time())
            if digest.is_ready
            and digest.reaches_targets
            and digest.config_version >= self.intake.version
            and digest.name not in tried
        ]

    async def _probe(self, address: str) -> None:
        started_at = boot_time()
        try:
            connection = await self.target_pool.acquire(address, is_new=True)
        except TargetUnreachableError as error:
            self.reach.note_failure(address, started_at, boot_time())
            self.log('targets_unreachable', address=address, why=str(error))
            return
        self.target_pool.keep(address, connection)
        self.reach.note_answer(boot_time())
        self.log('targets_reached', address=address)

    async def _try_host(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        host: Digest,
    ) -> Outcome | None:
        """Pass a request on to a host; return None if it may try another."""
        try:
            return await self._forward(request, responder, progress, host)
        except TargetUnreachableError as error:
            self.log('host_unreachable', to=host.name, why=str(error))
        except BrokenAnswerError:
            self.log(
                'forwarding_broken', request=request.request_id, to=host.name
            )
            if progress.is_started:
                return Outcome(0, 'cut_host_broken')
        return None

    async def _forward(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        host: Digest,
    ) -> Outcome:
        address = host.caller_address
        connection = await self.pool.acquire(address)
        try:
            return await self._exchange(
                request, responder, progress, host, connection
            )
        finally:
            self.pool.release(address, connection)

    async def _exchange(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        host: Digest,
        connection: Connection,
    ) -> Outcome:
        exchange = connection.send(
            self.format.encode(request, request.deadline - boot_time()),
            request.body,
        )
        progress.note_sent()
        progress.target = host.name
        self.log('request_forwarded', request=request.request_id, to=host.name)
        head = await connection.receive(exchange)
        if not isinstance(head, AnswerHead):
            raise BrokenAnswerError
        return await self._copy_answer(
            request, responder, progress, connection, head
        )

    async def _copy_answer(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        connection: Connection,
        head: AnswerHead,
    ) -> Outcome:
        """Copy an answer; a stream at once, any other when it is whole.

        Raises
        ------
        RejectionError
            If the other host has not run the request, but an earlier one may.
        """
        headers = self.format.answer_headers(head)
        is_stream = request.route.kind is RequestKind.stream
        if is_stream and is_event_stream(head):
            await self._start(request, responder, progress, head, headers)
            async for part in _receive_body(connection):
                await responder.send(part)
        else:
            body = await read_whole_body(connection, self.buffers)
            _check_rejection(head, progress)
            headers = add_content_length(headers, body)
            await self._start(request, responder, progress, head, headers)
            await responder.send(body)
        await responder.finish()
        return Outcome(head.status, 'forwarded')

    async def _start(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        head: AnswerHead,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        progress.first_byte_s = boot_time() - request.received_at
        await responder.start(head.status, headers)
        progress.is_started = True


async def _receive_body(connection: Connection) -> AsyncIterator[bytes]:
    """Iterate over the parts of a body.

    Raises
    ------
    BrokenAnswerError
        If it does not end whole.
    """
    exchange = connection.exchange
    assert exchange is not None
    part = await connection.receive(exchange)
    while isinstance(part, bytes):
        yield part
        part = await connection.receive(exchange)
    if part is not Ending.whole:
        raise BrokenAnswerError


async def read_whole_body(
    connection: Connection, buffers: AnswerBuffers
) -> bytes:
    """Return a whole body.

    Raises
    ------
    BrokenAnswerError
        If it does not end whole, is too long, or is given up for others.
    """
    with buffers.open() as buffer:
        async for part in _receive_body(connection):
            buffers.add(buffer, part)
            if buffer.is_dropped or len(buffer.body) > MAX_ANSWER_BYTES:
                raise BrokenAnswerError
        return bytes(buffer.body)


def _check_rejection(head: AnswerHead, progress: Progress) -> None:
    """Take the word of another host that it has not run a request.

    Raises
    ------
    RejectionError
        If an earlier one may have run it.
    """
    if head.status in NOT_RUN_STATUSES:
        progress.note_not_run()
        if progress.may_run:
            raise RejectionError(_BAD_GATEWAY, 'host_rejected')
