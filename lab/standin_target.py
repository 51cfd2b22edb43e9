"""Provides the parts that engine and plain service stand-ins share."""

import os
import secrets
from dataclasses import dataclass, field

import httpcore
import msgspec

from .standin_common import Faults, Journal


@dataclass(slots=True)
class Identity:
    """Identity of a target in the host list and in its reports."""

    name: str
    role: str
    zone: str
    incarnation: str = field(default_factory=lambda: secrets.token_hex(4))


@dataclass(slots=True)
class TargetState:
    """State that targets of every kind have.

    Attributes
    ----------
    identity : Identity
    faults : Faults
    journal : Journal
    running : int
        The number of calls that run now.
    """

    identity: Identity
    faults: Faults = field(default_factory=Faults)
    journal: Journal = field(default_factory=Journal)
    running: int = 0

    def crash_if_triggered(self, text: str) -> None:
        """Exit the process if the text contains the trigger of a fault."""
        trigger = self.faults.field('crash_on', 'text')
        if trigger and trigger in text:
            os._exit(1)


async def register(url: str, identity: Identity, address: str) -> None:
    """Register a target in the host list, unless the URL is empty."""
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
