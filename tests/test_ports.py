"""Tests of port allocation among deployments on one machine."""

import subprocess
import sys

from lab.ports import PORTS_PER_BLOCK, PortAllocator, allocate_address

ALLOCATE = (
    'from lab.ports import allocate_ports; print(allocate_ports(24)); input()'
)


def test_addresses_are_not_reused_while_their_process_may_still_start():
    addresses = [allocate_address() for _ in range(900)]
    assert len(set(addresses)) == 900


def test_concurrent_processes_allocate_from_different_blocks():
    own = PortAllocator()
    first = own.allocate(24)
    others = [
        subprocess.Popen(
            [sys.executable, '-c', ALLOCATE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    first_ports = [first, *(int(one.stdout.readline()) for one in others)]
    for one in others:
        one.communicate('')
    own.guard.close()
    blocks = {port // PORTS_PER_BLOCK for port in first_ports}
    assert len(blocks) == 4
