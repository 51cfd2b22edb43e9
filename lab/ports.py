"""Ports of the loopback network for the processes of a deployment.

A port that is free now may be dealt to another deployment before the process
that it is for listens on it. So each process that starts deployments reserves a
block of ports for as long as it runs, and deals them in turn.
"""

import random
import socket
from dataclasses import dataclass

LOOPBACK = '127.0.0.1'
BLOCK_PORTS = 1000
# Below the ports from which the system deals outgoing connections.
BLOCKS = range(12_000, 32_000, BLOCK_PORTS)


class PortsError(Exception):
    """All blocks of ports are reserved."""


@dataclass(slots=True)
class Reservation:
    """The block of ports that this process deals from.

    Attributes
    ----------
    guard : socket or None
        Bound to the first port of the block; others see by it that the block
        is reserved. None until a port is needed.
    first : int
        Of the ports that may be dealt.
    dealt : int
        How many of them have been dealt in this turn.
    """

    guard: socket.socket | None = None
    first: int = 0
    dealt: int = 0

    def deal(self, count: int) -> int:
        """Return the first of some ports in a row that are free now."""
        if self.guard is None:
            self._reserve()
        while True:
            if self.dealt + count >= BLOCK_PORTS:
                self.dealt = 0
            begin = self.first + self.dealt
            self.dealt += count
            if all(_is_free(port) for port in range(begin, begin + count)):
                return begin

    def _reserve(self) -> None:
        for start in random.sample(BLOCKS, len(BLOCKS)):
            guard = socket.socket()
            try:
                guard.bind((LOOPBACK, start))
            except OSError:
                guard.close()
                continue
            self.guard = guard
            self.first = start + 1
            return
        raise PortsError(f'{len(BLOCKS)} blocks of ports, all reserved')


reservation = Reservation()


def free_ports(count: int) -> int:
    """Return the first of some ports in a row, for one deployment alone.

    Raises
    ------
    PortsError
        If too many other processes deal ports.
    """
    return reservation.deal(count)


def free_address() -> str:
    """Return an ip:port of the loopback network; see `free_ports`."""
    return f'{LOOPBACK}:{free_ports(1)}'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
