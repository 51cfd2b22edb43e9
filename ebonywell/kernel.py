"""The micro-kernel: starts services, stops them, finds them by name."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import anyio
from anyio.abc import TaskStatus

from .exceptions import KernelError

_Kind = TypeVar('_Kind')


class Service(Protocol):
    """What the kernel asks of a service."""

    async def run(self, ready: Callable[[], None]) -> None:
        """Serve until cancelled; call `ready` once others may use it."""

    async def stop(self) -> None:
        """Finish what has begun; called before `run` is cancelled."""


class Kernel:
    """Services by name, started in order and stopped in reverse order.

    Attributes
    ----------
    services : dict of str to Service
        In the order in which they start.
    """

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}

    def add(self, name: str, service: Service) -> None:
        """Add a service under a name that is still free.

        Raises
        ------
        KernelError
            If the name is taken.
        """
        if name in self.services:
            raise KernelError(f'service {name} is there already')
        self.services[name] = service

    def find(self, name: str, kind: type[_Kind]) -> _Kind:
        """Return the service of that name.

        Raises
        ------
        KernelError
            If there is none, or it is of another kind.
        """
        service = self.services.get(name)
        if not isinstance(service, kind):
            raise KernelError(f'no service {name} of kind {kind.__name__}')
        return service

    async def run(self, stopping: anyio.Event) -> None:
        """Run all services until `stopping` is set, then stop them in turn.

        Parameters
        ----------
        stopping : anyio.Event
            Set by a signal or by a test.

        Raises
        ------
        ExceptionGroup
            What failing services raised.
        """
        scopes: list[tuple[Service, anyio.CancelScope]] = []
        async with anyio.create_task_group() as group:
            for service in self.services.values():
                scopes.append(
                    (service, await group.start(_run_service, service)),
                )
            await stopping.wait()
            for running, scope in reversed(scopes):
                await running.stop()
                scope.cancel()


async def _run_service(
    service: Service,
    *,
    task_status: TaskStatus[anyio.CancelScope],
) -> None:
    with anyio.CancelScope() as scope:
        await service.run(lambda: task_status.started(scope))
