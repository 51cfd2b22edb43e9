"""Services of a host that fail while it serves."""

import os

import anyio

from ebonywell import supervision
from lab.platform_world import ROOT, run_scenario

SERVICES = (
    'configuration', 'targets', 'gossip', 'leadership', 'summary',
    'provisioner', 'demand', 'housekeeping',
)  # fmt: skip
EVENTS = 30
# Has a service of the host fail when there is a file of its name.
FAILING = """
import os
import anyio
from ebonywell.hostprocess import HostProcess

services = HostProcess._services

def make_failing(name, run):
    path = os.path.join(os.environ['FAILING'], name)

    async def run_until_told():
        async with anyio.create_task_group() as group:
            group.start_soon(run)
            while not os.path.exists(path):
                await anyio.sleep(0.02)
            os.remove(path)
            raise ZeroDivisionError(name)

    return run_until_told

def failing(host):
    for name, run in services(host):
        yield name, make_failing(name, run)

HostProcess._services = failing
"""


def test_a_service_that_fails_ends_nothing_and_is_started_again(monkeypatch):
    monkeypatch.setattr(supervision, 'RESTART_S', 0)
    events = []
    ended = anyio.Event()

    def log(event, /, **fields):
        events.append((event, fields['service']))

    async def fail_once():
        if not events:
            raise OverflowError('port must be 0-65535')
        ended.set()
        await anyio.sleep_forever()

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(supervision.supervise, 'gossip', fail_once, log)
            with anyio.fail_after(5):
                await ended.wait()
            group.cancel_scope.cancel()

    anyio.run(run)
    assert events == [('service_failed', 'gossip')]


async def fail_all(folder):
    """Have each service of a host fail, and wait until all have."""
    for name in SERVICES:
        (folder / name).touch()
    with anyio.fail_after(5):
        while any(folder.iterdir()):
            await anyio.sleep(0.05)


def test_no_service_of_a_host_that_fails_ends_the_host_or_a_stream(tmp_path):
    failing = tmp_path / 'failing'
    failing.mkdir()
    (tmp_path / 'sitecustomize.py').write_text(FAILING)

    async def story(world):
        host = world.launch(
            'host-1',
            FAILING=str(failing),
            PYTHONPATH=os.pathsep.join((str(tmp_path), ROOT)),
        )
        await world.wait_ready()
        await world.wait_logged('event=orders_begin')
        for name in ('pool-1', 'pool-2'):
            world.replicas[name].events = EVENTS
            world.replicas[name].gap_s = 0.1
        answers = []

        async def ask():
            answers.append(await world.chat(host))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0.3)
            await fail_all(failing)
            # They run again, and fail again.
            await fail_all(failing)
            assert not answers
        assert answers[0].is_whole
        for name in SERVICES:
            failed = f'event=service_failed host=host-1 service={name} '
            assert host.log().count(failed) == 2, name
        assert host.log().count('event=joined ') == 1
        for model in ('m4', 'm1/a1'):
            assert (await world.chat(host, model)).status == 200
        assert host.process.poll() is None

    run_scenario(tmp_path, story, hosts=())
