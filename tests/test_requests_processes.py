"""Requests through failures, against real processes."""

import signal

import anyio
import pytest
from anyio.from_thread import start_blocking_portal

from lab.client import ClientError, bearer
from lab.deployment import Deployment
from lab.shape import Shape

SHAPE = Shape(
    engines=('engine-1', 'engine-2', 'engine-3', 'engine-4'),
    entry_flags=('--deadline-s=20',),
)
CHAT = '/v1/chat/completions'
CUT = '/v1/services/orders/cut'


class Site:
    """A deployment and a caller of workspace counter."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.key = ''
        self.engines = {}

    async def fill(self):
        await self.deployment.apply_catalogue()
        self.key = (await self.deployment.operator.issue_key('counter')).key
        await anyio.sleep(2)

    async def ask(self, path, body, entry=0, **headers):
        """Return the status, error and body of an answer."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        url = self.deployment.entry_urls()[entry]
        try:
            answer = await self.deployment.client.ask(
                'POST', f'{url}{path}', {**bearer(self.key), **named}, body
            )
        except ClientError:
            return 0, {}, b''
        error = {} if answer.status < 400 else answer.json()['error']
        return answer.status, error, answer.body

    async def chat(self, prompt, entry=0):
        message = {'role': 'user', 'content': prompt}
        body = {'model': 'quote', 'messages': [message], 'max_tokens': 5}
        return await self.ask(CHAT, body, entry)

    async def order(self, key, entry=0):
        return await self.ask(CUT, {'key': key}, entry, idempotency_key=key)

    async def runs(self, key):
        journals = [
            await self.deployment.read_journal(name)
            for name in ('orders-1', 'orders-2')
        ]
        lines = [str(line) for journal in journals for line in journal]
        return len([line for line in lines if f'"{key}"' in line])

    async def fault(self, names, fault, **fields):
        for name in names:
            await self.deployment.set_fault(name, fault, **fields)


@pytest.fixture(scope='module')
def portal():
    with start_blocking_portal() as started:
        yield started


@pytest.fixture(scope='module')
def site(portal):
    with portal.wrap_async_context_manager(Deployment(SHAPE)) as deployment:
        built = Site(deployment)
        portal.call(built.fill)
        yield built


@pytest.fixture
def play(portal, site):
    """Run a story with the site, whose stand-ins then stop failing."""

    def run(story):
        portal.call(story, site)

    yield run
    for name in ('log', 'orders-1', 'orders-2', *SHAPE.engines):
        if site.deployment.find(name).is_running():
            portal.call(site.deployment.clear_faults, name)


def test_an_order_that_was_cut_after_its_run_is_unknown_everywhere(play):
    async def story(site):
        await site.fault(('orders-1', 'orders-2'), 'cut_after_run', count=1)
        for entry in (0, 1, 2):
            status, error, _ = await site.order('cut', entry)
            assert (status, error['run_state']) == (502, 'unknown')
        assert await site.runs('cut') == 1

    play(story)


def test_without_the_log_an_order_is_not_run_and_lookups_go_on(play):
    async def story(site):
        await site.fault(('log',), 'outage')
        status, error, _ = await site.order('down')
        assert (status, error['run_state']) == (503, 'not_run')
        assert error['retry_after_s'] > 0
        assert (await site.chat('price?'))[0] == 200
        # Now the hosts know of the outage, and refuse without an append.
        status, error, _ = await site.order('later', 1)
        assert (status, error['run_state']) == (503, 'not_run')
        assert await site.runs('down') == 0
        await site.deployment.clear_faults('log')
        await anyio.sleep(3)
        status, error, _ = await site.order('down', 1)
        assert status == 200, error
        assert await site.runs('down') == 1

    play(story)


def test_lost_replies_of_the_log_run_nothing_twice(play):
    async def story(site):
        await site.fault(('log',), 'lose_reply', count=20)
        told = [await site.order('lost', entry) for entry in (0, 1, 2)]
        assert await site.runs('lost') == 1
        assert 200 in {status for status, _, _ in told}

    play(story)


def test_a_prompt_that_crashes_engines_takes_two_of_them(play):
    async def story(site):
        await site.fault(SHAPE.engines, 'crash_on', text='poison')
        # Callers before it, so that the budget allows a retry.
        for number in range(12):
            assert (await site.chat(f'price {number}?'))[0] == 200
        told = []

        async def innocent(number):
            told.append(await site.chat(f'words=200 {number}', number % 3))

        async with anyio.create_task_group() as group:
            for number in range(9):
                group.start_soon(innocent, number)
            await anyio.sleep(0.02)
            killer = await site.chat('poison')
        assert killer[0] == 422, killer
        assert not killer[1].get('retry_after_s')
        errors = [error for _, error, _ in told if error]
        assert not errors
        for entry in (0, 1, 2):
            assert (await site.chat('poison', entry))[0] == 422
        up = [site.deployment.find(name).is_running() for name in SHAPE.engines]
        assert up.count(False) <= 2

    play(story)


def test_an_entry_host_killed_in_mid_order_leaves_a_true_answer(play):
    async def story(site):
        await site.fault(('orders-1', 'orders-2'), 'slow', seconds=2)
        async with anyio.create_task_group() as group:
            group.start_soon(site.order, 'killed', 0)
            await anyio.sleep(1)
            status, error, _ = await site.order('killed', 1)
            assert (status, error['code']) == (409, 'call_in_progress')
            name = 'entry-1'
            site.deployment.find(name).send_signal(signal.SIGKILL)
            await anyio.sleep(6)
            status, error, _ = await site.order('killed', 0)
            assert (status, error['code']) == (502, 'outcome_unknown')
        assert await site.runs('killed') == 1

    play(story)
