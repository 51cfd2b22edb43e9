"""Which statuses are answers.

Source: RFC 9110, section 15. A status outside of its classes is no answer: it
is neither forwarded nor passed over.
"""

_FIRST_INTERIM = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL = 200
_LAST_FINAL = 599


def is_interim(status: int) -> bool:
    """Return whether the answer itself follows one with this status.

    No host asks a peer to switch protocols, so nothing follows 101.
    """
    is_in_class = _FIRST_INTERIM <= status < _FIRST_FINAL
    return is_in_class and status != _SWITCHING_PROTOCOLS


def is_final(status: int) -> bool:
    """Return whether an answer may have this status."""
    return _FIRST_FINAL <= status <= _LAST_FINAL
