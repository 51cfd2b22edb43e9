"""Small helpers, grouped by use."""

import functools
import hashlib
import ipaddress

from .exceptions import SettingsError

# Addresses

MAX_PORT = 65_535
# Hosts and targets of a fleet; each is sent to many times a second.
MAX_CACHED_ADDRESSES = 20_000


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``ip:port``.

    Raises
    ------
    SettingsError
        If it is anything else, such as a host name.
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
    """Return a digest of a request's parts, each with its length."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
