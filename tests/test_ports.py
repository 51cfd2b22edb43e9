"""Ports that several deployments on one machine share."""

import subprocess
import sys

from lab.ports import PORTS_PER_BLOCK, PortAllocator, allocate_address

DEAL = (
    'from lab.ports import allocate_ports; print(allocate_ports(24)); input()'
)


def test_no_address_is_dealt_again_while_its_process_may_still_start():
    addresses = [allocate_address() for _ in range(900)]
    assert len(set(addresses)) == 900


def test_two_processes_never_deal_the_same_port():
    mine = PortAllocator()
    begin = mine.allocate(24)
    others = [
        subprocess.Popen(
            [sys.executable, '-c', DEAL],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    begins = [begin, *(int(one.stdout.readline()) for one in others)]
    for one in others:
        one.communicate('')
    mine.guard.close()
    blocks = {port // PORTS_PER_BLOCK for port in begins}
    assert len(blocks) == 4
