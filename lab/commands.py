"""Runs operators' commands as processes of their own."""

import os
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec


class CommandError(Exception):
    """An operator's command failed."""


@dataclass(slots=True)
class IssuedKey:
    """A key with the id by which operators withdraw it."""

    key: str
    key_id: str


@dataclass(slots=True)
class CommandResult:
    """How a command ended.

    Attributes
    ----------
    exit_code : int
    output : str
    errors : str
    """

    exit_code: int
    output: str
    errors: str


@dataclass(slots=True)
class Operator:
    """An operator of a deployment.

    Attributes
    ----------
    urls : callable
        Returns the URLs of the entry processes to ask.
    environment : mapping of str to str
        Added to this process's environment.
    """

    urls: Callable[[], list[str]]
    environment: Mapping[str, str]

    async def run(self, *arguments: str) -> CommandResult:
        """Run a command to its end."""
        flags = [f'--operator-url={url}' for url in self.urls()]
        done = await anyio.run_process(
            [sys.executable, '-m', 'ebonywell', *arguments, *flags],
            env={**os.environ, **self.environment},
            check=False,
        )
        return CommandResult(
            done.returncode,
            done.stdout.decode(),
            done.stderr.decode(),
        )

    async def run_json(self, *arguments: str) -> Any:
        """Run a command and return its JSON output.

        Raises
        ------
        CommandError
            If the command fails.
        """
        ended = await self.run(*arguments, '--output=json')
        if ended.exit_code:
            reason = f'{ended.errors}{ended.output}'.strip()
            command = ' '.join(arguments)
            raise CommandError(f'{command}: exit {ended.exit_code}: {reason}')
        return msgspec.json.decode(ended.output) if ended.output else None

    async def issue_key(self, workspace: str) -> IssuedKey:
        """Issue a key for a workspace."""
        made = await self.run_json('key', 'issue', f'--workspace={workspace}')
        return IssuedKey(made['key'], made['key_id'])

    async def withdraw_key(self, key_id: str) -> None:
        """Withdraw a key."""
        await self.run_json('key', 'withdraw', key_id)
