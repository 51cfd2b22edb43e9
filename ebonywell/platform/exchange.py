"""Encodes requests to the platform's replicas and classifies their answers."""

from ..inbound import AdmittedRequest
from ..inventory import KnownTarget
from ..pace.serverload import NO_LOAD, ServerLoad, read_server_load
from ..peerforwarding import HostFormat
from ..progress import TargetFormat, Verdict
from ..statements import Notice, Statement, read_pause, read_rate
from ..upstream import AnswerHead, Headers
from . import headers

_CRLF = b'\r\n'
_MS_PER_S = 1000
_MISDIRECTED = 421
_SERVER_ERROR = 500
_UNAVAILABLE = 503
# Statuses by which a server says that it did not run the request. Without the
# not-executed header that is not certain.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_DROPPED = headers.HOP_BY_HOP | {
    headers.SERVER_BRITTLE,
    headers.SERVER_LEAVING,
    headers.SERVER_LIMIT,
    headers.SERVER_LOAD,
    headers.INSTANCE_ID,
    b'date',
    b'server',
}


def target_format() -> TargetFormat:
    """Return the functions that encode requests and read answers."""
    return TargetFormat(
        encode_request,
        classify_answer,
        answer_headers,
        read_statement,
        read_notice,
        read_load,
    )


def encode_request(
    call: AdmittedRequest,
    target: KnownTarget,
    remaining_s: float,
    last_event_id: bytes,
) -> bytes:
    """Return the head of a request to a target, as bytes.

    Parameters
    ----------
    call : AdmittedRequest
    target : KnownTarget
    remaining_s : float
        Time until the caller's deadline or the route's time-out.
    last_event_id : bytes
        Id of the event after which a stream is resumed; empty for a new
        stream.
    """
    fields = [
        pair
        for pair in call.headers
        if not (last_event_id and pair[0] == headers.LAST_EVENT_ID)
    ]
    instance = target.name.encode('latin-1', 'replace')
    fields.append((headers.EXPECT_INSTANCE, instance))
    if call.workspace is not None:
        workspace_name = call.workspace.name.encode('latin-1', 'replace')
        fields.append((headers.TENANT, workspace_name))
    if call.generation is not None:
        fields.append((headers.REQUEST_PRIORITY, b'%d' % call.rank))
    if last_event_id:
        fields.append((headers.LAST_EVENT_ID, last_event_id))
    return _encode(call, fields, remaining_s)


def host_format(name: str) -> HostFormat:
    """Return the functions that pass requests on to other hosts.

    Parameters
    ----------
    name : str
        Name of this host.
    """

    def encode(call: AdmittedRequest, remaining_s: float) -> bytes:
        added = [(headers.FORWARDED_BY, name.encode('latin-1', 'replace'))]
        if call.key is not None:
            bearer = f'Bearer {call.key}'.encode('latin-1')
            added.append((headers.AUTHORIZATION, bearer))
        return _encode(call, [*call.headers, *added], remaining_s)

    return HostFormat(encode, answer_headers)


def _encode(
    call: AdmittedRequest, fields: Headers, remaining_s: float
) -> bytes:
    lines = [b'%s %s HTTP/1.1' % (call.method.encode(), call.path)]
    lines.extend(b'%s: %s' % pair for pair in fields)
    remaining_ms = max(1, int(remaining_s * _MS_PER_S))
    lines.append(b'%s: %d' % (headers.DEADLINE_MS, remaining_ms))
    if call.body or call.method not in {'GET', 'HEAD'}:
        lines.append(b'content-length: %d' % len(call.body))
    return _CRLF.join(lines) + _CRLF + _CRLF


def classify_answer(
    call: AdmittedRequest,
    target: KnownTarget,
    head: AnswerHead,
) -> Verdict:
    """Return the verdict on an answer, from its status and headers.

    An answer that names no request may be a late copy of an earlier one, so it
    is not taken for the answer to this request, whatever it says.
    """
    echoed = head.get(headers.REQUEST_ID)
    if echoed is None or echoed.decode('latin-1') != call.request_id:
        return Verdict.crossed
    if head.status == _MISDIRECTED:
        instance = head.get(headers.INSTANCE_ID)
        is_other = instance is not None and instance != target.name.encode()
        return Verdict.other_target if is_other else Verdict.absent
    if head.get(headers.NOT_EXECUTED) is not None:
        return Verdict.not_run
    if head.status in _NOT_RUN_STATUSES:
        return Verdict.unclear
    if head.status >= _SERVER_ERROR:
        return Verdict.failed
    return Verdict.answer


def read_statement(head: AnswerHead) -> Statement:
    """Return what an answer says about its target.

    Raises
    ------
    ValueError
        If it cannot be read; the answer itself may still be valid.
    """
    values = [
        content.decode('latin-1')
        for name, content in head.headers
        if name == headers.SERVER_LIMIT
    ]
    return Statement(read_rate(values))


def read_notice(head: AnswerHead) -> Notice:
    """Return what an answer asks of this host.

    Raises
    ------
    ValueError
        If it cannot be read; the answer itself may still be valid.
    """
    is_leaving = head.get(headers.SERVER_LEAVING) == b'1'
    brittle = head.get(headers.SERVER_BRITTLE)
    max_rejections = None
    if brittle is not None:
        max_rejections = read_rate([brittle.decode('latin-1')])
    stated = head.get(headers.RETRY_AFTER)
    if head.status != _UNAVAILABLE or stated is None:
        return Notice(is_leaving, 0, max_rejections)
    pause_s = read_pause(stated.decode('latin-1'))
    return Notice(is_leaving, pause_s, max_rejections)


def read_load(head: AnswerHead) -> ServerLoad:
    """Return the load that an answer states; unusable figures are left out."""
    stated = head.get(headers.SERVER_LOAD)
    if stated is None:
        return NO_LOAD
    return read_server_load(stated.decode('ascii', 'replace').split(','))


def answer_headers(head: AnswerHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that are forwarded to the caller."""
    return [pair for pair in head.headers if pair[0] not in _DROPPED]
