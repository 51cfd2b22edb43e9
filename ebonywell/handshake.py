"""Mutual authentication of two entry processes of a fleet.

Each side proves with an HMAC over the nonces of both sides that it knows the
secret of the fleet, so a recorded handshake cannot be replayed.
"""

import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable

from . import wire
from .exceptions import MalformedFrameError, PeerError
from .types import HostId

NONCE_BYTES = 16
MAX_FRAME_BYTES = 4096

Send = Callable[[wire.Message], Awaitable[None]]
Read = Callable[[], Awaitable[wire.Message]]


def make_proof(secret: str, role: str, nonces: bytes, host: HostId) -> bytes:
    """Return the HMAC that proves that a host in a role knows the secret."""
    text = f'{role} {host} '.encode()
    return hmac.digest(secret.encode(), text + nonces, hashlib.sha256)


def _verify(secret: str, role: str, nonces: bytes, claim: wire.Hello) -> HostId:
    host = HostId(claim.name, claim.incarnation)
    if not hmac.compare_digest(
        make_proof(secret, role, nonces, host),
        claim.proof,
    ):
        raise PeerError(f'{host} failed to prove knowledge of the fleet secret')
    return host


async def dial(secret: str, own_host: HostId, send: Send, read: Read) -> HostId:
    """Authenticate as the connecting side, and return the accepting host.

    Raises
    ------
    PeerError
        If the other side does not prove that it knows the secret, or closes
        the connection.
    """
    challenge = wire.expect(await read(), wire.Challenge)
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    nonces = challenge.nonce + own_nonce
    proof = make_proof(secret, 'dial', nonces, own_host)
    await send(
        wire.Hello(own_host.name, own_host.incarnation, own_nonce, proof)
    )
    welcome = wire.expect(await read(), wire.Welcome)
    claim = wire.Hello(
        welcome.name,
        welcome.incarnation,
        own_nonce,
        welcome.proof,
    )
    return _verify(secret, 'accept', nonces, claim)


async def accept(
    secret: str, own_host: HostId, send: Send, read: Read
) -> HostId:
    """Authenticate as the accepting side, and return the connecting host.

    Raises
    ------
    PeerError
        If the other side does not prove that it knows the secret, or closes
        the connection.
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await send(wire.Challenge(own_nonce))
    claim = wire.expect(await read(), wire.Hello)
    if len(claim.nonce) != NONCE_BYTES:
        raise MalformedFrameError('nonce has the wrong length')
    nonces = own_nonce + claim.nonce
    peer = _verify(secret, 'dial', nonces, claim)
    proof = make_proof(secret, 'accept', nonces, own_host)
    await send(wire.Welcome(own_host.name, own_host.incarnation, proof))
    return peer
