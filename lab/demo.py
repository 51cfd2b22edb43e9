"""Demonstrates the path of a request on loopback, one output line per step."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from .client import Answer, ClientError, bearer
from .commands import CommandError, IssuedKey
from .deployment import Deployment, wait_until
from .processes import ProcessError, error_messages

EXIT_FAILED = 1
WITHDRAWAL_TIMEOUT_S = 6.0
ORDER_ATTEMPTS = 3
_STATUS_OK = 200
_STATUS_UNAUTHORIZED = 401
_STATUS_FORBIDDEN = 403
_END_OF_EVENTS = b'data: [DONE]'


class DemoError(Exception):
    """A step of the demo failed."""


@dataclass(slots=True)
class Demo:
    """State that the steps share.

    Attributes
    ----------
    deployment : Deployment
    keys : dict of str to IssuedKey
        The key of each workspace.
    url : str
        The URL of the entry process that the caller uses.
    """

    deployment: Deployment
    keys: dict[str, IssuedKey] = field(default_factory=dict)
    url: str = ''

    async def ask(
        self,
        workspace: str,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> Answer:
        """Send a request with the key of a workspace."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        return await self.deployment.client.ask(
            method,
            f'{self.url}{path}',
            {**bearer(self.keys[workspace].key), **named},
            body,
        )


StepFunction = Callable[[Demo], Awaitable[str]]


async def fill_catalogue(demo: Demo) -> str:
    """Apply the sample catalogue with the operator command."""
    await demo.deployment.apply_catalogue()
    shown = await demo.deployment.operator.run_json('catalogue', 'show')
    names = ', '.join(sorted(_entry_names(shown)))
    return f'catalogue applied: {names}'


async def issue_keys(demo: Demo) -> str:
    """Issue a key for each workspace."""
    operator = demo.deployment.operator
    for workspace in ('counter', 'stranger'):
        demo.keys[workspace] = await operator.issue_key(workspace)
    ids = ', '.join(f'{name} {key.key_id}' for name, key in demo.keys.items())
    return f'keys issued: {ids}'


async def ask_address(demo: Demo) -> str:
    """Query an entry process for the address to use."""
    client = demo.deployment.client
    expected = {member.address for member in demo.deployment.entries.values()}
    url = demo.deployment.entry_urls()[-1]
    listed: dict[str, list[str]] = {}

    async def are_all_listed() -> bool:
        answer = (await client.ask('GET', f'{url}/v1/hosts')).json()
        listed.update(answer['zones'])
        return expected <= {one for zone in listed.values() for one in zone}

    await wait_until(are_all_listed, 'all entry processes listed')
    zone = min(listed)
    demo.url = f'http://{listed[zone][0]}'
    return f'{len(expected)} addresses in {len(listed)} zones, using {demo.url}'


async def stream_answer(demo: Demo) -> str:
    """Request a streamed answer from a model."""
    chunks: list[bytes] = []
    async with demo.deployment.client.stream(
        'POST',
        f'{demo.url}/v1/chat/completions',
        bearer(demo.keys['counter'].key),
        _chat('Price of a 2 t coil, galvanised, cut to 1 m?', is_streamed=True),
    ) as stream:
        _require(stream.status == _STATUS_OK, f'status {stream.status}')
        async for chunk in stream.chunks():
            chunks.append(chunk)
    events = b''.join(chunks)
    _require(_END_OF_EVENTS in events, 'the stream has no end marker')
    return f'quote streamed: {events.count(b"data: ") - 1} tokens'


async def look_up_stock(demo: Demo) -> str:
    """Query an idempotent plain service."""
    path = '/v1/services/stock/coils/DX51D'
    answer = await demo.ask('counter', 'GET', path)
    _require(answer.status == _STATUS_OK, _describe(answer))
    return f'stock looked up at {answer.json()["service"]}'


async def send_order(demo: Demo) -> str:
    """Check that an order sent twice with one idempotency key runs once."""
    answers = [await _send_one_order(demo) for _ in range(2)]
    for answer in answers:
        _require(answer.status == _STATUS_OK, _describe(answer))
    _require(
        answers[0].body == answers[1].body,
        'the repeated order got a different answer',
    )
    journals = [
        await demo.deployment.read_journal(name)
        for name in ('orders-1', 'orders-2')
    ]
    runs = sum(len(journal) for journal in journals)
    _require(runs == 1, f'the order ran {runs} times')
    return 'cutting order sent twice, run once, answered alike'


async def refuse_stranger(demo: Demo) -> str:
    """Check that requests of a workspace without an approval are rejected."""
    answer = await demo.ask(
        'stranger',
        'POST',
        '/v1/chat/completions',
        _chat('Price?'),
    )
    _require(answer.status == _STATUS_FORBIDDEN, _describe(answer))
    code = answer.json()['error']['code']
    notices = await demo.ask('stranger', 'GET', '/v1/services/notices/today')
    _require(notices.status == _STATUS_OK, _describe(notices))
    return f'stranger refused with {code}, but may read the open notices'


async def withdraw_key(demo: Demo) -> str:
    """Withdraw the key and check that every entry process rejects it."""
    await demo.deployment.operator.withdraw_key(demo.keys['counter'].key_id)
    await wait_until(
        lambda: _is_key_rejected_everywhere(demo),
        'every entry process rejects the key',
        WITHDRAWAL_TIMEOUT_S,
    )
    return 'key of counter withdrawn, refused by every entry process'


STEPS: tuple[StepFunction, ...] = (
    fill_catalogue,
    issue_keys,
    ask_address,
    stream_answer,
    look_up_stock,
    send_order,
    refuse_stranger,
    withdraw_key,
)


async def run() -> None:
    """Start a deployment, run the steps, and stop the deployment.

    Raises
    ------
    DemoError, ClientError, CommandError, ProcessError
        If a step fails. The error may be wrapped in an exception group.
    """
    async with Deployment() as deployment:
        names = ', '.join(member.name for member in deployment.members)
        _print_step('start', f'started {names}')
        demo = Demo(deployment)
        for step in STEPS:
            try:
                done = await step(demo)
            except (DemoError, ClientError, CommandError) as error:
                raise DemoError(f'{step.__name__}: {error}') from error
            _print_step(step.__name__, done)
    _print_step('stop', 'stopped every process')


def main() -> int:
    """Run the demo and return the exit code."""
    reasons: list[str] = []
    try:
        anyio.run(run)
    except* (DemoError, ProcessError) as failed:
        reasons.extend(error_messages(failed))
    for reason in reasons:
        sys.stderr.write(f'demo failed: {reason}\n')
    return EXIT_FAILED if reasons else 0


async def _send_one_order(demo: Demo) -> Answer:
    for _ in range(ORDER_ATTEMPTS):
        answer = await demo.ask(
            'counter',
            'POST',
            '/v1/services/orders/cut',
            {'coil': 'DX51D', 'length_mm': 1000, 'pieces': 40},
            idempotency_key='order-1',
        )
        retry_after_s = answer.headers.get('retry-after')
        if retry_after_s is None:
            break
        await anyio.sleep(float(retry_after_s))
    return answer


def _print_step(step: str, line: str) -> None:
    sys.stdout.write(f'{step}: {line}\n')
    sys.stdout.flush()


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise DemoError(reason)


def _describe(answer: Answer) -> str:
    return f'status {answer.status}: {answer.body.decode(errors="replace")}'


def _chat(text: str, *, is_streamed: bool = False) -> dict[str, Any]:
    return {
        'model': 'quote',
        'messages': [{'role': 'user', 'content': text}],
        'stream': is_streamed,
        'max_tokens': 16,
    }


def _entry_names(shown: Any) -> list[str]:
    return [one['name'] for one in shown['entries']]


async def _is_key_rejected_everywhere(demo: Demo) -> bool:
    statuses = set()
    for url in demo.deployment.entry_urls():
        demo.url = url
        answer = await demo.ask('counter', 'GET', '/v1/services/stock/coils')
        statuses.add(answer.status)
    return statuses == {_STATUS_UNAUTHORIZED}


if __name__ == '__main__':
    sys.exit(main())
