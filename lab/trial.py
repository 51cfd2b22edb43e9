"""Runs a deployment under load and records its history."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from .arrivals import Mix, plan_arrivals
from .client import Client, ClientError
from .commands import IssuedKey
from .deployment import Deployment
from .history import History, add_journal
from .load import SAMPLE_WEIGHTS, Load
from .shape import Shape

CALLS_PER_S = 30.0
MAX_LOAD_S = 120.0
ADDRESS_REFRESH_INTERVAL_S = 0.5
ORDER_RESENDS = 3
LATE_END_WAIT_S = 2.0
CALLER_TIMEOUT_S = 15.0
_STATUS_OK = 200
WORKSPACE = 'counter'


@dataclass(slots=True)
class Trial:
    """A run of a deployment under load.

    Attributes
    ----------
    deployment : Deployment
    load : Load
    history : History
    issued : list of IssuedKey
        All issued keys; the last one is in use.
    """

    deployment: Deployment
    load: Load
    history: History = field(default_factory=History)
    issued: list[IssuedKey] = field(default_factory=list)

    def use_key(self, issued_key: IssuedKey) -> None:
        """Switch the callers to a key."""
        self.issued.append(issued_key)
        self.load.keys[WORKSPACE] = issued_key

    async def collect(self) -> None:
        """Copy the records of callers, targets and logs into the history."""
        self.history.observations = self.load.observations
        self.history.keys = [one.key for one in self.issued]
        for name in self.deployment.targets:
            journal = await self.deployment.read_journal(name)
            add_journal(self.history, name, journal)
        for member in self.deployment.entries.values():
            self.history.logs[member.name] = member.read_log()


@asynccontextmanager
async def run_trial(seed: int, shape: Shape) -> AsyncIterator[Trial]:
    """Start a deployment and put it under load until the context exits.

    On exit the load stops, requests in flight end, and the history is
    completed.

    Parameters
    ----------
    seed : int
        Seed of the arrival times.
    shape : Shape

    Raises
    ------
    ProcessError, CommandError
        If the deployment does not start.
    """
    async with (
        Deployment(shape) as deployment,
        Client(CALLER_TIMEOUT_S) as callers,
    ):
        await deployment.apply_catalogue()
        load = Load(callers, {}, [], [], f'trial-{seed}', ORDER_RESENDS)
        trial = Trial(deployment, load)
        trial.use_key(await deployment.operator.issue_key(WORKSPACE))
        await _refresh_addresses(trial)
        async with anyio.create_task_group() as group:
            group.start_soon(_refresh_addresses_forever, trial)
            load_scope = anyio.CancelScope()
            group.start_soon(_run_load, trial, seed, load_scope)
            yield trial
            load_scope.cancel()
            await _drain(trial)
            group.cancel_scope.cancel()
        await trial.collect()


async def _run_load(
    trial: Trial,
    seed: int,
    scope: anyio.CancelScope,
) -> None:
    mix = Mix(WORKSPACE, CALLS_PER_S, SAMPLE_WEIGHTS)
    arrivals = plan_arrivals(
        seed,
        [mix],
        MAX_LOAD_S,
        trial.deployment.shape.entries,
    )
    await trial.load.run(arrivals, scope)


async def _drain(trial: Trial) -> None:
    with anyio.move_on_after(CALLER_TIMEOUT_S):
        while trial.load.in_flight:
            await anyio.sleep(ADDRESS_REFRESH_INTERVAL_S)
    # Targets that learn late of the end of a call still write it to their
    # journal meanwhile.
    await anyio.sleep(LATE_END_WAIT_S)


async def _refresh_addresses_forever(trial: Trial) -> None:
    while True:
        await anyio.sleep(ADDRESS_REFRESH_INTERVAL_S)
        await _refresh_addresses(trial)


async def _refresh_addresses(trial: Trial) -> None:
    """Fetch the entry addresses from the first process that answers.

    Callers do the same.
    """
    known = [f'http://{address}' for address in trial.load.addresses]
    for url in known or trial.deployment.entry_urls():
        with anyio.move_on_after(1):
            addresses = await _fetch_addresses(trial, url)
            if addresses:
                trial.load.addresses = addresses
                return


async def _fetch_addresses(trial: Trial, url: str) -> list[str]:
    try:
        response = await trial.load.client.ask('GET', f'{url}/v1/hosts')
    except ClientError:
        return []
    if response.status != _STATUS_OK:
        return []
    zones: dict[str, list[str]] = response.json()['zones']
    return [one for zone in sorted(zones) for one in zones[zone]]


def now() -> float:
    """Return the wall-clock time that observations and journals use."""
    return time.time()
