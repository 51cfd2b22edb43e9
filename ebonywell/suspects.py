"""The table of requests that were in flight on crashed targets.

Such a request is a suspect. It may run again only alone on its target, in a
trial, and is quarantined after `CRASHES_TO_QUARANTINE` crashes, one of which
was a trial: targets that fail together are no evidence against what ran on all
of them.
"""

import enum
from dataclasses import dataclass, field

import msgspec

from .blame import CRASHES_TO_QUARANTINE

SUSPECT_TTL_S = 86400.0
TRIAL_TTL_S = 900.0
MAX_SUSPECTS = 20_000


class RequestSuspected(msgspec.Struct, frozen=True, tag='request_suspected'):
    """A request was in flight on a target that crashed.

    Attributes
    ----------
    digest : str
        Digest of the request, the same for every repeat.
    target : str
    incarnation : str
        Incarnation of the target, by which one crash is counted once.
    is_trial : bool
        Whether the request was on trial there.
    """

    digest: str
    target: str
    incarnation: str
    is_trial: bool = False


class RequestCleared(msgspec.Struct, frozen=True, tag='request_cleared'):
    """A suspect ran to completion on a target that did not crash."""

    digest: str


class TrialStarted(msgspec.Struct, frozen=True, tag='trial_started'):
    """A host is about to run a suspect as the only one on its target.

    Attributes
    ----------
    digest : str
    target : str
    host : str
        Name and incarnation of the host.
    trial_id : str
        Unique id of this trial.
    """

    digest: str
    target: str
    host: str
    trial_id: str


class TrialEnded(msgspec.Struct, frozen=True, tag='trial_ended'):
    """A trial is over or its host has died; the target is free again."""

    digest: str
    trial_id: str


SuspectRecord = RequestSuspected | RequestCleared | TrialStarted | TrialEnded


@dataclass(slots=True)
class Trial:
    """A running trial of a suspect, as recorded in the log."""

    target: str
    host: str
    trial_id: str
    started_s: float


@dataclass(slots=True)
class Suspect:
    """The recorded facts about a suspect.

    Attributes
    ----------
    crashes : list of str
        ``target/incarnation`` of each crash during which it was in flight.
    since_s : float
        Time of the first suspicion by the log's time, in seconds.
    trial : Trial or None
    is_tried : bool
        Whether one of the crashes was a trial.
    """

    since_s: float
    crashes: list[str] = field(default_factory=list)
    trial: Trial | None = None
    is_tried: bool = False


@dataclass(slots=True)
class Suspects:
    """The table of suspects.

    Attributes
    ----------
    by_digest : dict of str to Suspect
        Keyed by the request's digest; the oldest suspect comes first.
    trials : dict of str to str
        Digest of the request on trial, by target name.
    now_s : float
        The log's time, in seconds.
    """

    by_digest: dict[str, Suspect] = field(default_factory=dict)
    trials: dict[str, str] = field(default_factory=dict)
    now_s: float = 0


class RequestStatus(enum.StrEnum):
    """The status of a request in the table of suspects."""

    clear = 'clear'
    suspect = 'suspect'
    on_trial = 'on_trial'
    quarantined = 'quarantined'


def request_status(table: Suspects, digest: str) -> RequestStatus:
    """Return the status of a request that is about to be sent."""
    suspect = table.by_digest.get(digest)
    if suspect is None:
        return RequestStatus.clear
    if _is_quarantined(suspect):
        return RequestStatus.quarantined
    return RequestStatus.on_trial if suspect.trial else RequestStatus.suspect


def is_crash(incarnation: str, reported: str | None) -> bool:
    """Return whether a crash of the target broke an exchange.

    Parameters
    ----------
    incarnation : str
        The target's incarnation when the request was sent.
    reported : str or None
        The incarnation that it reports after the break; None if it does not
        answer.
    """
    return reported != incarnation


def apply(table: Suspects, record: SuspectRecord) -> bool:
    """Apply a record and return whether it took effect."""
    match record:
        case RequestSuspected():
            return _add_crash(table, record)
        case RequestCleared():
            return _clear_suspect(table, record.digest)
        case TrialStarted():
            return _start_trial(table, record)
        case TrialEnded():
            return _end_trial(table, record)


def expire(table: Suspects, now_s: float) -> None:
    """Drop expired suspects, and trials whose host never ended them.

    Parameters
    ----------
    table : Suspects
        Changed in place.
    now_s : float
        `LogTime.elapsed_s`, which depends on the records only.
    """
    table.now_s = now_s
    while table.by_digest:
        digest, suspect = next(iter(table.by_digest.items()))
        if suspect.since_s + SUSPECT_TTL_S >= now_s:
            break
        _drop_suspect(table, digest)
    for target, digest in list(table.trials.items()):
        trial = table.by_digest[digest].trial
        if trial is None or trial.started_s + TRIAL_TTL_S < now_s:
            table.by_digest[digest].trial = None
            table.trials.pop(target)


def _add_crash(table: Suspects, record: RequestSuspected) -> bool:
    suspect = table.by_digest.get(record.digest)
    if suspect is None:
        if len(table.by_digest) >= MAX_SUSPECTS:
            _drop_suspect(table, next(iter(table.by_digest)))
        suspect = Suspect(table.now_s)
        table.by_digest[record.digest] = suspect
    crash = f'{record.target}/{record.incarnation}'
    if crash in suspect.crashes or _is_quarantined(suspect):
        return False
    suspect.crashes.append(crash)
    suspect.is_tried = suspect.is_tried or record.is_trial
    if _is_quarantined(suspect):
        _release_trial(table, suspect)
    return True


def _is_quarantined(suspect: Suspect) -> bool:
    return suspect.is_tried and len(suspect.crashes) >= CRASHES_TO_QUARANTINE


def _clear_suspect(table: Suspects, digest: str) -> bool:
    suspect = table.by_digest.get(digest)
    if suspect is None or _is_quarantined(suspect):
        return False
    _drop_suspect(table, digest)
    return True


def _start_trial(table: Suspects, record: TrialStarted) -> bool:
    suspect = table.by_digest.get(record.digest)
    if suspect is None or _is_quarantined(suspect):
        return False
    if suspect.trial is not None or record.target in table.trials:
        return False
    suspect.trial = Trial(
        record.target,
        record.host,
        record.trial_id,
        table.now_s,
    )
    table.trials[record.target] = record.digest
    return True


def _end_trial(table: Suspects, record: TrialEnded) -> bool:
    suspect = table.by_digest.get(record.digest)
    if suspect is None or suspect.trial is None:
        return False
    if suspect.trial.trial_id != record.trial_id:
        return False
    _release_trial(table, suspect)
    return True


def _drop_suspect(table: Suspects, digest: str) -> None:
    _release_trial(table, table.by_digest.pop(digest))


def _release_trial(table: Suspects, suspect: Suspect) -> None:
    if suspect.trial is not None:
        table.trials.pop(suspect.trial.target)
        suspect.trial = None
