"""Measures what real entry processes cost while no caller comes."""

import os
from dataclasses import dataclass
from pathlib import Path

import anyio

from .deployment import Deployment
from .shape import Shape
from .slopes import Row

HOST_COUNTS = (2, 4, 8)
TARGET_COUNTS = (5, 10, 20)
SETTLE_S = 3.0
RUN_S = 8.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_USER_TICKS_FIELD = 11
_RESIDENT_PAGES_FIELD = 1


@dataclass(slots=True)
class ProcessUsage:
    """What a process has used.

    Attributes
    ----------
    cpu_s : float
        Since it began.
    resident_bytes : int
    """

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return what a process has used so far."""
    folder = Path(f'/proc/{pid}')
    # The name of the program, in brackets, may hold spaces.
    numbers = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(numbers[_USER_TICKS_FIELD]) + int(
        numbers[_USER_TICKS_FIELD + 1]
    )
    pages = int((folder / 'statm').read_text().split()[_RESIDENT_PAGES_FIELD])
    return ProcessUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)


async def measure_processes() -> list[Row]:
    """Return CPU and memory of one idle entry process."""
    rows: list[Row] = []
    for hosts in HOST_COUNTS:
        shape = Shape(entries=hosts)
        rows.extend(await _measure('hosts', hosts, shape))
    for targets in TARGET_COUNTS:
        engines = tuple(f'engine-{number}' for number in range(targets))
        shape = Shape(entries=2, engines=engines, services=())
        rows.extend(await _measure('targets', targets, shape))
    return rows


async def _measure(by: str, size: int, shape: Shape) -> list[Row]:
    async with Deployment(shape) as deployment:
        await anyio.sleep(SETTLE_S)
        pids = [member.pid for member in deployment.entries.values()]
        before = [read_usage(pid) for pid in pids]
        await anyio.sleep(RUN_S)
        after = [read_usage(pid) for pid in pids]
    spent = sum(one.cpu_s for one in after) - sum(one.cpu_s for one in before)
    resident = sum(one.resident_bytes for one in after) / len(pids)
    cores = spent / RUN_S / len(pids)
    return [
        Row(f'idle process by {by}: core', size, cores, 'cores'),
        Row(f'idle process by {by}: memory', size, resident, 'bytes'),
    ]
