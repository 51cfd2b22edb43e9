"""The kernel: order of starting and stopping services, and failures."""

import anyio
import pytest

from ebonywell.exceptions import KernelError
from ebonywell.kernel import Kernel


class Recorder:
    """A service that records when it is run and stopped."""

    def __init__(self, name, events, fails=False):
        self.name = name
        self.events = events
        self.fails = fails

    async def run(self, ready):
        self.events.append(f'{self.name} runs')
        ready()
        if self.fails:
            raise OSError(self.name)
        await anyio.sleep_forever()

    async def stop(self):
        self.events.append(f'{self.name} stops')


def run_kernel(*services):
    """Run services with a stop that is requested from the beginning."""
    kernel = Kernel()
    for service in services:
        kernel.add(service.name, service)

    async def run():
        stopping = anyio.Event()
        stopping.set()
        await kernel.run(stopping)

    anyio.run(run)


def test_services_stop_in_reverse_order():
    events = []
    run_kernel(Recorder('log', events), Recorder('web', events))
    assert events == ['log runs', 'web runs', 'web stops', 'log stops']


def test_a_failing_service_ends_the_process_with_a_group():
    with pytest.raises(ExceptionGroup) as caught:
        run_kernel(Recorder('log', [], fails=True))
    assert caught.value.subgroup(OSError)


def test_a_service_is_found_by_name_and_kind():
    kernel = Kernel()
    kernel.add('log', Recorder('log', []))
    assert kernel.find('log', Recorder).name == 'log'
    for name, kind in (('web', Recorder), ('log', Kernel)):
        with pytest.raises(KernelError):
            kernel.find(name, kind)
    with pytest.raises(KernelError):
        kernel.add('log', Recorder('log', []))
