"""Small types that several modules share."""

import enum
import secrets
import uuid
from dataclasses import dataclass


class EntryKind(enum.StrEnum):
    """What stands behind a catalogue entry."""

    model = 'model'
    service = 'service'


class ServiceClass(enum.StrEnum):
    """How urgent an entry's requests are."""

    interactive = 'interactive'
    batch = 'batch'


class RunState(enum.StrEnum):
    """Whether a request that got an error had run."""

    not_run = 'not_run'
    unknown = 'unknown'
    ran = 'ran'


class HostState(enum.StrEnum):
    """What the host list says of a host."""

    live = 'live'
    leaving = 'leaving'


@dataclass(slots=True, frozen=True)
class HostId:
    """One life of an entry host.

    Attributes
    ----------
    name : str
        The host id from the settings.
    incarnation : str
        Made anew at each start of the process.
    """

    name: str
    incarnation: str

    def __str__(self) -> str:
        return f'{self.name}/{self.incarnation}'


def new_id() -> str:
    """Return a new id that no other process will make."""
    return uuid.uuid4().hex


def new_incarnation() -> str:
    """Return a short id for one life of a process."""
    return secrets.token_hex(6)
