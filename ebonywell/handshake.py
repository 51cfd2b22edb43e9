"""How two entry processes prove to each other that they are of one fleet.

Each side proves with an HMAC over both sides' nonces that it knows the
fleet's secret, so that a recorded handshake is worth nothing.
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
    """Return the proof that a host of a role knows the secret."""
    text = f'{role} {host} '.encode()
    return hmac.digest(secret.encode(), text + nonces, hashlib.sha256)


def _verify(secret: str, role: str, nonces: bytes, claim: wire.Hello) -> HostId:
    host = HostId(claim.name, claim.incarnation)
    if not hmac.compare_digest(
        make_proof(secret, role, nonces, host),
        claim.proof,
    ):
        raise PeerError(f'{host} does not know the secret of this fleet')
    return host


async def dial(secret: str, own_host: HostId, send: Send, read: Read) -> HostId:
    """Prove who dials, and return who accepted.

    Raises
    ------
    PeerError
        If the other side does not know the secret or breaks off.
    """
    challenge = wire.expect(await read(), wire.Challenge)
    own = secrets.token_bytes(NONCE_BYTES)
    nonces = challenge.nonce + own
    proof = make_proof(secret, 'dial', nonces, own_host)
    await send(wire.Hello(own_host.name, own_host.incarnation, own, proof))
    welcome = wire.expect(await read(), wire.Welcome)
    claim = wire.Hello(
        welcome.name,
        welcome.incarnation,
        own,
        welcome.proof,
    )
    return _verify(secret, 'accept', nonces, claim)


async def accept(
    secret: str, own_host: HostId, send: Send, read: Read
) -> HostId:
    """Check who dials, and prove who accepts.

    Raises
    ------
    PeerError
        If the other side does not know the secret or breaks off.
    """
    own = secrets.token_bytes(NONCE_BYTES)
    await send(wire.Challenge(own))
    claim = wire.expect(await read(), wire.Hello)
    if len(claim.nonce) != NONCE_BYTES:
        raise MalformedFrameError('the nonce has another length')
    nonces = own + claim.nonce
    peer = _verify(secret, 'dial', nonces, claim)
    proof = make_proof(secret, 'accept', nonces, own_host)
    await send(wire.Welcome(own_host.name, own_host.incarnation, proof))
    return peer
