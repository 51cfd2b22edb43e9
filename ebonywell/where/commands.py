"""The command ``ebonywell where``."""

import sys
from collections.abc import Iterator
from urllib.parse import urlencode

import anyio
import msgspec

from ..exceptions import SettingsError, TransportError
from ..transport import HttpAnswer, HttpClient
from .views import CandidateView, ServiceView, WhereView

PATH = '/where'
# The host answers from its memory; it may be busy, but not for longer.
ANSWER_TIMEOUT_S = 5.0
_OK = 200


def ask_where(
    address: str,
    route: str,
    *,
    workspace: str = '',
    model: str = '',
    adapter: str = '',
    prefix: str = '',
    tokens: str = '',
    json: bool = False,
) -> None:
    """Show where a running host would send a request now, and why.

    Parameters
    ----------
    address
        The host's metrics port, as IP:PORT; asked from the host itself.
    route
        Name of the route.
    workspace
        Name of the workspace.
    model
        Name of the model, for a service of engines.
    adapter
        Name of the adapter.
    prefix
        Parts of the prompt, as ID:TOKENS,...
    tokens
        Tokens of the prompt and of the output, as PROMPT,OUTPUT.
    json
        Print the answer as one JSON object.
    """
    query = urlencode({'route': route, 'workspace': workspace})
    headers = (
        ('model', f'{model}/{adapter}' if adapter else model),
        ('prompt-prefix', prefix),
        ('token-count', tokens),
    )
    url = f'http://{address}{PATH}?{query}'
    sent = tuple(pair for pair in headers if pair[1])
    try:
        answer = anyio.run(_request, url, sent)
    except TransportError as error:
        raise SettingsError(f'no answer from {address}: {error}') from error
    if answer.status != _OK:
        raise SettingsError(answer.content.decode(errors='replace').strip())
    text = answer.content.decode()
    if not json:
        view = msgspec.json.decode(answer.content, type=WhereView)
        text = '\n'.join(list_lines(view))
    sys.stdout.write(f'{text}\n')


def list_lines(view: WhereView) -> Iterator[str]:
    """Iterate over the lines that show a decision to an operator."""
    for service in view.services:
        for candidate in service.candidates:
            yield _candidate_line(candidate)
        for excluded in service.excluded:
            yield (
                f'excluded  {excluded.target} zone={excluded.zone} '
                f'why={excluded.why}'
            )
        yield _decision_line(service)
    yield (
        f'known     configuration={view.config_version} '
        f'age_s={_age(view.config_age_s)} '
        f'targets_age_s={_age(view.targets_age_s)} '
        f'hosts={view.hosts_known} silent={view.hosts_silent}'
    )


def _candidate_line(view: CandidateView) -> str:
    facts = ' '.join(
        f'{name}={_flatten(fact)}'
        for name, fact in view.facts.items()
        if name != 'name'
    )
    expected_ms = f'{view.expected_ms:.1f}'
    due_s = f'{view.limit_due_s:.3f}'
    shown = (
        f'candidate {view.target}',
        f'zone={view.zone}',
        f'expected_ms={expected_ms}',
        f'cached_tokens={view.cached_tokens}',
        f'limit_due_s={due_s}',
        facts,
    )
    return ' '.join(shown)


def _decision_line(view: ServiceView) -> str:
    target = view.target or 'none'
    return (
        f'decision  {view.verdict} service={view.service} '
        f'target={target} wait_ms={view.wait_ms:.1f}'
    )


def _flatten(fact: object) -> str:
    """Return a fact as one word."""
    if isinstance(fact, dict):
        pairs = ','.join(f'{key}:{_flatten(one)}' for key, one in fact.items())
        return f'({pairs})'
    return f'{fact:.3f}' if isinstance(fact, float) else str(fact)


def _age(age_s: float | None) -> str:
    return 'none' if age_s is None else f'{age_s:.3f}'


async def _request(
    url: str, headers: tuple[tuple[str, str], ...]
) -> HttpAnswer:
    async with HttpClient() as client:
        return await client.request('GET', url, ANSWER_TIMEOUT_S, None, headers)
