"""Takes a deployment through faults under load and checks its history."""

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

# Longer than a lease and than the time after which a host counts as stale.
FREEZE_DURATION_S = 6.0
OUTAGE_DURATION_S = 3.0
LINK_CUT_DURATION_S = 3.0
DRAIN_DURATION_S = 6.0
SETTLE_S = 1.0
# What a host that was lost may take to be left out of the limits.
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
    """Kill an entry process and start it again."""
    name = await _kill_entry(trial, rng)
    await anyio.sleep(SETTLE_S)
    await trial.deployment.start_entry(name)


async def lose_host(trial: Trial, rng: random.Random) -> None:
    """Kill an entry process and start it on another host of that name."""
    name = await _kill_entry(trial, rng)
    await anyio.sleep(SETTLE_S)
    await trial.deployment.start_entry(name, has_new_addresses=True)


async def freeze_entry(trial: Trial, rng: random.Random) -> None:
    """Freeze an entry process, withdraw the key in use, let it go on."""
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
    """Withdraw the key that callers use; they go on with another."""
    await _replace_key(trial, trial.deployment.entries.values())


async def stop_log(trial: Trial, rng: random.Random) -> None:
    """Let the log service be down for a while."""
    await _inject_for(trial, 'log', OUTAGE_DURATION_S, 'outage')


async def start_in_outage(trial: Trial, rng: random.Random) -> None:
    """Kill an entry process and start it again while the log is down."""
    await trial.deployment.set_fault('log', 'outage')
    try:
        name = await _kill_entry(trial, rng)
        await trial.deployment.start_entry(name)
    finally:
        await trial.deployment.clear_faults('log')


async def slow_log(trial: Trial, rng: random.Random) -> None:
    """Let the log service be slow for a while."""
    await _inject_for(
        trial, 'log', OUTAGE_DURATION_S, 'slow', seconds=LOG_DELAY_S
    )


async def lose_replies(trial: Trial, rng: random.Random) -> None:
    """Let appends take effect without an answer."""
    await _inject_for(trial, 'log', OUTAGE_DURATION_S, 'lose_reply', count=5)


async def stop_host_list(trial: Trial, rng: random.Random) -> None:
    """Let the host list be down for a while."""
    await _inject_for(trial, 'hosts', OUTAGE_DURATION_S, 'outage')


async def cut_links(trial: Trial, rng: random.Random) -> None:
    """Cut an entry process off from its peers for a while."""
    member = _choose_entry(trial, rng)
    others = [name for name in trial.deployment.entries if name != member.name]
    kind = rng.choice(('refuse', 'drop'))
    url = f'{member.url}/debug/links'
    await trial.deployment.client.ask('POST', url, body={kind: others})
    await anyio.sleep(LINK_CUT_DURATION_S)
    await trial.deployment.client.ask('POST', url, body={})


async def break_orders(trial: Trial, rng: random.Random) -> None:
    """Let a target run orders and break off before it answers."""
    name = rng.choice(('orders-1', 'orders-2'))
    await _inject_for(trial, name, OUTAGE_DURATION_S, 'cut_after_run', count=3)


async def cut_streams(trial: Trial, rng: random.Random) -> None:
    """Let an engine break off in the middle of streams."""
    name = rng.choice(trial.deployment.shape.engines)
    await _inject_for(
        trial, name, OUTAGE_DURATION_S, 'cut_stream', after=2, count=3
    )


async def drain_target(trial: Trial, rng: random.Random) -> None:
    """Let a target say that it leaves."""
    name = rng.choice(('stock-1', 'stock-2'))
    began_at = now()
    await _inject_for(trial, name, DRAIN_DURATION_S, 'draining')
    trial.history.leavings.append(TargetDrain(name, began_at, now()))


async def race_operators(trial: Trial, rng: random.Random) -> None:
    """Let operators change the same workspace for the same revision."""
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
    """Run all faults under load: those of hosts beside those of targets."""
    chance = random.Random(seed)
    shape = Shape(entry_flags=('--allow-faults', '--deadline-s=10'))
    async with run_trial(seed, shape) as trial:
        async with anyio.create_task_group() as group:
            group.start_soon(_run_shuffled, trial, chance, TARGET_ACTIONS)
            await _run_shuffled(trial, chance, HOST_ACTIONS)
        # It is completed on leaving the context.
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
    """Lose a host for good just as an expelled one comes back."""
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
        # It is completed on leaving the context.
        return trial.history


async def run_replacement(seed: int) -> History:
    """Replace all entry processes one after another by SIGTERM under load."""
    async with run_trial(seed, Shape()) as trial:
        for name in list(trial.deployment.entries):
            await _replace_entry(trial, name)
        await anyio.sleep(SETTLE_S)
        # It is completed on leaving the context.
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
    """Return how many calls ended in which way."""
    ends = Counter(
        f'{seen.outcome} {seen.code} {seen.run_state}'.strip()
        for seen in history.observations
    )
    parts = [f'{count} {end}' for end, count in ends.most_common()]
    parts.append(f'{len(history.received)} received by targets')
    return ', '.join(parts)


@app.default
def main(*, seed: int = 1, replacement: bool = False) -> None:
    """Run the faults, or a replacement of all entry processes, and check.

    Exits with 1 if something does not hold, after a line for each such thing.

    Parameters
    ----------
    seed
        Of the load, and of the order of the faults.
    replacement
        Replace all entry processes instead.
    """
    if replacement:
        history = anyio.run(run_replacement, seed)
    else:
        history = anyio.run(run_faults, seed)
    faults = find_violations(history)
    for fault in faults:
        sys.stdout.write(f'{fault}\n')
    sys.stdout.write(f'{describe(history)}\n')
    sys.stdout.write(f'{len(faults)} faults\n')
    sys.exit(1 if faults else 0)


if __name__ == '__main__':
    app()
