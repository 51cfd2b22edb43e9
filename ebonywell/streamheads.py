"""Decides which answers are streams of events, and which continue one."""

from .upstream import AnswerHead

_CONTENT_TYPE = b'content-type'
_CONTENT_ENCODING = b'content-encoding'
_EVENT_STREAM = b'text/event-stream'
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_NO_CONTENT = 204


def is_event_stream(head: AnswerHead) -> bool:
    """Return whether an answer is a stream of events.

    One that does not state its type is taken for one on a route of streams.
    """
    is_success = _FIRST_SUCCESS <= head.status < _FIRST_REDIRECT
    if not is_success or head.status == _NO_CONTENT:
        return False
    return _media_type(head) in {b'', _EVENT_STREAM}


def continues(begun: AnswerHead, head: AnswerHead) -> bool:
    """Return whether an answer may continue a stream that another began.

    The caller has the first head only and reads all that follows by it.

    Parameters
    ----------
    begun : AnswerHead
        Head of the answer that began the stream.
    head : AnswerHead
        Head of the answer of another target to the same request.
    """
    return (
        is_event_stream(head)
        and head.status == begun.status
        and _media_type(head) == _media_type(begun)
        and head.get(_CONTENT_ENCODING) == begun.get(_CONTENT_ENCODING)
    )


def _media_type(head: AnswerHead) -> bytes:
    stated = head.get(_CONTENT_TYPE) or b''
    return stated.partition(b';')[0].strip().lower()
