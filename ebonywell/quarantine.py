"""Keeps requests that crash targets from taking down more than two."""

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


class Quarantine:
    """What this process does about requests in flight on crashed targets.

    Attributes
    ----------
    enqueue_record : callable
        Takes a record that must get into the log.
    is_alive : callable
        Whether a host, by name and incarnation, is known to be alive.
    probe : callable
        Asks a target for its incarnation; None if it does not answer.
    unlogged : dict of str to None
        Digests of suspects that the log could not take yet; this host runs
        none of them.
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
        """Record the breaks that nobody waits for, until cancelled."""
        ready()
        async with anyio.create_task_group() as group:
            async for note in self.breaks_receiver:
                group.start_soon(self._report_queued, note)

    async def stop(self) -> None:
        """Do nothing: what is left unrecorded is only a suspicion."""

    def enqueue_break(
        self,
        digest: str,
        target: Target,
        incarnation: str,
    ) -> None:
        """Take the break of a call that is not tried again."""
        try:
            self.breaks_sender.send_nowait(
                _BrokenExchange(digest, target, incarnation)
            )
        except anyio.WouldBlock:
            self.log('break_dropped', target=target.name)

    def trial_targets(self) -> frozenset[str]:
        """Return the targets that run a suspect now."""
        return frozenset(self.replica.state.suspects.trials)

    async def wait_for_trial(self, digest: str) -> bool:
        """Wait while the request is on trial; say whether it needs a trial.

        Raises
        ------
        RefusedError
            If the request is quarantined, or its crash is not recorded yet.
        """
        while True:
            found = request_status(self.replica.state.suspects, digest)
            if found == RequestStatus.quarantined:
                raise _quarantined_refusal()
            if digest in self.unlogged:
                self._confirm_logged(digest, found)
            if found != RequestStatus.on_trial:
                return found == RequestStatus.suspect
            self._end_orphaned_trial(digest)
            await anyio.sleep(TRIAL_POLL_S)

    async def start_trial(self, digest: str, target: str) -> str:
        """Reserve a target for a suspect.

        Returns
        -------
        str
            The trial's id; empty if another trial was first.

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
        """Free the trial's target; clear the suspect if it ran to its end."""
        if is_clear:
            self.enqueue_record(RequestCleared(digest))
        self.enqueue_record(TrialEnded(digest, trial_id))

    async def report_break(
        self,
        digest: str,
        target: Target,
        incarnation: str,
    ) -> bool:
        """Record a suspect if a broken exchange came of a crash.

        Returns
        -------
        bool
            Whether the target crashed.

        Raises
        ------
        RefusedError
            If the log cannot take the record: nothing may be retried then.
        """
        seen = await self.probe(target)
        if not is_crash(incarnation, seen):
            return False
        self.log('target_crashed', target=target.name, digest=digest)
        record = RequestSuspected(digest, target.name, incarnation)
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

    async def _report_queued(self, note: _BrokenExchange) -> None:
        try:
            await self.report_break(note.digest, note.target, note.incarnation)
        except RefusedError as refused:
            self.log('suspect_unlogged', reason=refused.refusal.code)

    def _confirm_logged(self, digest: str, found: RequestStatus) -> None:
        if found == RequestStatus.clear:
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
