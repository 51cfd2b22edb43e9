"""Starts, signals and stops the separate processes of a deployment."""

import os
import signal
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from subprocess import DEVNULL, PIPE

import anyio
import msgspec
from anyio.abc import Process
from anyio.streams.buffered import BufferedByteReceiveStream

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
KILL_TIMEOUT_S = 5.0
_MAX_LINE_BYTES = 4096


class ProcessError(Exception):
    """A process of the deployment did not do what was asked of it."""


@dataclass(slots=True)
class Member:
    """One process of a deployment.

    Attributes
    ----------
    name : str
    process : Process
    address : str
        The ip:port that it listens on.
    log_path : Path
        What it wrote to its standard error.
    """

    name: str
    process: Process
    address: str
    log_path: Path

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def url(self) -> str:
        """The URL of its root, without a slash at its end."""
        return f'http://{self.address}'

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running():
            self.process.send_signal(number)

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text(errors='replace')


class _Listening(msgspec.Struct):
    address: str


async def start(
    name: str,
    arguments: Sequence[str],
    logs: Path,
    environment: Mapping[str, str],
    address: str = '',
) -> Member:
    """Start a module of Python as a process of its own.

    Parameters
    ----------
    name : str
    arguments : sequence of str
        The module and its arguments.
    logs : Path
        The directory for its log.
    environment : mapping of str to str
        Added to this process's environment.
    address : str
        Where it will listen. If it is empty, the process must print a line of
        JSON that says so.

    Raises
    ------
    ProcessError
        If the process did not say where it listens.
    """
    log_path = logs / f'{name}.log'
    with log_path.open('ab') as log:
        process = await anyio.open_process(
            [sys.executable, '-m', *arguments],
            stdin=DEVNULL,
            stdout=DEVNULL if address else PIPE,
            stderr=log,
            env={**os.environ, **environment},
            # A terminal's interrupt must reach the deployment only, which
            # then stops its processes in order.
            start_new_session=True,
        )
    member = Member(name, process, address, log_path)
    if not address:
        try:
            member.address = await _read_address(process)
        except ProcessError as error:
            await stop([member])
            reason = f'{name}: {error}: {member.read_log()[-500:]}'
            raise ProcessError(reason) from error
        except BaseException:
            await stop([member])
            raise
    return member


async def _read_address(process: Process) -> str:
    if process.stdout is None:
        raise ProcessError('no standard output')
    lines = BufferedByteReceiveStream(process.stdout)
    try:
        with anyio.fail_after(START_TIMEOUT_S):
            line = await lines.receive_until(b'\n', _MAX_LINE_BYTES)
    except (anyio.IncompleteRead, anyio.EndOfStream) as ended:
        raise ProcessError('ended at its start') from ended
    except TimeoutError as late:
        raise ProcessError('did not start in time') from late
    return msgspec.json.decode(line, type=_Listening).address


async def stop(
    members: Sequence[Member],
    timeout_s: float = STOP_TIMEOUT_S,
) -> None:
    """Stop processes side by side: ask first, then kill what still runs."""
    with anyio.CancelScope(shield=True):
        for member in members:
            member.send_signal(signal.SIGCONT)
            member.send_signal(signal.SIGTERM)
        async with anyio.create_task_group() as group:
            for waited in members:
                group.start_soon(_wait_or_kill, waited, timeout_s)


async def wait(member: Member, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Wait for a process to end and return its exit code.

    Raises
    ------
    ProcessError
        If it still runs after the time.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await member.process.wait()
    except TimeoutError as late:
        raise ProcessError(f'{member.name} still runs') from late


async def _wait_or_kill(member: Member, timeout_s: float) -> None:
    with anyio.move_on_after(timeout_s):
        await member.process.wait()
    member.send_signal(signal.SIGKILL)
    await member.process.wait()
    await member.process.aclose()


def error_messages(group: BaseExceptionGroup[Exception]) -> list[str]:
    """Return what the errors of a group and its groups say."""
    reasons: list[str] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            reasons.extend(error_messages(error))
        else:
            reasons.append(str(error))
    return reasons
