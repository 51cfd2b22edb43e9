"""Tests of requests during failures, against real processes."""

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
    """Deployment with a caller of workspace counter."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.key = ''
        self.engines = {}

    async def prepare(self):
        await self.deployment.apply_catalogue()
        self.key = (await self.deployment.operator.issue_key('counter')).key
        await anyio.sleep(2)

    async def ask(self, path, body, entry=0, **headers):
        """Return the status, error and body of an answer; status 0 if lost."""
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
        portal.call(built.prepare)
        yield built


@pytest.fixture
def run_scenario(portal, site):
    """Return a function that runs a scenario; clear all faults afterwards."""

    def run(scenario):
        portal.call(scenario, site)

    yield run
    for name in ('log', 'orders-1', 'orders-2', *SHAPE.engines):
        if site.deployment.find(name).is_running():
            portal.call(site.deployment.clear_faults, name)


def test_an_order_cut_after_its_run_has_an_unknown_outcome_on_every_host(
    run_scenario,
):
    async def scenario(site):
        await site.fault(('orders-1', 'orders-2'), 'cut_after_run', count=1)
        for entry in (0, 1, 2):
            status, error, _ = await site.order('cut', entry)
            assert (status, error['run_state']) == (502, 'unknown')
        assert await site.runs('cut') == 1

    run_scenario(scenario)


def test_during_a_log_outage_orders_do_not_run_and_chats_succeed(run_scenario):
    async def scenario(site):
        await site.fault(('log',), 'outage')
        status, error, _ = await site.order('down')
        assert (status, error['run_state']) == (503, 'not_run')
        assert error['retry_after_s'] > 0
        assert (await site.chat('price?'))[0] == 200
        # The hosts have detected the outage by now and reject the order
        # without an append.
        status, error, _ = await site.order('later', 1)
        assert (status, error['run_state']) == (503, 'not_run')
        assert await site.runs('down') == 0
        await site.deployment.clear_faults('log')
        await anyio.sleep(3)
        status, error, _ = await site.order('down', 1)
        assert status == 200, error
        assert await site.runs('down') == 1

    run_scenario(scenario)


def test_an_order_runs_once_when_replies_of_the_log_are_lost(run_scenario):
    async def scenario(site):
        await site.fault(('log',), 'lose_reply', count=20)
        answers = [await site.order('lost', entry) for entry in (0, 1, 2)]
        assert await site.runs('lost') == 1
        assert 200 in {status for status, _, _ in answers}

    run_scenario(scenario)


def test_a_prompt_that_crashes_engines_crashes_at_most_two(run_scenario):
    async def scenario(site):
        await site.fault(SHAPE.engines, 'crash_on', text='poison')
        # Earlier requests fill the retry budget, so that it allows a retry.
        for number in range(12):
            assert (await site.chat(f'price {number}?'))[0] == 200
        answers = []

        async def innocent(number):
            answers.append(await site.chat(f'words=200 {number}', number % 3))

        async with anyio.create_task_group() as group:
            for number in range(9):
                group.start_soon(innocent, number)
            await anyio.sleep(0.02)
            killer = await site.chat('poison')
        assert killer[0] == 422, killer
        assert not killer[1].get('retry_after_s')
        errors = [error for _, error, _ in answers if error]
        assert not errors
        for entry in (0, 1, 2):
            assert (await site.chat('poison', entry))[0] == 422
        up = [site.deployment.find(name).is_running() for name in SHAPE.engines]
        assert up.count(False) <= 2

    run_scenario(scenario)


def test_an_order_whose_host_was_killed_has_an_unknown_outcome(run_scenario):
    async def scenario(site):
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

    run_scenario(scenario)
