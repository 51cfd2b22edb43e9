"""Runs the sample deployment until SIGTERM or SIGINT."""

import signal
import sys

import anyio
import msgspec

from .commands import CommandError
from .deployment import Deployment, entry_names
from .processes import ProcessError, error_messages
from .shape import SAMPLE_CATALOGUE

WORKSPACES = ('counter', 'stranger')
EXIT_FAILED = 1


class Overview(msgspec.Struct, frozen=True):
    """Content of the first line of standard output.

    Attributes
    ----------
    entries : list of str
        The ip:port of each entry process.
    pids : dict of str to int
        The process id of every process, by name.
    keys : dict of str to str
        The API key of each workspace.
    key_ids : dict of str to str
        The id of each key, by workspace. Operators use it to withdraw the
        key.
    targets : dict of str to str
        The ip:port of each target, by name.
    platform : dict of str to str
        The ip:port of each platform stand-in, by name.
    models : list of str
    services : list of str
    operator_token : str
        The token that operator commands need.
    """

    entries: list[str]
    pids: dict[str, int]
    keys: dict[str, str]
    key_ids: dict[str, str]
    targets: dict[str, str]
    platform: dict[str, str]
    models: list[str]
    services: list[str]
    operator_token: str


async def fill_sample(deployment: Deployment) -> Overview:
    """Apply the sample catalogue to a deployment and issue its keys."""
    await deployment.apply_catalogue()
    issued = {
        name: await deployment.operator.issue_key(name) for name in WORKSPACES
    }
    return Overview(
        entries=[member.address for member in deployment.entries.values()],
        pids={member.name: member.pid for member in deployment.members},
        keys={name: one.key for name, one in issued.items()},
        key_ids={name: one.key_id for name, one in issued.items()},
        targets={
            name: member.address for name, member in deployment.targets.items()
        },
        platform={
            name: member.address for name, member in deployment.platform.items()
        },
        models=entry_names(SAMPLE_CATALOGUE, 'model'),
        services=entry_names(SAMPLE_CATALOGUE, 'service'),
        operator_token=deployment.secrets['EBONYWELL_OPERATOR_TOKEN'],
    )


async def _run_deployment(scope: anyio.CancelScope) -> None:
    async with Deployment() as deployment:
        overview = await fill_sample(deployment)
        line = msgspec.json.encode(overview).decode()
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()
        await anyio.sleep_forever()
    scope.cancel()


async def _run() -> None:
    numbers = (signal.SIGTERM, signal.SIGINT)
    with anyio.open_signal_receiver(*numbers) as received:
        async with anyio.create_task_group() as group:
            group.start_soon(_run_deployment, group.cancel_scope)
            async for _ in received:
                group.cancel_scope.cancel()
                break


def main() -> int:
    """Run until a signal is received and return the exit code."""
    reasons: list[str] = []
    try:
        anyio.run(_run)
    except* (CommandError, ProcessError) as failed:
        reasons.extend(error_messages(failed))
    for reason in reasons:
        sys.stderr.write(f'up failed: {reason}\n')
    return EXIT_FAILED if reasons else 0


if __name__ == '__main__':
    sys.exit(main())
