"""What the stand-ins of engines and plain services share."""

import os
import secrets
from dataclasses import dataclass, field

import httpcore
import msgspec

from .standin_common import Faults, Journal


@dataclass(slots=True)
class Identity:
    """What a target says of itself in the host list and its reports."""

    name: str
    role: str
    zone: str
    incarnation: str = field(default_factory=lambda: secrets.token_hex(4))


@dataclass(slots=True)
class TargetState:
    """The part of a target's state that every kind has.

    Attributes
    ----------
    identity : Identity
    faults : Faults
    journal : Journal
    running : int
        Callers' calls that run now.
    """

    identity: Identity
    faults: Faults = field(default_factory=Faults)
    journal: Journal = field(default_factory=Journal)
    running: int = 0

    def crash_if_triggered(self, text: str) -> None:
        """End the process if a fault names a part of the text."""
        trigger = self.faults.field('crash_on', 'text')
        if trigger and trigger in text:
            os._exit(1)


async def register(url: str, identity: Identity, address: str) -> None:
    """Put a target into the host list, if there is one."""
    if not url:
        return
    listed = {
        'name': identity.name,
        'role': identity.role,
        'address': address,
        'zone': identity.zone,
        'state': 'live',
        'peer_address': '',
    }
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request(
            'PUT',
            f'{url}/hosts/{identity.name}',
            content=msgspec.json.encode(listed),
        )
