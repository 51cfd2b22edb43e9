"""The kernel: a registry that starts, stops and finds services by name."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import anyio
from anyio.abc import TaskStatus

from .exceptions import KernelError

_Kind = TypeVar('_Kind')


class Service(Protocol):
    """Interface of a service to the kernel."""

    async def run(self, ready: Callable[[], None]) -> None:
        """Serve until cancelled; call `ready` once the service is usable."""

    async def stop(self) -> None:
        """Finish work in progress; called before `run` is cancelled."""


class Kernel:
    """Runs named services, started in order and stopped in reverse order.

    Attributes
    ----------
    services : dict of str to Service
        Services by name, in the order in which they start.
    """

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}

    def add(self, name: str, service: Service) -> None:
        """Register a service under a unique name.

        Raises
        ------
        KernelError
            If the name is already registered.
        """
        if name in self.services:
            raise KernelError(f'service {name} is already registered')
        self.services[name] = service

    def find(self, name: str, kind: type[_Kind]) -> _Kind:
        """Return the service with a given name and type.

        Raises
        ------
        KernelError
            If there is no service of that name, or it has another type.
        """
        service = self.services.get(name)
        if not isinstance(service, kind):
            raise KernelError(f'no service {name} of type {kind.__name__}')
        return service

    async def run(self, stopping: anyio.Event) -> None:
        """Run all services until `stopping` is set, then stop them in turn.

        Parameters
        ----------
        stopping : anyio.Event
            Set by a signal handler or by a test.

        Raises
        ------
        ExceptionGroup
            Holds the exceptions of the services that failed.
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
