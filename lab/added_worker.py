"""Sends calls to one address for some seconds and counts the answers."""

import os
import sys

import anyio
import cyclopts
import msgspec

from .client import Client, ClientError, bearer

KEY_VARIABLE = 'EBONYWELL_MEASURE_KEY'
MAX_SECONDS = 60.0
MAX_CALLERS = 64
_STATUS_OK = 200
_EVENT_PREFIX = b'data: '
_END_OF_EVENTS = b'data: [DONE]'

app = cyclopts.App(help='Send calls to one address and count the answers.')


class Counts(msgspec.Struct):
    """Results of the calls of one worker process.

    Attributes
    ----------
    answers : int
        Complete answers.
    chunks : int
        Events with content in complete streamed answers.
    failures : int
        Calls without a complete answer.
    seconds : float
    """

    answers: int = 0
    chunks: int = 0
    failures: int = 0
    seconds: float = 0


class WorkerTask(msgspec.Struct, frozen=True):
    """Calls that one worker process sends.

    Attributes
    ----------
    address : str
    model : str
    callers : int
        Callers in parallel; each sends a call as soon as its last one ended.
    seconds : float
    tokens : int
    streams : bool
    """

    address: str
    model: str
    callers: int = 8
    seconds: float = 5
    tokens: int = 1
    streams: bool = False


async def run_callers(task: WorkerTask, key: str) -> Counts:
    """Send calls until the time is over and return the counts."""
    counts = Counts()
    started_at = anyio.current_time()
    end_at = started_at + min(task.seconds, MAX_SECONDS)
    async with Client() as client, anyio.create_task_group() as group:
        for number in range(min(task.callers, MAX_CALLERS)):
            body = encode_chat(task.model, f'caller {number}', task)
            group.start_soon(
                _call_until, client, task, key, body, end_at, counts
            )
    counts.seconds = anyio.current_time() - started_at
    return counts


def encode_chat(model: str, prompt: str, task: WorkerTask) -> bytes:
    """Return the encoded body of a chat request."""
    return msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': task.tokens,
            'stream': task.streams,
        },
    )


async def _call_until(
    client: Client,
    task: WorkerTask,
    key: str,
    body: bytes,
    end_at: float,
    counts: Counts,
) -> None:
    url = f'http://{task.address}/v1/chat/completions'
    headers = bearer(key) if key else {}
    while anyio.current_time() < end_at:
        try:
            answer = await client.ask('POST', url, headers, body)
        except ClientError:
            counts.failures += 1
            continue
        is_whole = not task.streams or _END_OF_EVENTS in answer.body
        if answer.status == _STATUS_OK and is_whole:
            counts.answers += 1
            counts.chunks += max(0, answer.body.count(_EVENT_PREFIX) - 1)
        else:
            counts.failures += 1


@app.default
def main(asked: str) -> None:
    """Run a task and print its counts as JSON.

    Parameters
    ----------
    asked
        The `WorkerTask`, as JSON.
    """
    task = msgspec.json.decode(asked, type=WorkerTask)
    counts = anyio.run(run_callers, task, os.environ.get(KEY_VARIABLE, ''))
    line = msgspec.json.encode(counts).decode()
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    app()
