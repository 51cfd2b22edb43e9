"""Small types that are shared by several modules."""

import enum
import secrets
import uuid
from dataclasses import dataclass


class EntryKind(enum.StrEnum):
    """Kind of a catalogue entry."""

    model = 'model'
    service = 'service'


class ServiceClass(enum.StrEnum):
    """Class of urgency of an entry's requests."""

    interactive = 'interactive'
    batch = 'batch'


class RunState(enum.StrEnum):
    """Whether a request that was answered with an error had run."""

    not_run = 'not_run'
    unknown = 'unknown'
    ran = 'ran'


class HostState(enum.StrEnum):
    """State of a host in the host list."""

    live = 'live'
    leaving = 'leaving'


@dataclass(slots=True, frozen=True)
class HostId:
    """Identity of one incarnation of an entry host.

    Attributes
    ----------
    name : str
        The host id from the settings.
    incarnation : str
        Generated at each start of the process.
    """

    name: str
    incarnation: str

    def __str__(self) -> str:
        return f'{self.name}/{self.incarnation}'


def new_id() -> str:
    """Return a new globally unique id."""
    return uuid.uuid4().hex


def new_incarnation() -> str:
    """Return a short random id for an incarnation of a process."""
    return secrets.token_hex(6)
