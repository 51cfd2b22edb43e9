"""Starts, signals and stops the processes of a deployment."""

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
    """A process of the deployment did not start, respond or stop in time."""


@dataclass(slots=True)
class Member:
    """One process of a deployment.

    Attributes
    ----------
    name : str
    process : Process
    address : str
        The ip:port that the process listens on.
    log_path : Path
        The file that receives the standard error of the process.
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
        """The base URL of the process, without a trailing slash."""
        return f'http://{self.address}'

    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running():
            self.process.send_signal(number)

    def read_log(self) -> str:
        """Return the text that the process has logged."""
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
    """Start a Python module as a separate process.

    Parameters
    ----------
    name : str
    arguments : sequence of str
        The module name and its arguments.
    logs : Path
        The directory for the log of the process.
    environment : mapping of str to str
        Variables to add to the environment of the current process.
    address : str
        The ip:port that the process will listen on. If empty, the process
        must print a line of JSON that holds its address.

    Raises
    ------
    ProcessError
        If the process did not print its address.
    """
    log_path = logs / f'{name}.log'
    with log_path.open('ab') as log:
        process = await anyio.open_process(
            [sys.executable, '-m', *arguments],
            stdin=DEVNULL,
            stdout=DEVNULL if address else PIPE,
            stderr=log,
            env={**os.environ, **environment},
            # Keeps the interrupt of a terminal from the process: only the
            # deployment receives it and stops its processes in order.
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
        raise ProcessError('process has no standard output')
    lines = BufferedByteReceiveStream(process.stdout)
    try:
        with anyio.fail_after(START_TIMEOUT_S):
            line = await lines.receive_until(b'\n', _MAX_LINE_BYTES)
    except (anyio.IncompleteRead, anyio.EndOfStream) as error:
        raise ProcessError('exited before it printed its address') from error
    except TimeoutError as error:
        raise ProcessError('did not print its address in time') from error
    return msgspec.json.decode(line, type=_Listening).address


async def stop(
    members: Sequence[Member],
    timeout_s: float = STOP_TIMEOUT_S,
) -> None:
    """Stop processes concurrently, and kill those that exceed the time-out."""
    with anyio.CancelScope(shield=True):
        for member in members:
            member.send_signal(signal.SIGCONT)
            member.send_signal(signal.SIGTERM)
        async with anyio.create_task_group() as group:
            for stopping in members:
                group.start_soon(_wait_or_kill, stopping, timeout_s)


async def wait(member: Member, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Wait until a process exits and return its exit code.

    Raises
    ------
    ProcessError
        If the process still runs after the time-out.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await member.process.wait()
    except TimeoutError as error:
        raise ProcessError(f'{member.name} did not exit in time') from error


async def _wait_or_kill(member: Member, timeout_s: float) -> None:
    with anyio.move_on_after(timeout_s):
        await member.process.wait()
    member.send_signal(signal.SIGKILL)
    await member.process.wait()
    await member.process.aclose()


def error_messages(group: BaseExceptionGroup[Exception]) -> list[str]:
    """Return the messages of all errors in a group and its subgroups."""
    reasons: list[str] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            reasons.extend(error_messages(error))
        else:
            reasons.append(str(error))
    return reasons
