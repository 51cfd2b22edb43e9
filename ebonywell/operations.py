"""HTTP routes of an entry process for operators."""

import hmac
import math
from collections.abc import Awaitable, Callable, Mapping

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from . import catalogue, changes, checks, opmessages, opviews
from .exceptions import LogOutageError, RecordError
from .metrics import CONTENT_TYPE, Metrics
from .records import check_numbers
from .replica import Replica
from .timeline import EventFilter, Timeline
from .types import RunState

MAX_CHANGE_BYTES = 1024 * 1024
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_UNAUTHORIZED = 401
_STATUS_CONFLICT = 409
_STATUS_TOO_LARGE = 413
_STATUS_UNAVAILABLE = 503
_BEARER = 'Bearer '

StatusSource = Callable[[], Mapping[str, object]]
Withdraw = Callable[[str], None]
EndHost = Callable[[str], Awaitable[bool]]
_Endpoint = Callable[[Request], Awaitable[Response]]


def _no_status() -> Mapping[str, object]:
    return {}


def _skip_withdrawal(key_id: str) -> None:
    """Do nothing; the log distributes the withdrawal."""


async def _end_no_host(name: str) -> bool:
    """Report that no host is registered."""
    return False


class OperatorRoutes:
    """Handlers of the operators' HTTP routes.

    Attributes
    ----------
    replica : Replica
    token : str
        Token that operators must present. If it is empty, all operators are
        rejected.
    timeline : Timeline
    metrics : Metrics
    status : callable
        Returns the services' part of the status.
    withdraw : callable
        Called with a key id before its withdrawal is appended, so that peers
        receive the withdrawal even if the log is down.
    end_host : callable
        Removes a host whose process has ended. Returns false if the host is
        not registered or the log is down.
    """

    def __init__(
        self,
        replica: Replica,
        token: str,
        timeline: Timeline,
        metrics: Metrics,
        status: StatusSource = _no_status,
        withdraw: Withdraw = _skip_withdrawal,
        end_host: EndHost = _end_no_host,
    ) -> None:
        self.end_host = end_host
        self.replica = replica
        self.token = token
        self.timeline = timeline
        self.metrics = metrics
        self.status = status
        self.withdraw = withdraw

    def routes(self) -> list[Route]:
        """Return the routes; all except ``/metrics`` require the token."""
        prefix = opmessages.PREFIX
        return [
            Route(
                f'{prefix}/changes',
                self._guard(self.post_change),
                methods=['POST'],
            ),
            Route(f'{prefix}/catalogue', self._guard(self.show_catalogue)),
            Route(f'{prefix}/keys', self._guard(self.show_keys)),
            Route(f'{prefix}/status', self._guard(self.show_status)),
            Route(f'{prefix}/timeline', self._guard(self.show_timeline)),
            Route(
                f'{prefix}/hosts/{{name}}/ended',
                self._guard(self.post_host_ended),
                methods=['POST'],
            ),
            Route('/metrics', self.show_metrics),
        ]

    async def post_change(self, request: Request) -> Response:
        """Append a change to the log and answer once it is read back."""
        content = await _read_body(request)
        if content is None:
            return _fail(
                _STATUS_TOO_LARGE, 'too_large', 'The body is too long.'
            )
        try:
            change = read_change(content)
        except (msgspec.MsgspecError, RecordError) as error:
            return self._reject_change(f'This is no change: {error}.')
        faults = checks.find_faults(change)
        if faults:
            return self._reject_change('; '.join(faults))
        return await self._append(change)

    async def show_catalogue(self, request: Request) -> Response:
        """Answer with the catalogue as applied on this host."""
        state = self.replica.state
        return _answer(opviews.view_catalogue(state.catalogue, state.applied))

    async def show_keys(self, request: Request) -> Response:
        """Answer with the ids, workspaces and states of all keys."""
        keys = self.replica.state.catalogue.keys.values()
        views = [
            opmessages.KeyView(key.key_id, key.workspace, key.withdrawn)
            for key in keys
        ]
        return _answer(opmessages.KeysView(tuple(views)))

    async def show_status(self, request: Request) -> Response:
        """Answer with the status of this process."""
        age_s = self.replica.clock() - self.replica.read_at
        view = opmessages.StatusView(
            str(self.replica.host),
            self.replica.state.applied,
            age_s if math.isfinite(age_s) else -1,
            self.replica.unreadable,
            dict(self.status()),
        )
        return _answer(view)

    async def show_timeline(self, request: Request) -> Response:
        """Answer with the events that match the query."""
        query = dict(request.query_params)
        try:
            event_filter = msgspec.convert(query, EventFilter, strict=False)
        except msgspec.ValidationError as error:
            return _fail(_STATUS_BAD_REQUEST, 'bad_query', f'{error}.')
        events = tuple(self.timeline.select(event_filter))
        return _answer(opmessages.TimelineView(events))

    async def post_host_ended(self, request: Request) -> Response:
        """Remove a host that an operator reports as ended."""
        name = request.path_params['name']
        if not await self.end_host(name):
            return _fail(
                _STATUS_CONFLICT,
                'not_ended',
                f'{name} is not registered, or the log is down.',
            )
        self.timeline.record('host_ended', name=name)
        return _answer(opmessages.HostEnded(name))

    async def show_metrics(self, request: Request) -> Response:
        """Answer with all metrics of this process as text."""
        return Response(self.metrics.expose(), media_type=CONTENT_TYPE)

    def _guard(self, endpoint: _Endpoint) -> _Endpoint:
        async def guarded(request: Request) -> Response:
            if self._is_operator(request):
                return await endpoint(request)
            self.metrics.count('operator_refused_total')
            return _fail(
                _STATUS_UNAUTHORIZED,
                'operator_token',
                'The operator token is missing, wrong, or not set here.',
            )

        return guarded

    def _is_operator(self, request: Request) -> bool:
        # Compares bytes in constant time, so that the response time reveals
        # nothing about the token.
        presented = request.headers.get('authorization', '').encode()
        expected = f'{_BEARER}{self.token}'.encode()
        return bool(self.token) and hmac.compare_digest(presented, expected)

    def _reject_change(self, sentence: str) -> Response:
        self.metrics.count('operator_changes_total', outcome='bad')
        return _fail(_STATUS_BAD_REQUEST, 'bad_change', sentence)

    async def _append(self, change: changes.CatalogueRecord) -> Response:
        if isinstance(change, changes.KeyWithdrawn):
            self.withdraw(change.key_id)
        try:
            ticket = await self.replica.append(change)
        except LogOutageError as outage:
            return self._answer_log_outage(change, outage)
        table = self.replica.state.catalogue
        revision = table.revisions.get(catalogue.revision_name(change), 0)
        if not ticket.took_effect and not opviews.is_in_force(table, change):
            return self._answer_not_applied(change, revision)
        self.metrics.count('operator_changes_total', outcome='accepted')
        self.timeline.record(
            'change_accepted',
            change=catalogue.revision_name(change),
            revision=revision,
        )
        return _answer(opmessages.ChangeAccepted(revision))

    def _answer_not_applied(
        self,
        change: changes.CatalogueRecord,
        revision: int,
    ) -> Response:
        replaces = getattr(change, 'replaces', revision)
        if replaces == revision:
            return self._reject_change(
                'It refers to something that is not in the catalogue, '
                'or issues a key id that is taken.',
            )
        self.metrics.count('operator_changes_total', outcome='conflict')
        name = catalogue.revision_name(change)
        sentence = f'{name} is at revision {revision}, not {replaces}.'
        return _fail(_STATUS_CONFLICT, 'conflict', sentence, revision=revision)

    def _answer_log_outage(
        self,
        change: changes.CatalogueRecord,
        outage: LogOutageError,
    ) -> Response:
        self.metrics.count('operator_changes_total', outcome='outage')
        if outage.is_sent:
            return _fail(
                _STATUS_UNAVAILABLE,
                'outcome_unknown',
                'The log did not confirm the change; '
                'it may take effect. Look before you repeat it.',
                RunState.unknown,
            )
        sentence = 'The log is down; the change was not sent and has no effect.'
        if isinstance(change, changes.KeyWithdrawn):
            sentence = (
                'The log is down; the hosts in reach refuse the key for now. '
                'Repeat the command until it reports success.'
            )
        return _fail(_STATUS_UNAVAILABLE, 'log_outage', sentence)


def read_change(content: bytes) -> changes.CatalogueRecord:
    """Decode a change from a request body.

    Raises
    ------
    msgspec.MsgspecError
        If the body is not a change, or has unknown fields.
    RecordError
        If the body has a number that a record cannot hold.
    """
    change: changes.CatalogueRecord = msgspec.json.decode(
        content,
        type=changes.CatalogueRecord,
    )
    check_numbers(change)
    given = msgspec.json.decode(content)
    # The struct's tag is a field of the encoded form only.
    unknown = checks.unknown_fields(given, checks.to_plain(change))
    if unknown:
        listed = ', '.join(unknown)
        raise msgspec.ValidationError(f'unknown fields {listed}')
    return change


async def _read_body(request: Request) -> bytes | None:
    content = bytearray()
    async for chunk in request.stream():
        content.extend(chunk)
        if len(content) > MAX_CHANGE_BYTES:
            return None
    return bytes(content)


def _answer(body: msgspec.Struct, status: int = _STATUS_OK) -> Response:
    return Response(
        msgspec.json.encode(body),
        status,
        media_type='application/json',
    )


def _fail(
    status: int,
    code: str,
    message: str,
    run_state: RunState = RunState.not_run,
    revision: int | None = None,
) -> Response:
    failure = opmessages.Failure(code, message, run_state, revision)
    return _answer(opmessages.FailureAnswer(failure), status)
