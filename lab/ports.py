"""Allocates loopback ports for the processes of a deployment.

A port that is free now may be allocated to another deployment before the
process that needs it listens on it. Each process that starts deployments
therefore reserves a block of ports for its lifetime, and allocates the ports of
the block in ascending order.
"""

import random
import socket
from dataclasses import dataclass

LOOPBACK = '127.0.0.1'
PORTS_PER_BLOCK = 1000
# The blocks lie below the range of ephemeral ports, from which the system
# assigns ports to outgoing connections.
BLOCK_STARTS = range(12_000, 32_000, PORTS_PER_BLOCK)


class PortsError(Exception):
    """Every block of ports is reserved by another process."""


@dataclass(slots=True)
class PortAllocator:
    """Allocates ports from a block that this process reserves.

    Attributes
    ----------
    guard : socket or None
        Bound to the first port of the block, which marks the block as
        reserved for other processes. None until the first allocation.
    first_port : int
        The first port of the block that can be allocated.
    allocated : int
        The number of ports allocated since the start of the block; reset to 0
        when the block is used up.
    """

    guard: socket.socket | None = None
    first_port: int = 0
    allocated: int = 0

    def allocate(self, count: int) -> int:
        """Return the first of `count` consecutive ports that are free."""
        if self.guard is None:
            self._reserve_block()
        while True:
            if self.allocated + count >= PORTS_PER_BLOCK:
                self.allocated = 0
            first = self.first_port + self.allocated
            self.allocated += count
            if all(_is_free(port) for port in range(first, first + count)):
                return first

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
        raise PortsError(
            f'all {len(BLOCK_STARTS)} blocks of ports are reserved'
        )


port_allocator = PortAllocator()


def allocate_ports(count: int) -> int:
    """Return the first of `count` consecutive ports, used by no other caller.

    Raises
    ------
    PortsError
        If other processes have reserved all blocks of ports.
    """
    return port_allocator.allocate(count)


def allocate_address() -> str:
    """Return an unused loopback ip:port; see `allocate_ports`."""
    return f'{LOOPBACK}:{allocate_ports(1)}'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
