"""Faults and planned work of a day on hosts, the store and configurations."""

import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from .platform_daystate import (
    CONFIG_APPLY_S,
    CUT_MARGIN_S,
    GRACE_S,
    POLL_INTERVAL_S,
    SECOND_KEY,
    Day,
)
from .platform_history import Window
from .platform_replicafaults import (
    add_release,
    corrupt_answers,
    cut_streams,
    drop_idle_connections,
    flap_replica,
    replace_replica,
    silence_replica,
    state_limit,
)
from .platform_world import API_KEY, Host

# A killed host counts as faulty for this time, before its recovery time.
AFTER_KILL_S = 1.0
FAULT_INTERVAL_RANGE_S = (0.7, 2.2)
PLANNED_INTERVAL_RANGE_S = (0.3, 1.7)
SUSPEND_RANGE_S = (0.5, 4)
OUTAGE_RANGE_S = (0.3, 2)
# A silent or slow store stays so for longer than its clients wait.
SILENCE_RANGE_S = (1, 4)
STORE_DELAY_RANGE_S = (0.2, 1.5)
ROLL_INTERVAL_RANGE_S = (0.7, 2.5)
RELOAD_INTERVAL_RANGE_S = (0.3, 2)
RELOAD_ROUNDS = 3
# Time from the signal to stop until the second signal.
SECOND_SIGNAL_RANGE_S = (0.05, 5)
CHANGE_BURST_SIZE = 6
CHANGE_BURST_INTERVAL_RANGE_S = (0.02, 0.4)
_STARTED_EVENT = 'event=started '
_SIGHUP_MASK = 1 << (signal.SIGHUP - 1)


async def kill_host(day: Day) -> None:
    """Kill a host; it restarts on other ports."""
    host = day.pick_host()
    with day.record_fault(host.name, 'killed'):
        host.killed_at = time.monotonic()
        host.process.kill()
        await anyio.sleep(AFTER_KILL_S)


async def suspend_host(day: Day) -> None:
    """Suspend a host's process for a while."""
    host = day.pick_host()
    with day.record_fault(host.name, 'suspended'):
        host.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(day.rng.uniform(*SUSPEND_RANGE_S))
        host.process.send_signal(signal.SIGCONT)


async def stop_host(day: Day) -> None:
    """Stop a host as planned work; it restarts on other ports."""
    await _stop(day, day.pick_host())


async def stop_and_signal(day: Day) -> None:
    """Stop a host, and send it a second signal before it has ended."""
    host = day.pick_host()
    signal_number = day.rng.choice((signal.SIGHUP, signal.SIGTERM))
    async with anyio.create_task_group() as group:
        group.start_soon(_stop, day, host)
        await anyio.sleep(day.rng.uniform(*SECOND_SIGNAL_RANGE_S))
        if signal_number == signal.SIGHUP:
            _reload(day, host)
        else:
            _signal(day, host, signal_number)


async def roll_hosts(day: Day) -> None:
    """Stop all hosts in quick succession, in half of all cases with reloads."""
    hosts = list(day.world.hosts.values())
    day.rng.shuffle(hosts)
    interval_s = day.rng.uniform(*ROLL_INTERVAL_RANGE_S)
    with_reloads = day.rng.random() < 1 / 2
    async with anyio.create_task_group() as group:
        if with_reloads:
            group.start_soon(reload_hosts, day)
        for host in hosts:
            group.start_soon(_stop, day, host)
            await anyio.sleep(interval_s)


async def reload_host(day: Day) -> None:
    """Make a host reload its settings."""
    _reload(day, day.pick_host())


async def reload_hosts(day: Day) -> None:
    """Make all hosts reload their settings several times."""
    for _ in range(RELOAD_ROUNDS):
        for host in list(day.world.hosts.values()):
            _reload(day, host)
        await anyio.sleep(day.rng.uniform(*RELOAD_INTERVAL_RANGE_S))


async def take_store_down(day: Day) -> None:
    """Make the store reject all calls for a while."""
    with day.record_fault('store', 'down'):
        day.world.store.is_down = True
        await anyio.sleep(day.rng.uniform(*OUTAGE_RANGE_S))
        day.world.store.is_down = False


async def silence_store(day: Day) -> None:
    """Make the store read calls without answering them for a while."""
    with day.record_fault('store', 'silent'):
        day.world.store.is_silent = True
        await anyio.sleep(day.rng.uniform(*SILENCE_RANGE_S))
        day.world.store.is_silent = False


async def slow_store(day: Day) -> None:
    """Make the store answer late for a while."""
    with day.record_fault('store', 'slow'):
        day.world.store.delay_s = day.rng.uniform(*STORE_DELAY_RANGE_S)
        await anyio.sleep(day.rng.uniform(*SILENCE_RANGE_S))
        day.world.store.delay_s = 0


async def change_configuration_quickly(day: Day) -> None:
    """Write several configurations into the store in quick succession."""
    for _ in range(CHANGE_BURST_SIZE):
        day.put_configuration()
        await anyio.sleep(day.rng.uniform(*CHANGE_BURST_INTERVAL_RANGE_S))


async def withdraw_key(day: Day) -> None:
    """Withdraw the second key."""
    if SECOND_KEY not in day.keys:
        return
    day.keys = (API_KEY,)
    day.put_configuration()
    day.history.withdrawn_at[SECOND_KEY] = time.monotonic()


async def _stop(day: Day, host: Host) -> None:
    """Stop a host; kill it if it has not ended after the grace period."""
    _signal(day, host, signal.SIGTERM)
    if host.stop_requested_at is None:
        return
    kill_due_at = host.stop_requested_at + GRACE_S
    while host.process.poll() is None:
        if time.monotonic() >= kill_due_at:
            day.log_event(f'{host.name} overran its grace period')
            host.killed_at = time.monotonic()
            host.process.kill()
            return
        await anyio.sleep(POLL_INTERVAL_S)


def _reload(day: Day, host: Host) -> None:
    _signal(day, host, signal.SIGHUP)


def _signal(day: Day, host: Host, signal_number: signal.Signals) -> None:
    """Send a signal to a host if it is running and handles that signal."""
    if host.process.poll() is not None or not _handles_signal(
        host, signal_number
    ):
        return
    now = time.monotonic()
    day.log_event(f'{host.name} {signal_number.name}')
    if signal_number == signal.SIGHUP:
        window = Window(host.name, now, now + CONFIG_APPLY_S)
        day.history.reloads.append(window)
    elif host.stop_requested_at is None:
        host.stop_requested_at = now
        window = Window(host.name, now, now + GRACE_S + CUT_MARGIN_S)
        day.history.stops.append(window)
    host.process.send_signal(signal_number)


def _handles_signal(host: Host, signal_number: signal.Signals) -> bool:
    """Return whether a host's start is so far along that it handles a signal.

    Before that, the signal would end its process. A host handles signals once
    it has logged its start. SIGHUP also counts as handled while it is blocked.
    """
    if _STARTED_EVENT in host.process_log():
        return True
    with open(f'/proc/{host.process.pid}/status', encoding='ascii') as opened:
        blocked = next(line for line in opened if line.startswith('SigBlk'))
    return signal_number == signal.SIGHUP and bool(
        int(blocked[7:], 16) & _SIGHUP_MASK
    )


Disturbance = Callable[[Day], Coroutine[Any, Any, None]]
PLANNED_WORK: tuple[Disturbance, ...] = (
    stop_host,
    stop_host,
    stop_and_signal,
    stop_and_signal,
    roll_hosts,
    reload_host,
    reload_hosts,
    change_configuration_quickly,
    withdraw_key,
    replace_replica,
    add_release,
)
FAULTS: tuple[Disturbance, ...] = (
    kill_host,
    suspend_host,
    take_store_down,
    silence_store,
    slow_store,
    corrupt_answers,
    corrupt_answers,
    silence_replica,
    drop_idle_connections,
    flap_replica,
    cut_streams,
    cut_streams,
    state_limit,
)


async def start_disturbances(day: Day) -> None:
    """Start planned work and faults at random times; they may overlap."""
    day.group.start_soon(
        _start_at_random, day, PLANNED_WORK, PLANNED_INTERVAL_RANGE_S
    )
    day.group.start_soon(_start_at_random, day, FAULTS, FAULT_INTERVAL_RANGE_S)


async def _start_at_random(
    day: Day,
    disturbances: tuple[Disturbance, ...],
    interval_range_s: tuple[float, float],
) -> None:
    rng = random.Random(day.rng.random())
    while not day.is_over:
        await anyio.sleep(rng.uniform(*interval_range_s))
        day.group.start_soon(rng.choice(disturbances), day)
