"""Slots on targets: who gets one, who is refused, and how soon."""

import anyio
import msgspec
import pytest

from ebonywell import changes
from ebonywell.answers import RefusedError
from ebonywell.placing import Ending
from ebonywell.types import EntryKind, ServiceClass

from .crashworld import RUN_S, make_call, simulate


async def _many(fleet, count, host=0, **fields):
    told = []

    async def ask(number):
        started = anyio.current_time()
        answer = await fleet.hosts[host].ask(b'%d' % number, **fields)
        told.append((answer, anyio.current_time() - started))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(ask, number)
    return told


def test_calls_beyond_the_room_wait_and_all_end_well():
    async def story(fleet):
        told = await _many(fleet, 200)
        assert {answer[0] for answer, _ in told} == {200}
        room = 4 * 16
        assert max(took for _, took in told) <= RUN_S * (200 / room + 2)

    simulate(story, hosts=1)


def test_a_call_that_cannot_meet_its_deadline_is_refused_at_once():
    async def story(fleet):
        await _many(fleet, 20)
        async with anyio.create_task_group() as group:
            group.start_soon(_many, fleet, 400)
            await anyio.sleep(0.01)
            told = await _many(fleet, 1, deadline_s=1)
            (status, run_state, retry_after_s), took = told.pop()
            assert (status, run_state) == (503, 'not_run')
            assert retry_after_s >= 1
            assert took == 0
            # Another workspace is not behind those calls.
            told = await _many(fleet, 1, workspace='small', deadline_s=2)
            assert told[0][0][0] == 200

    simulate(story, hosts=1)


def test_a_workspace_with_ten_times_the_calls_moves_nobody_else():
    async def story(fleet):
        waits = {}
        for large in (10, 500):
            async with anyio.create_task_group() as group:
                group.start_soon(_many, fleet, large)
                await anyio.sleep(0.01)
                told = await _many(fleet, 10, workspace='small')
                waits[large] = max(took for _, took in told)
        assert waits[500] <= waits[10] + 2 * RUN_S

    simulate(story, hosts=1)


def test_interactive_calls_go_before_batch_calls():
    async def story(fleet):
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
        # The batch calls that had begun are followed by the interactive ones.
        assert order[64:140].count('quote') >= 60

    simulate(story, hosts=1)


@pytest.mark.parametrize('sign', ['list', 'report', 'refusal'])
def test_a_leaving_target_gets_nothing_new(sign):
    async def story(fleet):
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
            group.start_soon(_many, fleet, 100)
            if sign == 'refusal':
                fleet.machines['t0'].draining = True
        assert len(fleet.machines['t0'].runs) == before

    simulate(story, hosts=1)


def test_no_target_is_said_at_once_and_a_slot_comes_back_on_cancel():
    async def story(fleet):
        host = fleet.hosts[0]
        call = make_call(fleet.entry, b'x')
        nowhere = msgspec.structs.replace(fleet.entry, targets=())
        unserved = make_call(nowhere, b'x')
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
            # Most of these still wait when they are cancelled.
            await _many(fleet, 20)
        in_flight = [one.in_flight for one in host.table.by_name.values()]
        assert sum(in_flight) == 0
        assert host.admission.queue.size == 0

    simulate(story, hosts=1)


def test_a_tried_call_waits_a_little_for_a_target_to_come_back():
    async def story(fleet):
        host = fleet.hosts[0]
        tried = frozenset(('t0',))
        target = host.table.by_name.pop('t0')
        async with anyio.create_task_group() as group:
            group.start_soon(_put_back, host, target)
            before = anyio.current_time()
            call = make_call(fleet.entry, b'x')
            async with host.admission.slot(call, tried) as found:
                assert found is target
            assert anyio.current_time() - before < 3

    async def _put_back(host, target):
        await anyio.sleep(2)
        host.table.by_name['t0'] = target

    simulate(story, hosts=1, machines=1)


def test_calls_wait_here_when_a_target_reports_a_queue():
    async def story(fleet):
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

    simulate(story, hosts=1)
