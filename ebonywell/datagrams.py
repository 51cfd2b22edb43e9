"""A datagram socket that neither blocks nor wakes a task for each datagram.

A host of a large fleet receives and sends about a hundred datagrams a
second; several iterations of the event loop for each were its largest cost.
"""

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from .logs import Logger
from .misc import split_address

# Datagrams that are read before other callbacks of the event loop run.
MAX_DATAGRAMS_PER_READ = 16
RECEIVE_BUFFER_BYTES = 65_536


@dataclass(slots=True, frozen=True)
class DatagramSocket:
    """Sends datagrams, and passes received ones to a handler.

    Attributes
    ----------
    sock : socket.socket
        Non-blocking socket.
    on_datagram : callable
        Called with the bytes of each datagram.
    """

    sock: socket.socket
    on_datagram: Callable[[bytes], None]
    log: Logger

    def send(self, address: str, datagram: bytes) -> None:
        """Send a datagram to an ip:port; it may be lost.

        Raises
        ------
        SettingsError
            If the address is invalid.
        """
        try:
            self.sock.sendto(datagram, split_address(address))
        except OSError as error:
            # The datagram is dropped if a buffer is full; others will follow.
            self.log('datagram_unsent', to=address, why=repr(error))

    def read(self) -> None:
        """Read and pass on a bounded number of received datagrams."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                datagram = self.sock.recv(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The kernel reports here a datagram that wasn't delivered.
                self.log('datagram_unsent', why=repr(error))
                return
            self.on_datagram(datagram)


@contextmanager
def open_datagram_socket(
    address: str,
    on_datagram: Callable[[bytes], None],
    log: Logger,
) -> Iterator[DatagramSocket]:
    """Open a socket at an ip:port, and close it on leaving the context."""
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.bind(split_address(address))
        opened = DatagramSocket(sock, on_datagram, log)
        loop.add_reader(sock, opened.read)
        try:
            yield opened
        finally:
            loop.remove_reader(sock)
