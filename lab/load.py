"""A bounded load on a running deployment, and what it measured."""

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
    """What one workspace saw of one kind of call.

    Attributes
    ----------
    workspace : str
    kind : CallKind
    calls : int
    answered : int
        Whole answers to the right call.
    refused : int
    broken : int
        Streams that were cut and calls without any answer.
    first_byte_p50_ms, first_byte_p95_ms : float
        Of the answered calls.
    whole_p50_ms, whole_p99_ms : float
        Of the answered calls.
    codes : dict of str to int
        How often each error code was seen.
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
    """A load while it runs.

    Attributes
    ----------
    client : Client
    keys : dict of str to IssuedKey
        By workspace. They may change while the load runs.
    addresses : sequence of str
        The ip:port of each entry process. It may change while the load runs.
    observations : list of Observation
        In the order in which the calls ended.
    name : str
        Put before every marker, so that loads do not share markers.
    resends : int
        How often an order that got no answer is sent again, each time to the
        next address.
    skipped : int
        Calls that were not made because too many were in flight.
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
        """Make every call at its time and wait for the last to end.

        Parameters
        ----------
        arrivals : iterable of Arrival
        scope : CancelScope or None
            Cancelled to make no more calls.
        """
        begun = anyio.current_time()
        async with anyio.create_task_group() as group:
            with scope or anyio.CancelScope():
                for arrival in arrivals:
                    await anyio.sleep_until(begun + arrival.start_s)
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
                seen = await call(
                    self.client, self._call_spec(arrival, attempt)
                )
                self.observations.append(seen)
                if not _needs_resend(seen):
                    break
                await anyio.sleep(RESEND_INTERVAL_S)
        finally:
            self.in_flight -= 1

    def _call_spec(self, arrival: Arrival, attempt: int) -> CallSpec:
        issued = self.keys[arrival.workspace]
        index = (arrival.address_index + attempt) % len(self.addresses)
        return CallSpec(
            arrival.kind,
            self.addresses[index],
            arrival.workspace,
            issued.key,
            f'{self.name}-{arrival.number}-',
            issued.key_id,
        )


def summarize(observations: Iterable[Observation]) -> list[Row]:
    """Return a row for each workspace and kind of call."""
    groups: dict[tuple[str, CallKind], list[Observation]] = {}
    for seen in observations:
        groups.setdefault((seen.workspace, seen.kind), []).append(seen)
    return [_summary_row(groups[name]) for name in sorted(groups)]


def histogram(durations_s: Iterable[float]) -> HdrHistogram:
    """Return a histogram of durations, in microseconds."""
    counted = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
    for duration_s in durations_s:
        counted.record_value(max(1, round(duration_s / _MICROSECOND_S)))
    return counted


def percentile_ms(counted: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a histogram of microseconds, in ms."""
    micros: float = counted.get_value_at_percentile(percentile)
    return micros * _MICROSECOND_S / _MILLISECOND_S


def _needs_resend(seen: Observation) -> bool:
    is_answered = seen.outcome == Outcome.answered
    return seen.kind == CallKind.order and not is_answered


def _summary_row(seen: Sequence[Observation]) -> Row:
    answered = [
        one for one in seen if one.outcome == Outcome.answered and one.is_own
    ]
    refused = [one for one in seen if one.outcome == Outcome.refused]
    first = histogram(one.first_byte_at - one.started_at for one in answered)
    whole = histogram(one.ended_at - one.started_at for one in answered)
    codes: dict[str, int] = {}
    for one in seen:
        if one.code:
            codes[one.code] = codes.get(one.code, 0) + 1
    return Row(
        workspace=seen[0].workspace,
        kind=seen[0].kind,
        calls=len(seen),
        answered=len(answered),
        refused=len(refused),
        broken=len(seen) - len(answered) - len(refused),
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
    """Run a load and print or write its rows as JSON.

    Parameters
    ----------
    overview
        A file that holds the first line that `make up` has printed.
    seconds
        The length of the load, at most 300.
    rate
        Calls a second of workspace counter, at most 500.
    skew
        The exponent by which callers prefer the first address.
    seed
        Of the arrivals.
    output
        Where to write the rows; standard output if it is not given.
    """
    shown = msgspec.json.decode(
        overview.read_bytes().splitlines()[0],
        type=Overview,
    )
    mix = Mix('counter', min(rate, MAX_RATE_PER_S), SAMPLE_WEIGHTS)
    arrivals = plan_arrivals(
        seed,
        [mix],
        min(seconds, MAX_LENGTH_S),
        len(shown.entries),
        skew,
    )
    rows = anyio.run(_run, shown, arrivals, f'load-{seed}')
    written = msgspec.json.format(msgspec.json.encode(rows)).decode()
    if output is None:
        sys.stdout.write(f'{written}\n')
    else:
        output.write_text(f'{written}\n')


async def _run(
    shown: Overview,
    arrivals: list[Arrival],
    name: str,
) -> list[Row]:
    keys = {
        workspace: IssuedKey(key, shown.key_ids[workspace])
        for workspace, key in shown.keys.items()
    }
    async with Client() as client:
        load = Load(client, keys, shown.entries, [], name)
        await load.run(arrivals)
    return summarize(load.observations)


if __name__ == '__main__':
    app()
