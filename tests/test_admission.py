"""Tests of admission: slots on targets, rejections and waiting times."""

import anyio
import msgspec
import pytest

from ebonywell import changes
from ebonywell.answers import RefusedError
from ebonywell.targetselector import Ending
from ebonywell.types import EntryKind, ServiceClass

from .crashworld import RUN_S, make_call, simulate


async def _send_many(fleet, count, host=0, **fields):
    answers = []

    async def send(number):
        started = anyio.current_time()
        answer = await fleet.hosts[host].ask(b'%d' % number, **fields)
        answers.append((answer, anyio.current_time() - started))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send, number)
    return answers


def test_requests_beyond_the_capacity_wait_and_succeed():
    async def scenario(fleet):
        answers = await _send_many(fleet, 200)
        assert {answer[0] for answer, _ in answers} == {200}
        capacity = 4 * 16
        assert max(took for _, took in answers) <= RUN_S * (200 / capacity + 2)

    simulate(scenario, hosts=1)


def test_a_request_that_cannot_meet_its_deadline_is_rejected_at_once():
    async def scenario(fleet):
        await _send_many(fleet, 20)
        async with anyio.create_task_group() as group:
            group.start_soon(_send_many, fleet, 400)
            await anyio.sleep(0.01)
            answers = await _send_many(fleet, 1, deadline_s=1)
            (status, run_state, retry_after_s), took = answers.pop()
            assert (status, run_state) == (503, 'not_run')
            assert retry_after_s >= 1
            assert took == 0
            # Requests of another workspace do not queue behind these.
            answers = await _send_many(
                fleet, 1, workspace='small', deadline_s=2
            )
            assert answers[0][0][0] == 200

    simulate(scenario, hosts=1)


def test_a_workspace_with_ten_times_the_requests_delays_no_other():
    async def scenario(fleet):
        waits = {}
        for large in (10, 500):
            async with anyio.create_task_group() as group:
                group.start_soon(_send_many, fleet, large)
                await anyio.sleep(0.01)
                answers = await _send_many(fleet, 10, workspace='small')
                waits[large] = max(took for _, took in answers)
        assert waits[500] <= waits[10] + 2 * RUN_S

    simulate(scenario, hosts=1)


def test_interactive_requests_are_served_before_batch_requests():
    async def scenario(fleet):
        batch = changes.Entry(
            'night',
            EntryKind.service,
            service_class=ServiceClass.batch,
            targets=fleet.entry.targets,
        )
        host = fleet.hosts[0]
        order = []

        async def run(entry, number):
            call = make_call(entry, b'%d' % number, 'other')
            async with host.admission.slot(call, frozenset()):
                order.append(entry.name)
                await anyio.sleep(RUN_S)

        async with anyio.create_task_group() as group:
            for number in range(200):
                group.start_soon(run, batch, number)
            await anyio.sleep(0.01)
            for number in range(64):
                group.start_soon(run, fleet.entry, number)
        # The first 64 batch requests were running already; interactive ones
        # follow.
        assert order[64:140].count('quote') >= 60

    simulate(scenario, hosts=1)


@pytest.mark.parametrize('sign', ['list', 'report', 'refusal'])
def test_a_leaving_target_gets_no_new_requests(sign):
    async def scenario(fleet):
        host = fleet.hosts[0]
        target = host.table.by_name['t0']
        if sign == 'list':
            target.listed = msgspec.structs.replace(
                target.listed, state='leaving'
            )
        elif sign == 'report':
            fleet.machines['t0'].draining = True
            host.poll()
        else:
            host.placer.observe(target, Ending.leaving)
        before = len(fleet.machines['t0'].runs)
        async with anyio.create_task_group() as group:
            group.start_soon(_send_many, fleet, 100)
            if sign == 'refusal':
                fleet.machines['t0'].draining = True
        assert len(fleet.machines['t0'].runs) == before

    simulate(scenario, hosts=1)


def test_no_target_is_rejected_at_once_and_cancelling_frees_the_slot():
    async def scenario(fleet):
        host = fleet.hosts[0]
        call = make_call(fleet.entry, b'x')
        without_targets = msgspec.structs.replace(fleet.entry, targets=())
        unserved = make_call(without_targets, b'x')
        with pytest.raises(RefusedError) as refused:
            async with host.admission.slot(unserved, frozenset()):
                raise AssertionError
        assert refused.value.refusal.code == 'no_target'
        with anyio.move_on_after(0.1):
            async with host.admission.slot(call, frozenset()):
                await anyio.sleep_forever()
        for machine in fleet.machines.values():
            machine.max_running = 1
        fleet.hosts[0].placer.limits.clear()
        host.poll()
        with anyio.move_on_after(0.1):
            # Most of these requests are still queued when they are cancelled.
            await _send_many(fleet, 20)
        in_flight = [one.in_flight for one in host.table.by_name.values()]
        assert sum(in_flight) == 0
        assert host.admission.queue.size == 0

    simulate(scenario, hosts=1)


def test_a_retry_waits_briefly_for_a_target_to_come_back():
    async def scenario(fleet):
        host = fleet.hosts[0]
        attempted = frozenset(('t0',))
        target = host.table.by_name.pop('t0')
        async with anyio.create_task_group() as group:
            group.start_soon(_put_back, host, target)
            before = anyio.current_time()
            call = make_call(fleet.entry, b'x')
            async with host.admission.slot(call, attempted) as found:
                assert found is target
            assert anyio.current_time() - before < 3

    async def _put_back(host, target):
        await anyio.sleep(2)
        host.table.by_name['t0'] = target

    simulate(scenario, hosts=1, machines=1)


def test_requests_wait_in_this_process_when_a_target_reports_a_queue():
    async def scenario(fleet):
        host = fleet.hosts[0]
        for machine in fleet.machines.values():
            machine.queue_depth = 5
        for _ in range(30):
            host.poll()
            call = make_call(fleet.entry, b'x')
            host.placer.capacity(call)
            await anyio.sleep(0.01)
        assert host.placer.capacity(call) <= len(fleet.machines) * 2
        for machine in fleet.machines.values():
            machine.queue_depth = 0
        for _ in range(30):
            host.poll()
            host.placer.capacity(call)
            await anyio.sleep(0.01)
        assert host.placer.capacity(call) == len(fleet.machines) * 16

    simulate(scenario, hosts=1)
