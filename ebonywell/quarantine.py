"""Prevents a request from crashing more than two targets."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from .answers import RefusedError, refuse, unknown
from .exceptions import LogOutageError
from .logs import Logger
from .oncecalls import LogAccess
from .suspects import (
    RequestCleared,
    RequestStatus,
    RequestSuspected,
    SuspectRecord,
    TrialEnded,
    TrialStarted,
    is_crash,
    request_status,
)
from .targets import Target
from .types import new_id

TRIAL_POLL_S = 0.05
MAX_QUEUED_BREAKS = 10_000
_STATUS_UNPROCESSABLE = 422
_STATUS_UNAVAILABLE = 503
_RETRY_AFTER_S = 1.0

Probe = Callable[[Target], Awaitable[str | None]]


@dataclass(slots=True)
class _BrokenExchange:
    digest: str
    target: Target
    incarnation: str
    is_trial: bool


class Quarantine:
    """Runs the trials and records the suspects of this process.

    A suspect is a request that was in flight on a target that crashed.

    Attributes
    ----------
    enqueue_record : callable
        Queues a record that must reach the log.
    is_alive : callable
        Returns whether a host, by name and incarnation, is known to be alive.
    probe : callable
        Queries a target for its incarnation; None if it does not answer.
    unlogged : dict of str to None
        Digests of suspects that are not yet recorded in the log; this host
        runs none of them.
    """

    def __init__(
        self,
        replica: LogAccess,
        host: str,
        enqueue_record: Callable[[SuspectRecord], object],
        is_alive: Callable[[str], bool],
        probe: Probe,
        log: Logger,
    ) -> None:
        self.replica = replica
        self.host = host
        self.enqueue_record = enqueue_record
        self.is_alive = is_alive
        self.probe = probe
        self.log = log
        self.unlogged: dict[str, None] = {}
        sender, receiver = anyio.create_memory_object_stream[_BrokenExchange](
            MAX_QUEUED_BREAKS,
        )
        self.breaks_sender = sender
        self.breaks_receiver = receiver

    async def run(self, ready: Callable[[], None]) -> None:
        """Process the queued broken exchanges until cancelled."""
        ready()
        async with anyio.create_task_group() as group:
            async for broken in self.breaks_receiver:
                group.start_soon(self._report_queued, broken)

    async def stop(self) -> None:
        """Do nothing; an unrecorded break is only a suspicion."""

    def enqueue_break(
        self,
        digest: str,
        target: Target,
        incarnation: str,
        *,
        is_trial: bool = False,
    ) -> None:
        """Queue the broken exchange of a call that is not retried."""
        try:
            self.breaks_sender.send_nowait(
                _BrokenExchange(digest, target, incarnation, is_trial)
            )
        except anyio.WouldBlock:
            self.log('break_dropped', target=target.name)

    def trial_targets(self) -> frozenset[str]:
        """Return the names of the targets on which a trial runs."""
        return frozenset(self.replica.state.suspects.trials)

    async def wait_for_trial(self, digest: str) -> bool:
        """Wait while another trial of the request runs.

        Returns
        -------
        bool
            Whether the request needs a trial of its own.

        Raises
        ------
        RefusedError
            If the request is quarantined, or its crash is not recorded yet.
        """
        while True:
            status = request_status(self.replica.state.suspects, digest)
            if status == RequestStatus.quarantined:
                raise _quarantined_refusal()
            if digest in self.unlogged:
                self._confirm_logged(digest, status)
            if status != RequestStatus.on_trial:
                return status == RequestStatus.suspect
            self._end_orphaned_trial(digest)
            await anyio.sleep(TRIAL_POLL_S)

    async def start_trial(self, digest: str, target: str) -> str:
        """Reserve a target for a suspect.

        Returns
        -------
        str
            Id of the trial; empty if another trial of the request or on the
            target was first.

        Raises
        ------
        RefusedError
            If the log cannot record the trial.
        """
        trial_id = new_id()
        record = TrialStarted(digest, target, self.host, trial_id)
        try:
            ticket = await self.replica.append(record)
        except BaseException as error:
            self.enqueue_record(TrialEnded(digest, trial_id))
            if isinstance(error, LogOutageError):
                raise _unlogged_refusal() from error
            raise
        return trial_id if ticket.took_effect else ''

    def end_trial(self, digest: str, trial_id: str, *, is_clear: bool) -> None:
        """Release the trial's target; clear the suspect if it completed."""
        if is_clear:
            self.enqueue_record(RequestCleared(digest))
        self.enqueue_record(TrialEnded(digest, trial_id))

    async def report_break(
        self,
        digest: str,
        target: Target,
        incarnation: str,
        *,
        is_trial: bool = False,
    ) -> bool:
        """Record the request as a suspect if its target crashed.

        Returns
        -------
        bool
            Whether the target crashed.

        Raises
        ------
        RefusedError
            If the log cannot record the suspect; the request must then not be
            retried.
        """
        reported = await self.probe(target)
        if not is_crash(incarnation, reported):
            return False
        self.log('target_crashed', target=target.name, digest=digest)
        record = RequestSuspected(digest, target.name, incarnation, is_trial)
        self.unlogged[digest] = None
        try:
            await self.replica.append(record)
        except BaseException as error:
            self.enqueue_record(record)
            if isinstance(error, LogOutageError):
                raise _unlogged_refusal() from error
            raise
        self.unlogged.pop(digest, None)
        return True

    async def _report_queued(self, broken: _BrokenExchange) -> None:
        try:
            await self.report_break(
                broken.digest,
                broken.target,
                broken.incarnation,
                is_trial=broken.is_trial,
            )
        except RefusedError as refused:
            self.log('suspect_unlogged', reason=refused.refusal.code)

    def _confirm_logged(self, digest: str, status: RequestStatus) -> None:
        if status == RequestStatus.clear:
            raise _unlogged_refusal()
        self.unlogged.pop(digest)

    def _end_orphaned_trial(self, digest: str) -> None:
        table = self.replica.state.suspects
        trial = table.by_digest[digest].trial
        if trial is not None and not self.is_alive(trial.host):
            self.enqueue_record(TrialEnded(digest, trial.trial_id))


def _quarantined_refusal() -> RefusedError:
    return refuse(
        'request_quarantined',
        _STATUS_UNPROCESSABLE,
        'This request crashed two targets and is refused for good.',
    )


def _unlogged_refusal() -> RefusedError:
    return unknown(
        'log_unavailable',
        _STATUS_UNAVAILABLE,
        'A target crashed under this request, which is not tried again now.',
        _RETRY_AFTER_S,
    )
