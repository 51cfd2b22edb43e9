"""Runs a bounded load on a running deployment and summarizes the results."""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import cyclopts
import msgspec
from anyio.abc import TaskGroup
from hdrh.histogram import HdrHistogram

from .arrivals import Arrival, CallKind, Mix, plan_arrivals
from .callers import CallSpec, Observation, Outcome, call
from .client import Client
from .commands import IssuedKey
from .up import Overview

MAX_IN_FLIGHT = 512
MAX_LENGTH_S = 300.0
MAX_RATE_PER_S = 500.0
RESEND_INTERVAL_S = 0.5
_MAX_DURATION_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_MEDIAN = 50
_NINETY_FIFTH = 95
_NINETY_NINTH = 99
_MICROSECOND_S = 1e-6
_MILLISECOND_S = 1e-3

SAMPLE_WEIGHTS = (
    (CallKind.stream, 4.0),
    (CallKind.whole, 2.0),
    (CallKind.batch, 1.0),
    (CallKind.stock, 4.0),
    (CallKind.order, 1.0),
)

app = cyclopts.App(help='Run a bounded load on what `make up` has started.')


class Row(msgspec.Struct, frozen=True):
    """Results of one kind of call for one workspace.

    Attributes
    ----------
    workspace : str
    kind : CallKind
    calls : int
    answered : int
        Calls that got a complete answer of their own.
    refused : int
    broken : int
        Streams that were cut off and calls that got no answer.
    first_byte_p50_ms, first_byte_p95_ms : float
        Time to the first byte of the answered calls.
    whole_p50_ms, whole_p99_ms : float
        Time to the complete answer of the answered calls.
    codes : dict of str to int
        The number of calls with each error code.
    """

    workspace: str
    kind: CallKind
    calls: int
    answered: int
    refused: int
    broken: int
    first_byte_p50_ms: float
    first_byte_p95_ms: float
    whole_p50_ms: float
    whole_p99_ms: float
    codes: dict[str, int]


@dataclass(slots=True)
class Load:
    """Runs the calls of a load.

    Attributes
    ----------
    client : Client
    keys : dict of str to IssuedKey
        The key of each workspace. The keys may change while the load runs.
    addresses : sequence of str
        The ip:port of each entry process. The list may change while the load
        runs.
    observations : list of Observation
        The results of the calls, in the order in which the calls ended.
    name : str
        Prefix of every marker, so that markers differ between loads.
    resends : int
        The maximum number of times that an unanswered order is sent again,
        each time to the next address.
    skipped : int
        The number of calls skipped because too many were in flight.
    in_flight : int
    """

    client: Client
    keys: dict[str, IssuedKey]
    addresses: Sequence[str]
    observations: list[Observation]
    name: str = 'load'
    resends: int = 0
    skipped: int = 0
    in_flight: int = 0

    async def run(
        self,
        arrivals: Iterable[Arrival],
        scope: anyio.CancelScope | None = None,
    ) -> None:
        """Start every call at its scheduled time and wait until all end.

        Parameters
        ----------
        arrivals : iterable of Arrival
        scope : CancelScope or None
            The scope to cancel in order to start no more calls.
        """
        started_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            with scope or anyio.CancelScope():
                for arrival in arrivals:
                    await anyio.sleep_until(started_at + arrival.start_s)
                    self._start_call(group, arrival)

    def _start_call(self, group: TaskGroup, arrival: Arrival) -> None:
        if self.in_flight < MAX_IN_FLIGHT:
            self.in_flight += 1
            group.start_soon(self._call, arrival)
        else:
            self.skipped += 1

    async def _call(self, arrival: Arrival) -> None:
        try:
            for attempt in range(1 + self.resends):
                observation = await call(
                    self.client, self._call_spec(arrival, attempt)
                )
                self.observations.append(observation)
                if not _needs_resend(observation):
                    break
                await anyio.sleep(RESEND_INTERVAL_S)
        finally:
            self.in_flight -= 1

    def _call_spec(self, arrival: Arrival, attempt: int) -> CallSpec:
        key = self.keys[arrival.workspace]
        index = (arrival.address_index + attempt) % len(self.addresses)
        return CallSpec(
            arrival.kind,
            self.addresses[index],
            arrival.workspace,
            key.key,
            f'{self.name}-{arrival.number}-',
            key.key_id,
        )


def summarize(observations: Iterable[Observation]) -> list[Row]:
    """Return one row for each workspace and kind of call."""
    groups: dict[tuple[str, CallKind], list[Observation]] = {}
    for observation in observations:
        groups.setdefault((observation.workspace, observation.kind), []).append(
            observation
        )
    return [_summary_row(groups[name]) for name in sorted(groups)]


def histogram(durations_s: Iterable[float]) -> HdrHistogram:
    """Return a histogram of durations in microseconds."""
    counts = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
    for duration_s in durations_s:
        counts.record_value(max(1, round(duration_s / _MICROSECOND_S)))
    return counts


def percentile_ms(counts: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a microsecond histogram, in milliseconds."""
    value_us: float = counts.get_value_at_percentile(percentile)
    return value_us * _MICROSECOND_S / _MILLISECOND_S


def _needs_resend(observation: Observation) -> bool:
    is_answered = observation.outcome == Outcome.answered
    return observation.kind == CallKind.order and not is_answered


def _summary_row(observations: Sequence[Observation]) -> Row:
    answered = [
        one
        for one in observations
        if one.outcome == Outcome.answered and one.is_own
    ]
    refused = [one for one in observations if one.outcome == Outcome.refused]
    first = histogram(one.first_byte_at - one.started_at for one in answered)
    whole = histogram(one.ended_at - one.started_at for one in answered)
    codes: dict[str, int] = {}
    for one in observations:
        if one.code:
            codes[one.code] = codes.get(one.code, 0) + 1
    return Row(
        workspace=observations[0].workspace,
        kind=observations[0].kind,
        calls=len(observations),
        answered=len(answered),
        refused=len(refused),
        broken=len(observations) - len(answered) - len(refused),
        first_byte_p50_ms=percentile_ms(first, _MEDIAN),
        first_byte_p95_ms=percentile_ms(first, _NINETY_FIFTH),
        whole_p50_ms=percentile_ms(whole, _MEDIAN),
        whole_p99_ms=percentile_ms(whole, _NINETY_NINTH),
        codes=codes,
    )


@app.default
def main(
    overview: Path,
    *,
    seconds: float = 10,
    rate: float = 20,
    skew: float = 0,
    seed: int = 1,
    output: Path | None = None,
) -> None:
    """Run a load and output its result rows as JSON.

    Parameters
    ----------
    overview
        A file that holds the first line of the output of `make up`.
    seconds
        The length of the load in seconds, at most 300.
    rate
        Calls per second of workspace counter, at most 500.
    skew
        The exponent of Zipf's law by which callers prefer the first address.
    seed
        The random seed of the arrivals.
    output
        The file to write the rows to; standard output by default.
    """
    overview_line = msgspec.json.decode(
        overview.read_bytes().splitlines()[0],
        type=Overview,
    )
    mix = Mix('counter', min(rate, MAX_RATE_PER_S), SAMPLE_WEIGHTS)
    arrivals = plan_arrivals(
        seed,
        [mix],
        min(seconds, MAX_LENGTH_S),
        len(overview_line.entries),
        skew,
    )
    rows = anyio.run(_run, overview_line, arrivals, f'load-{seed}')
    text = msgspec.json.format(msgspec.json.encode(rows)).decode()
    if output is None:
        sys.stdout.write(f'{text}\n')
    else:
        output.write_text(f'{text}\n')


async def _run(
    overview_line: Overview,
    arrivals: list[Arrival],
    name: str,
) -> list[Row]:
    keys = {
        workspace: IssuedKey(key, overview_line.key_ids[workspace])
        for workspace, key in overview_line.keys.items()
    }
    async with Client() as client:
        load = Load(client, keys, overview_line.entries, [], name)
        await load.run(arrivals)
    return summarize(load.observations)


if __name__ == '__main__':
    app()
