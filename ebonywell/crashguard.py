"""Keeps requests that crash targets from being sent again and again."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import anyio

from .blame import (
    NO_TRAITS,
    BlameTable,
    Conviction,
    Crash,
    CrashId,
    Standing,
    Traits,
)
from .clock import boot_time
from .crashdetector import Breakage, CrashDetector
from .crashreports import make_messages, read_evidence
from .digests import CrashMessage, Message, TrialMessage
from .exposures import Exposure, Exposures, Phase
from .fingerprints import request_traits
from .inbound import AdmittedRequest, RejectionError
from .logs import Logger
from .metrics import Metrics
from .overload import max_wait_s
from .repeats import DigestRepeats
from .trials import TrialClaims
from .upstream import ConnectionPool

# Time for a claim to reach all hosts, and for an earlier one to arrive here.
CLAIM_DELAY_S = 0.05
RECHECK_INTERVAL_S = 0.02
# Least time after which a caller whose request awaits a trial should retry.
SUSPECT_RETRY_S = 1.0
# Reason that is reported for a quarantined request.
CRASHES_TARGETS = 'crashes_targets'
# A status after which callers do not retry. Others promise that the request
# has not run, or invite a retry.
_BAD_REQUEST = 400
_UNAVAILABLE = 503


def _do_nothing() -> None:
    """Do nothing; the default of `CrashGuard.on_quarantine`."""


@dataclass(slots=True)
class CrashGuard:
    """Holds back requests that are to blame for crashes of targets.

    Hosts tell each other of crashes, of requests that were answered, and of
    the trials that they run. Nothing is counted per request or part while no
    target crashes; the attempts in flight are searched after a crash.

    Attributes
    ----------
    own_name : str
    broadcast : callable
        Sends a message to all other hosts; it may be lost.
    table : BlameTable
    claims : TrialClaims
    detector : CrashDetector or None
        Set once the connections to targets exist.
    exposures : Exposures
        Attempts in flight.
    on_quarantine : callable
        Called when requests that are in flight may have to be stopped.
    repeats : DigestRepeats
    known_convictions : set of frozenset of int
        Traits of the convictions that were acted on.
    """

    own_name: str
    broadcast: Callable[[Message], None]
    log: Logger
    metrics: Metrics
    table: BlameTable = field(default_factory=BlameTable)
    claims: TrialClaims = field(default_factory=TrialClaims)
    detector: CrashDetector | None = None
    exposures: Exposures = field(default_factory=Exposures)
    on_quarantine: Callable[[], None] = _do_nothing
    repeats: DigestRepeats = field(default_factory=DigestRepeats)
    known_convictions: set[Traits] = field(default_factory=set)

    async def run(self) -> None:
        """Detect crashes until cancelled."""
        assert self.detector is not None
        await self.detector.run()

    async def admit(self, request: AdmittedRequest) -> Traits:
        """Wait until a request may be sent.

        Returns
        -------
        frozenset of int
            Traits for which the request is in a trial, which the caller has
            to end; empty if nothing is held against the request.

        Raises
        ------
        RejectionError
            If the request crashes targets, or if it is a suspect and others
            like it are in trials for too long.
        """
        if self.table.is_empty:
            return NO_TRAITS
        traits = request_traits(request)
        give_up_at = boot_time() + max_wait_s(
            request.route.goal_s, request.first_byte_timeout_s
        )
        while boot_time() < give_up_at:
            standing = self.table.standing(traits, boot_time())
            if standing is Standing.clear:
                return NO_TRAITS
            blamed = self.table.blamed(traits)
            is_claimed = self.claims.is_claimed(blamed, boot_time())
            if _is_rejected(standing, is_claimed=is_claimed):
                raise self._reject(request, traits)
            if not is_claimed and await self._claim(traits, blamed):
                self.log(
                    'trial_started',
                    request=request.request_id,
                    standing=standing.value,
                    traits=_format_traits(blamed),
                )
                return blamed
            await anyio.sleep(RECHECK_INTERVAL_S)
        raise RejectionError(_UNAVAILABLE, 'trial_awaited', SUSPECT_RETRY_S)

    def end_trial(self, trial: Traits) -> None:
        """End a trial, whatever it has shown."""
        if trial:
            self.claims.release(trial, self.own_name)
            self.broadcast(
                TrialMessage(self.own_name, tuple(trial), is_over=True)
            )

    def find_rejection(self, request: AdmittedRequest) -> RejectionError | None:
        """Return the rejection of a request that is quarantined now."""
        if not self.table.convictions:
            return None
        traits = request_traits(request)
        standing = self.table.standing(traits, boot_time())
        if standing is not Standing.quarantined:
            return None
        return _make_rejection(self.table.conviction_of(traits))

    def note_survived(self, exposure: Exposure) -> None:
        """Record that the target has answered, which clears the request."""
        if exposure.phase is Phase.survived:
            return
        exposure.phase = Phase.survived
        if self.table.is_empty:
            return
        if self._clear(exposure):
            self.log(
                'suspect_cleared',
                request=exposure.request.request_id,
                target=exposure.target.name,
            )

    def note_broken(self, exposure: Exposure) -> Breakage | None:
        """Record that the connection to the target broke."""
        if exposure.phase is Phase.survived or self.detector is None:
            return None
        traits = set(request_traits(exposure.request))
        evidence = Crash(boot_time(), traits, set(exposure.trial))
        if exposure.phase is Phase.begun:
            evidence.begun = set(traits)
        return self.detector.note_broken(exposure.target, evidence)

    def note_crash(self, crash_id: CrashId, crash: Crash) -> None:
        """Record a crash that this host has seen, and tell the others."""
        self.metrics.count('target_crashes_total')
        self._merge(crash_id, crash)
        self._send_crash(crash_id)

    def receive(self, message: CrashMessage | TrialMessage) -> None:
        """Handle a message from another host."""
        now = boot_time()
        if isinstance(message, CrashMessage):
            crash = read_evidence(message, now)
            self._merge((message.target, message.born), crash)
        elif message.is_over:
            self.claims.release(message.traits, message.sender)
        else:
            self.claims.claim(message.traits, message.sender, now)

    def list_crashes(self) -> Iterator[CrashMessage]:
        """Yield the known crashes for a digest; most digests hold none."""
        for crash_id in self.repeats.pick(self.table.crashes, boot_time()):
            crash = self.table.crashes[crash_id]
            yield from make_messages(crash_id, crash, boot_time())

    def expire(self, now: float) -> None:
        """Forget evidence and claims that no longer count."""
        if not self.table.is_empty:
            self._note_convictions()
            self.table.expire(now)
            self.claims.expire(now)

    async def _claim(self, traits: Traits, blamed: Traits) -> bool:
        """Claim a trial; return whether this host has it."""
        self.claims.claim(blamed, self.own_name, boot_time())
        self.broadcast(TrialMessage(self.own_name, tuple(blamed)))
        is_held = False
        try:
            await anyio.sleep(CLAIM_DELAY_S)
            now = boot_time()
            standing = self.table.standing(traits, now)
            is_held = self.claims.is_held(
                blamed, self.own_name, now
            ) and standing in {Standing.suspect, Standing.retrial}
        finally:
            if not is_held:
                self.end_trial(blamed)
        return is_held

    def _reject(
        self, request: AdmittedRequest, traits: Traits
    ) -> RejectionError:
        self.table.note_rejected(traits, boot_time())
        self.log(
            'request_quarantined',
            request=request.request_id,
            traits=_format_traits(self.table.blamed(traits)),
        )
        return _make_rejection(self.table.conviction_of(traits))

    def _merge(self, crash_id: CrashId, crash: Crash) -> None:
        if not self.table.note_crash(crash_id, crash):
            return
        self.repeats.note_change(boot_time())
        # What is in flight on targets that have survived it is cleared.
        for exposure in self.exposures.in_flight:
            if exposure.phase is Phase.survived:
                self._clear(exposure)

    def _note_convictions(self) -> None:
        """Act on convictions that are new since the last call."""
        self.table.judge()
        known = self.known_convictions
        self.known_convictions = {one.traits for one in self.table.convictions}
        for conviction in self.table.convictions:
            if conviction.traits not in known:
                self.log(
                    'quarantine_began',
                    traits=_format_traits(conviction.traits),
                    crashes=len(conviction.crashes),
                    is_proven=conviction.is_proven,
                )
                self.on_quarantine()

    def _clear(self, exposure: Exposure) -> bool:
        """Clear a request's traits; return whether any was held against it.

        Other hosts learn of it at once if they reject such requests or await
        the end of a trial, and else from digests: after the loss of many
        targets all hosts clear the same traits at the same time.
        """
        traits = request_traits(exposure.request)
        is_urgent = bool(exposure.trial) or self.table.is_convicted(traits)
        touched = self.table.clear(traits)
        if touched:
            self.repeats.note_change(boot_time())
        if is_urgent:
            for crash_id in touched:
                self._send_crash(crash_id)
        return bool(touched)

    def _send_crash(self, crash_id: CrashId) -> None:
        crash = self.table.crashes.get(crash_id)
        if crash is not None:
            for message in make_messages(crash_id, crash, boot_time()):
                self.broadcast(message)


def _is_rejected(standing: Standing, *, is_claimed: bool) -> bool:
    """Return whether a request is rejected, given whether a trial runs."""
    if standing is Standing.retrial:
        return is_claimed
    return standing is Standing.quarantined


def _make_rejection(conviction: Conviction | None) -> RejectionError:
    """Make the rejection of a request with the traits of a conviction.

    Until it is proven, the request may be sound, and its caller is told when
    it may run again.
    """
    if conviction is None or conviction.is_proven:
        return RejectionError(_BAD_REQUEST, CRASHES_TARGETS)
    left_s = conviction.ends_at - boot_time()
    return RejectionError(
        _UNAVAILABLE, CRASHES_TARGETS, max(SUSPECT_RETRY_S, left_s)
    )


def _format_traits(traits: Traits) -> str:
    return ','.join(format(one, 'x') for one in sorted(traits))


def detect_crashes(guard: CrashGuard, pool: ConnectionPool) -> None:
    """Let a guard detect crashes by the connections to targets."""
    guard.detector = CrashDetector(
        pool.count_open, pool.is_refused, guard.note_crash, guard.log
    )
