"""Injects faults into a deployment under load and checks its history."""

import random
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import cyclopts

from .client import Answer, bearer
from .commands import Operator
from .history import (
    Freeze,
    History,
    PlannedStop,
    Race,
    Step,
    TargetDrain,
    Withdrawal,
    find_violations,
)
from .processes import Member, wait
from .shape import Shape
from .trial import WORKSPACE, Trial, now, run_trial

# Exceeds the lease time and the time after which a host counts as stale.
FREEZE_DURATION_S = 6.0
OUTAGE_DURATION_S = 3.0
LINK_CUT_DURATION_S = 3.0
DRAIN_DURATION_S = 6.0
SETTLE_S = 1.0
# Maximum time until a lost host is excluded from the shared limits.
RECOVERY_S = 15.0
LOG_DELAY_S = 0.3
CHANGE_PROPAGATION_S = 6.0
OPERATOR_COUNT = 3
STOP_TIMEOUT_S = 30.0
RACED_WORKSPACE = 'stranger'
_STATUS_OK = 200
_OPERATOR_PATH = '/operator/v1'

app = cyclopts.App(help='Run a deployment through faults and check it.')
Action = Callable[[Trial, random.Random], Awaitable[None]]


async def kill_entry(trial: Trial, rng: random.Random) -> None:
    """Kill an entry process and restart it."""
    name = await _kill_entry(trial, rng)
    await anyio.sleep(SETTLE_S)
    await trial.deployment.start_entry(name)


async def lose_host(trial: Trial, rng: random.Random) -> None:
    """Kill an entry process and start one of that name on new addresses."""
    name = await _kill_entry(trial, rng)
    await anyio.sleep(SETTLE_S)
    await trial.deployment.start_entry(name, has_new_addresses=True)


async def freeze_entry(trial: Trial, rng: random.Random) -> None:
    """Freeze an entry process, replace the key in use, resume the process."""
    member = _choose_entry(trial, rng)
    others = [one for one in trial.deployment.entries.values() if one != member]
    began_at = now()
    member.send_signal(signal.SIGSTOP)
    try:
        await _replace_key(trial, others)
        await anyio.sleep(FREEZE_DURATION_S)
    finally:
        member.send_signal(signal.SIGCONT)
    trial.history.freezes.append(Freeze(member.address, began_at, now()))


async def withdraw_key(trial: Trial, rng: random.Random) -> None:
    """Withdraw the key that callers use and issue a new one."""
    await _replace_key(trial, trial.deployment.entries.values())


async def stop_log(trial: Trial, rng: random.Random) -> None:
    """Make the log service unavailable for `OUTAGE_DURATION_S`."""
    await _inject_for(trial, 'log', OUTAGE_DURATION_S, 'outage')


async def start_in_outage(trial: Trial, rng: random.Random) -> None:
    """Kill an entry process and restart it during an outage of the log."""
    await trial.deployment.set_fault('log', 'outage')
    try:
        name = await _kill_entry(trial, rng)
        await trial.deployment.start_entry(name)
    finally:
        await trial.deployment.clear_faults('log')


async def slow_log(trial: Trial, rng: random.Random) -> None:
    """Delay the answers of the log service by `LOG_DELAY_S`."""
    await _inject_for(
        trial, 'log', OUTAGE_DURATION_S, 'slow', seconds=LOG_DELAY_S
    )


async def lose_replies(trial: Trial, rng: random.Random) -> None:
    """Drop the replies to appends that the log service has stored."""
    await _inject_for(trial, 'log', OUTAGE_DURATION_S, 'lose_reply', count=5)


async def stop_host_list(trial: Trial, rng: random.Random) -> None:
    """Make the host list unavailable for `OUTAGE_DURATION_S`."""
    await _inject_for(trial, 'hosts', OUTAGE_DURATION_S, 'outage')


async def cut_links(trial: Trial, rng: random.Random) -> None:
    """Cut the links between an entry process and its peers for a time."""
    member = _choose_entry(trial, rng)
    others = [name for name in trial.deployment.entries if name != member.name]
    kind = rng.choice(('refuse', 'drop'))
    url = f'{member.url}/debug/links'
    await trial.deployment.client.ask('POST', url, body={kind: others})
    await anyio.sleep(LINK_CUT_DURATION_S)
    await trial.deployment.client.ask('POST', url, body={})


async def break_orders(trial: Trial, rng: random.Random) -> None:
    """Make a target run orders and close the connection unanswered."""
    name = rng.choice(('orders-1', 'orders-2'))
    await _inject_for(trial, name, OUTAGE_DURATION_S, 'cut_after_run', count=3)


async def cut_streams(trial: Trial, rng: random.Random) -> None:
    """Make an engine close connections in the middle of streams."""
    name = rng.choice(trial.deployment.shape.engines)
    await _inject_for(
        trial, name, OUTAGE_DURATION_S, 'cut_stream', after=2, count=3
    )


async def drain_target(trial: Trial, rng: random.Random) -> None:
    """Make a target report for a time that it is draining."""
    name = rng.choice(('stock-1', 'stock-2'))
    began_at = now()
    await _inject_for(trial, name, DRAIN_DURATION_S, 'draining')
    trial.history.leavings.append(TargetDrain(name, began_at, now()))


async def race_operators(trial: Trial, rng: random.Random) -> None:
    """Change one workspace as several operators, based on one revision."""
    urls = trial.deployment.entry_urls()
    shown = (
        await _call_operator_api(trial, urls[0], 'GET', '/catalogue')
    ).json()
    replaces = shown['revisions'][f'workspace/{RACED_WORKSPACE}']
    rates = [float(rng.randint(100, 10_000)) for _ in range(OPERATOR_COUNT)]
    accepted: list[float] = []

    async def change(url: str, rate: float) -> None:
        workspace = {'name': RACED_WORKSPACE, 'rate': rate, 'burst': 10_000}
        body = {
            'type': 'workspace_set',
            'workspace': workspace,
            'replaces': replaces,
        }
        answer = await _call_operator_api(trial, url, 'POST', '/changes', body)
        if answer.status == _STATUS_OK:
            accepted.append(rate)

    async with anyio.create_task_group() as group:
        for index, rate in enumerate(rates):
            group.start_soon(change, urls[index % len(urls)], rate)
    await anyio.sleep(CHANGE_PROPAGATION_S)
    final = [await _read_rate(trial, url) for url in urls]
    trial.history.races.append(Race(accepted, final))


HOST_ACTIONS: tuple[Action, ...] = (
    kill_entry,
    lose_host,
    freeze_entry,
    withdraw_key,
    stop_log,
    start_in_outage,
    slow_log,
    lose_replies,
    stop_host_list,
    cut_links,
    race_operators,
)
TARGET_ACTIONS: tuple[Action, ...] = (
    break_orders,
    cut_streams,
    drain_target,
)


async def run_faults(seed: int) -> History:
    """Run host faults and target faults concurrently under load."""
    rng = random.Random(seed)
    shape = Shape(entry_flags=('--allow-faults', '--deadline-s=10'))
    async with run_trial(seed, shape) as trial:
        async with anyio.create_task_group() as group:
            group.start_soon(_run_shuffled, trial, rng, TARGET_ACTIONS)
            await _run_shuffled(trial, rng, HOST_ACTIONS)
        # The history is completed when the context exits.
        return trial.history


async def _run_shuffled(
    trial: Trial,
    rng: random.Random,
    actions: Iterable[Action],
) -> None:
    chosen = list(actions)
    rng.shuffle(chosen)
    for action in chosen:
        began_at = now()
        await action(trial, rng)
        await anyio.sleep(SETTLE_S)
        trial.history.steps.append(Step(action.__name__, began_at, now()))


async def run_double_loss(seed: int) -> History:
    """Lose a host permanently while an expelled host returns."""
    async with run_trial(seed, Shape()) as trial:
        lost, frozen, _ = trial.deployment.entries.values()
        frozen.send_signal(signal.SIGSTOP)
        await anyio.sleep(FREEZE_DURATION_S)
        frozen.send_signal(signal.SIGCONT)
        lost.send_signal(signal.SIGKILL)
        await lost.process.wait()
        await trial.deployment.start_entry(lost.name, has_new_addresses=True)
        await anyio.sleep(RECOVERY_S)
        step = Step('recovered', now(), now() + SETTLE_S)
        await anyio.sleep(SETTLE_S)
        trial.history.steps.append(step)
        # The history is completed when the context exits.
        return trial.history


async def run_replacement(seed: int) -> History:
    """Replace all entry processes one by one with SIGTERM under load."""
    async with run_trial(seed, Shape()) as trial:
        for name in list(trial.deployment.entries):
            await _replace_entry(trial, name)
        await anyio.sleep(SETTLE_S)
        # The history is completed when the context exits.
        return trial.history


async def _replace_entry(trial: Trial, name: str) -> None:
    member = trial.deployment.entries[name]
    began_at = now()
    member.send_signal(signal.SIGTERM)
    exit_code = await wait(member, STOP_TIMEOUT_S)
    stop = PlannedStop(name, member.address, began_at, now(), exit_code)
    trial.history.stops.append(stop)
    await trial.deployment.start_entry(name)


def _choose_entry(trial: Trial, rng: random.Random) -> Member:
    return trial.deployment.entries[
        rng.choice(sorted(trial.deployment.entries))
    ]


async def _kill_entry(trial: Trial, rng: random.Random) -> str:
    member = _choose_entry(trial, rng)
    member.send_signal(signal.SIGKILL)
    await member.process.wait()
    return member.name


async def _inject_for(
    trial: Trial,
    name: str,
    duration_s: float,
    fault: str,
    **fields: Any,
) -> None:
    await trial.deployment.set_fault(name, fault, **fields)
    await anyio.sleep(duration_s)
    await trial.deployment.clear_faults(name)


async def _replace_key(trial: Trial, members: Iterable[Member]) -> None:
    withdrawn = trial.issued[-1]
    urls = [member.url for member in members]
    operator = Operator(lambda: urls, trial.deployment.secrets)
    await operator.withdraw_key(withdrawn.key_id)
    trial.history.withdrawals.append(Withdrawal(withdrawn.key_id, now()))
    await anyio.sleep(SETTLE_S)
    trial.use_key(await operator.issue_key(WORKSPACE))


async def _call_operator_api(
    trial: Trial,
    url: str,
    method: str,
    path: str,
    body: Any = None,
) -> Answer:
    token = trial.deployment.secrets['EBONYWELL_OPERATOR_TOKEN']
    return await trial.deployment.client.ask(
        method,
        f'{url}{_OPERATOR_PATH}{path}',
        bearer(token),
        body,
    )


async def _read_rate(trial: Trial, url: str) -> float:
    shown = (await _call_operator_api(trial, url, 'GET', '/catalogue')).json()
    rates: list[float] = [
        one['rate']
        for one in shown['workspaces']
        if one['name'] == RACED_WORKSPACE
    ]
    return rates[0]


def describe(history: History) -> str:
    """Return a summary of how many calls ended in each way."""
    ends = Counter(
        f'{seen.outcome} {seen.code} {seen.run_state}'.strip()
        for seen in history.observations
    )
    parts = [f'{count} {end}' for end, count in ends.most_common()]
    parts.append(f'{len(history.received)} received by targets')
    return ', '.join(parts)


@app.default
def main(*, seed: int = 1, replacement: bool = False) -> None:
    """Run the faults or a replacement of all entry processes, and check.

    Prints a line for each violation, and exits with 1 if there is any.

    Parameters
    ----------
    seed
        The random seed of the load and of the order of the faults.
    replacement
        Replace all entry processes instead of injecting faults.
    """
    if replacement:
        history = anyio.run(run_replacement, seed)
    else:
        history = anyio.run(run_faults, seed)
    violations = find_violations(history)
    for violation in violations:
        sys.stdout.write(f'{violation}\n')
    sys.stdout.write(f'{describe(history)}\n')
    sys.stdout.write(f'{len(violations)} faults\n')
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    app()
