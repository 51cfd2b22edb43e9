"""Runs operator commands as separate processes."""

import os
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec


class CommandError(Exception):
    """An operator command failed."""


@dataclass(slots=True)
class IssuedKey:
    """An issued API key and the id that operators use to withdraw it."""

    key: str
    key_id: str


@dataclass(slots=True)
class CommandResult:
    """Result of an operator command.

    Attributes
    ----------
    exit_code : int
    output : str
        The standard output.
    errors : str
        The standard error.
    """

    exit_code: int
    output: str
    errors: str


@dataclass(slots=True)
class Operator:
    """Runs the commands of an operator against a deployment.

    Attributes
    ----------
    urls : callable
        Returns the URLs of the entry processes that receive the commands.
    environment : mapping of str to str
        Variables to add to the environment of the current process.
    """

    urls: Callable[[], list[str]]
    environment: Mapping[str, str]

    async def run(self, *arguments: str) -> CommandResult:
        """Run a command until it exits."""
        flags = [f'--operator-url={url}' for url in self.urls()]
        completed = await anyio.run_process(
            [sys.executable, '-m', 'ebonywell', *arguments, *flags],
            env={**os.environ, **self.environment},
            check=False,
        )
        return CommandResult(
            completed.returncode,
            completed.stdout.decode(),
            completed.stderr.decode(),
        )

    async def run_json(self, *arguments: str) -> Any:
        """Run a command and return its parsed JSON output.

        Raises
        ------
        CommandError
            If the command fails.
        """
        result = await self.run(*arguments, '--output=json')
        if result.exit_code:
            reason = f'{result.errors}{result.output}'.strip()
            command = ' '.join(arguments)
            raise CommandError(
                f'{command}: exit code {result.exit_code}: {reason}'
            )
        return msgspec.json.decode(result.output) if result.output else None

    async def issue_key(self, workspace: str) -> IssuedKey:
        """Issue a key for a workspace."""
        issued = await self.run_json('key', 'issue', f'--workspace={workspace}')
        return IssuedKey(issued['key'], issued['key_id'])

    async def withdraw_key(self, key_id: str) -> None:
        """Withdraw a key."""
        await self.run_json('key', 'withdraw', key_id)
