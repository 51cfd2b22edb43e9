"""Small helper functions, grouped by purpose."""

import asyncio
import functools
import hashlib
import ipaddress

from .exceptions import SettingsError

# Addresses

MAX_PORT = 65_535
# Enough for the hosts and targets of a fleet. Each address is used many times a
# second, so the result of parsing it is cached.
MAX_CACHED_ADDRESSES = 20_000


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of an ``ip:port`` string.

    Raises
    ------
    SettingsError
        If the string has any other form, such as a host name.
    """
    number, colon, port = address.rpartition(':')
    try:
        ipaddress.ip_address(number.strip('[]'))
    except ValueError as error:
        raise SettingsError(f'{address!r} is not ip:port') from error
    is_number = port.isascii() and port.isdigit()
    if not (colon and is_number and len(port) <= len(str(MAX_PORT))):
        raise SettingsError(f'{address!r} is not ip:port')
    if int(port) > MAX_PORT:
        raise SettingsError(f'{address!r} names no port')
    return number.strip('[]'), int(port)


# Digests


def request_digest(*parts: bytes) -> str:
    """Return a digest of a request's parts, each prefixed with its length."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


# Transports

# Most that is read from a connection at once.
READ_BYTES = 16_384


def bound_reads(transport: asyncio.Transport) -> None:
    """Bound what is read at once, and so how far a pause may be exceeded."""
    # asyncio has no method for it.
    setattr(transport, 'max_size', READ_BYTES)  # noqa: B010
