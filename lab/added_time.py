"""Measures the latency that one entry process adds, and its throughput."""

import os
import sys
import tempfile
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import cyclopts
import msgspec

from .added_worker import KEY_VARIABLE, Counts, WorkerTask, encode_chat
from .client import Client, bearer
from .deployment import Deployment
from .load import histogram, percentile_ms
from .shape import ENGINE_MEMORY_BYTES, Shape

MAX_PAIRS = 20_000
MODELS = ('quote-1', 'quote-2', 'quote-3')
ENGINES = ('engine-1', 'engine-2', 'engine-3')
STREAM_TOKENS = 100
# The number of requests that an engine runs at once.
CALLERS_PER_WORKER = 16
CHUNK_INTERVAL_S = 0.005
WARM_UP_PAIRS = 50
_STATUS_OK = 200
_MEDIAN = 50
_NINETY_NINTH = 99
_STAT_USER_FIELD, _STAT_SYSTEM_FIELD = 11, 12
# A model takes most of the memory of an engine, so each loads only one.
_MODEL_BYTES = ENGINE_MEMORY_BYTES * 2 // 3
_UNLIMITED_TOKENS = 1_000_000_000

app = cyclopts.App(help='Measure what one entry process costs.')


class MeasureError(Exception):
    """A measured call failed, or its engine was not found."""


class Latency(msgspec.Struct, frozen=True):
    """Latency percentiles of one kind of call, in milliseconds."""

    p50_ms: float
    p99_ms: float


class AddedTime(msgspec.Struct, frozen=True):
    """Latency of calls to an engine, directly and through the entry process.

    Attributes
    ----------
    pairs : int
        Pairs of one direct call and one through the entry process.
    direct, through : Latency
        Answers of one token that are not streamed, one call at a time.
    added : Latency
        Differences within the pairs; those below 0 count as 1 us.
    """

    pairs: int
    direct: Latency
    through: Latency
    added: Latency


class Throughput(msgspec.Struct, frozen=True):
    """Throughput of an entry process under constant load.

    Attributes
    ----------
    answers_per_s, chunks_per_s : float
    failures : int
    entry_cores : float
        CPU seconds that the entry process uses per second. A value close to
        1 means that the entry process limited the rate.
    """

    answers_per_s: float
    chunks_per_s: float
    failures: int
    entry_cores: float


class Measured(msgspec.Struct, frozen=True):
    """All results of a run.

    Attributes
    ----------
    added_time : AddedTime
    whole, streamed, paced : Throughput
        Through one entry process: answers of one token; streams whose chunks
        arrive without a pause and are forwarded several at a time; and
        streams whose chunks arrive one by one.
    pace_s : float
        Time between two chunks of a paced stream.
    stream_tokens : int
    workers, callers : int
        Processes that send calls, and callers in each of them.
    cpus : int
    load_before : float
        One-minute load average of the machine before the run.
    """

    added_time: AddedTime
    whole: Throughput
    streamed: Throughput
    paced: Throughput
    pace_s: float
    stream_tokens: int
    workers: int
    callers: int
    cpus: int
    load_before: float


@dataclass(slots=True)
class Bench:
    """A deployment of one entry process, set up for the measurements.

    Attributes
    ----------
    deployment : Deployment
    key : str
        Key of the workspace that calls.
    """

    deployment: Deployment
    key: str

    async def measure_added_time(self, pairs: int) -> AddedTime:
        """Call an engine directly and through the entry process alternately."""
        direct_s: list[float] = []
        through_s: list[float] = []
        direct = await self._find_engine(MODELS[0])
        through = self.deployment.entries['entry-1'].address
        # Targets never see a key, so direct calls carry none.
        with_key = bearer(self.key)
        async with Client() as client:
            for _ in range(min(pairs, MAX_PAIRS) + WARM_UP_PAIRS):
                direct_s.append(await _time_request(client, direct, {}))
                through_s.append(await _time_request(client, through, with_key))
        direct_s = direct_s[WARM_UP_PAIRS:]
        through_s = through_s[WARM_UP_PAIRS:]
        added_s = [
            through_time_s - direct_time_s
            for direct_time_s, through_time_s in zip(
                direct_s, through_s, strict=True
            )
        ]
        return AddedTime(
            pairs=len(added_s),
            direct=_latency(direct_s),
            through=_latency(through_s),
            added=_latency(added_s),
        )

    async def measure_throughput(
        self,
        seconds: float,
        tokens: int,
        *,
        streams: bool,
    ) -> Throughput:
        """Load the entry process from one worker process for each model."""
        entry = self.deployment.entries['entry-1']
        counts: list[Counts] = []

        async def run_worker(model: str) -> None:
            task = WorkerTask(
                entry.address,
                model,
                CALLERS_PER_WORKER,
                seconds,
                tokens,
                streams,
            )
            counts.append(await _run_worker(task, self.key))

        before_s = _processor_seconds(entry.pid)
        async with anyio.create_task_group() as group:
            for model in MODELS:
                group.start_soon(run_worker, model)
        took_s = _processor_seconds(entry.pid) - before_s
        # The entry process is idle while workers start, which takes some time.
        busy_s = max(count.seconds for count in counts)
        return Throughput(
            answers_per_s=sum(
                count.answers / count.seconds for count in counts
            ),
            chunks_per_s=sum(count.chunks / count.seconds for count in counts),
            failures=sum(count.failures for count in counts),
            entry_cores=took_s / busy_s,
        )

    async def measure_paced(self, seconds: float) -> Throughput:
        """Load the entry process with streams that arrive chunk by chunk."""
        for name in ENGINES:
            await self.deployment.set_fault(
                name, 'slow', seconds=CHUNK_INTERVAL_S
            )
        return await self.measure_throughput(
            seconds,
            STREAM_TOKENS,
            streams=True,
        )

    async def _find_engine(self, model: str) -> str:
        for name in ENGINES:
            engine = self.deployment.targets[name]
            url = f'{engine.url}/report'
            report = (await self.deployment.client.ask('GET', url)).json()
            if any(resident['model'] == model for resident in report['models']):
                return engine.address
        raise MeasureError(f'no engine has {model} loaded')


def catalogue_text(models: Sequence[str]) -> str:
    """Return a catalogue with one workspace that may call all models."""
    parts = [
        f'[[workspace]]\nname = "bench"\nrate = {_UNLIMITED_TOKENS}\n'
        f'burst = {_UNLIMITED_TOKENS}\n',
    ]
    for model in models:
        parts.append(
            f'[[entry]]\nname = "{model}"\nkind = "model"\n'
            f'bytes = {_MODEL_BYTES}\nmax_output_tokens = 1024\n',
        )
        parts.append(
            f'[[approval]]\nworkspace = "bench"\nentry = "{model}"\n',
        )
    return '\n'.join(parts)


async def measure(pairs: int, seconds: float) -> Measured:
    """Start a deployment, run all measurements and stop it."""
    load_before = os.getloadavg()[0]
    shape = Shape(
        entries=1,
        engines=ENGINES,
        services=(),
        token_ms=0,
    )
    async with Deployment(shape) as deployment:
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as catalogue:
            catalogue.write(catalogue_text(MODELS))
            catalogue.flush()
            await deployment.apply_catalogue(Path(catalogue.name))
        issued = await deployment.operator.issue_key('bench')
        bench = Bench(deployment, issued.key)
        return Measured(
            added_time=await bench.measure_added_time(pairs),
            whole=await bench.measure_throughput(seconds, 1, streams=False),
            streamed=await bench.measure_throughput(
                seconds,
                STREAM_TOKENS,
                streams=True,
            ),
            paced=await bench.measure_paced(seconds),
            pace_s=CHUNK_INTERVAL_S,
            stream_tokens=STREAM_TOKENS,
            workers=len(MODELS),
            callers=CALLERS_PER_WORKER,
            cpus=os.cpu_count() or 0,
            load_before=load_before,
        )


async def _time_request(
    client: Client,
    address: str,
    headers: Mapping[str, str],
) -> float:
    body = encode_chat(MODELS[0], 'one token', WorkerTask(address, MODELS[0]))
    url = f'http://{address}/v1/chat/completions'
    started_at = anyio.current_time()
    answer = await client.ask('POST', url, headers, body)
    took_s = anyio.current_time() - started_at
    if answer.status != _STATUS_OK:
        raise MeasureError(f'{address}: {answer.body!r}')
    return took_s


def _latency(durations_s: Sequence[float]) -> Latency:
    latencies = histogram(durations_s)
    return Latency(
        percentile_ms(latencies, _MEDIAN),
        percentile_ms(latencies, _NINETY_NINTH),
    )


async def _run_worker(task: WorkerTask, key: str) -> Counts:
    line = msgspec.json.encode(task).decode()
    completed = await anyio.run_process(
        [sys.executable, '-m', 'lab.added_worker', line],
        env={**os.environ, KEY_VARIABLE: key},
    )
    return msgspec.json.decode(completed.stdout, type=Counts)


def _processor_seconds(pid: int) -> float:
    # Split after the command's name, which may contain spaces.
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(stat[_STAT_USER_FIELD]) + int(stat[_STAT_SYSTEM_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


@app.default
def main(
    *,
    pairs: int = 2000,
    seconds: float = 8,
    output: Path | None = None,
) -> None:
    """Run the measurements and print the results as JSON.

    Parameters
    ----------
    pairs
        Pairs of calls to measure the added time, at most 20000.
    seconds
        Duration of each throughput measurement, at most 60.
    output
        File to which the results are written too.
    """
    measured = anyio.run(measure, pairs, seconds)
    text = msgspec.json.format(msgspec.json.encode(measured)).decode()
    sys.stdout.write(f'{text}\n')
    if output is not None:
        output.write_text(f'{text}\n')


if __name__ == '__main__':
    app()
