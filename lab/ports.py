"""Ports of the loopback network for the processes of a deployment.

A port that is free now may be dealt to another deployment before the process
that it is for listens on it. So each process that starts deployments reserves a
block of ports for as long as it runs, and deals them in turn.
"""

import random
import socket
from dataclasses import dataclass

LOOPBACK = '127.0.0.1'
PORTS_PER_BLOCK = 1000
# Below the ports from which the system deals outgoing connections.
BLOCK_STARTS = range(12_000, 32_000, PORTS_PER_BLOCK)


class PortsError(Exception):
    """All blocks of ports are reserved."""


@dataclass(slots=True)
class PortAllocator:
    """The block of ports that this process deals from.

    Attributes
    ----------
    guard : socket or None
        Bound to the first port of the block; others see by it that the block
        is reserved. None until a port is needed.
    first_port : int
        Of the ports that may be dealt.
    allocated : int
        How many of them have been dealt in this turn.
    """

    guard: socket.socket | None = None
    first_port: int = 0
    allocated: int = 0

    def allocate(self, count: int) -> int:
        """Return the first of some ports in a row that are free now."""
        if self.guard is None:
            self._reserve_block()
        while True:
            if self.allocated + count >= PORTS_PER_BLOCK:
                self.allocated = 0
            begin = self.first_port + self.allocated
            self.allocated += count
            if all(_is_free(port) for port in range(begin, begin + count)):
                return begin

    def _reserve_block(self) -> None:
        for start in random.sample(BLOCK_STARTS, len(BLOCK_STARTS)):
            guard = socket.socket()
            try:
                guard.bind((LOOPBACK, start))
            except OSError:
                guard.close()
                continue
            self.guard = guard
            self.first_port = start + 1
            return
        raise PortsError(f'{len(BLOCK_STARTS)} blocks of ports, all reserved')


port_allocator = PortAllocator()


def allocate_ports(count: int) -> int:
    """Return the first of some ports in a row, for one deployment alone.

    Raises
    ------
    PortsError
        If too many other processes deal ports.
    """
    return port_allocator.allocate(count)


def allocate_address() -> str:
    """Return an ip:port of the loopback network; see `allocate_ports`."""
    return f'{LOOPBACK}:{allocate_ports(1)}'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
