"""Measures the CPU and memory of entry processes without callers."""

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
    """Resources used by a process.

    Attributes
    ----------
    cpu_s : float
        CPU time since the process started.
    resident_bytes : int
    """

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the CPU time and memory that a process has used so far."""
    proc_directory = Path(f'/proc/{pid}')
    # Split after the program name in parentheses, which may contain spaces.
    stat_fields = (
        (proc_directory / 'stat').read_text().rpartition(')')[2].split()
    )
    ticks = int(stat_fields[_USER_TICKS_FIELD]) + int(
        stat_fields[_USER_TICKS_FIELD + 1]
    )
    pages = int(
        (proc_directory / 'statm').read_text().split()[_RESIDENT_PAGES_FIELD]
    )
    return ProcessUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)


async def measure_processes() -> list[Row]:
    """Return CPU and memory of an idle entry process, by hosts and targets."""
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
    cpu_s = sum(usage.cpu_s for usage in after) - sum(
        usage.cpu_s for usage in before
    )
    resident = sum(usage.resident_bytes for usage in after) / len(pids)
    cores = cpu_s / RUN_S / len(pids)
    return [
        Row(f'idle process by {by}: core', size, cores, 'cores'),
        Row(f'idle process by {by}: memory', size, resident, 'bytes'),
    ]
