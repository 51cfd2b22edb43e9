"""Counters, gauges and latency histograms, and their text exposition."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import anyio
from hdrh.histogram import HdrHistogram

MAX_SERIES = 4000
MAX_HISTOGRAMS = 400
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
QUANTILES = (0.5, 0.95, 0.99)
_PREFIX = 'ebonywell_'
_MIN_US = 1
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_PERCENT = 100
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})

Labels = tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True, order=True)
class Series:
    """Identity of a time series: a metric name and its sorted labels."""

    name: str
    labels: Labels = ()


@dataclass(slots=True)
class Latency:
    """Histogram of the durations of one series, in whole microseconds."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            _MIN_US,
            _MAX_US,
            _SIGNIFICANT_DIGITS,
        ),
    )
    total_s: float = 0

    def add(self, seconds: float) -> None:
        """Record one duration, clamped to the range of the histogram."""
        microseconds = round(seconds * _US_PER_S)
        clamped = min(max(microseconds, _MIN_US), _MAX_US)
        self.histogram.record_value(clamped)
        self.total_s += max(seconds, 0)

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of the recorded durations, in seconds."""
        percentile = quantile * _PERCENT
        in_us = self.histogram.get_value_at_percentile(percentile)
        return float(in_us) / _US_PER_S


class Metrics:
    """The service named ``metrics``, which holds all metrics of a process.

    Attributes
    ----------
    counters : dict of Series to float
    gauges : dict of Series to float
    latencies : dict of Series to Latency
    collectors : list of callable
        Called before each exposition, to set gauges that are expensive to keep
        up to date.
    """

    def __init__(self) -> None:
        self.counters: dict[Series, float] = {}
        self.gauges: dict[Series, float] = {}
        self.latencies: dict[Series, Latency] = {}
        self.collectors: list[Callable[['Metrics'], None]] = []
        self.dropped = Series('metrics_series_dropped_total')

    async def run(self, ready: Callable[[], None]) -> None:
        """Do nothing until cancelled; metrics are recorded at any time."""
        ready()
        await anyio.sleep_forever()

    async def stop(self) -> None:
        """Do nothing; metrics are kept until the process ends."""

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Increment a counter.

        Parameters
        ----------
        name : str
            Metric name without the package's prefix; ends in ``_total``.
        by : float
        **labels : str
            Values from a bounded set, such as entries or codes; never ids or
            keys.
        """
        series = self._admit(self.counters, MAX_SERIES, name, labels)
        self.counters[series] = self.counters.get(series, 0) + by

    def gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge to its current value."""
        series = self._admit(self.gauges, MAX_SERIES, name, labels)
        if series is self.dropped:
            self.count(series.name)
        else:
            self.gauges[series] = level

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a latency histogram.

        Parameters
        ----------
        name : str
            Metric name without the package's prefix; ends in ``_seconds``.
        seconds : float
        **labels : str
        """
        series = self._admit(self.latencies, MAX_HISTOGRAMS, name, labels)
        if series is self.dropped:
            self.count(series.name)
            return
        if series not in self.latencies:
            self.latencies[series] = Latency()
        self.latencies[series].add(seconds)

    def expose(self) -> str:
        """Return all metrics in the Prometheus text format."""
        for collector in self.collectors:
            collector(self)
        lines = [
            *_expose_values('counter', self.counters),
            *_expose_values('gauge', self.gauges),
            *_expose_latencies(self.latencies),
        ]
        return ''.join(f'{line}\n' for line in lines)

    def _admit(
        self,
        kept: dict[Series, float] | dict[Series, Latency],
        limit: int,
        name: str,
        labels: dict[str, str],
    ) -> Series:
        # Labels come from the catalogue, which may grow. The number of series
        # is limited to bound the memory.
        series = Series(name, tuple(sorted(labels.items())))
        is_known = series in kept
        return series if is_known or len(kept) < limit else self.dropped


def _expose_values(
    kind: str,
    values: dict[Series, float],
) -> Iterator[str]:
    previous = ''
    for series in sorted(values):
        if series.name != previous:
            yield f'# TYPE {_PREFIX}{series.name} {kind}'
        previous = series.name
        yield _line(series.name, series.labels, values[series])


def _expose_latencies(latencies: dict[Series, Latency]) -> Iterator[str]:
    previous = ''
    for series in sorted(latencies):
        if series.name != previous:
            yield f'# TYPE {_PREFIX}{series.name} summary'
        previous = series.name
        yield from _expose_latency(series, latencies[series])


def _expose_latency(series: Series, latency: Latency) -> Iterator[str]:
    for quantile in QUANTILES:
        labels = (*series.labels, ('quantile', str(quantile)))
        yield _line(series.name, labels, latency.quantile_s(quantile))
    count = float(latency.histogram.get_total_count())
    yield _line(f'{series.name}_sum', series.labels, latency.total_s)
    yield _line(f'{series.name}_count', series.labels, count)


def _line(name: str, labels: Labels, number: float) -> str:
    pairs = ','.join(_pair(key, label) for key, label in labels)
    braces = f'{{{pairs}}}' if pairs else ''
    shown = format(number, '.10g')
    return f'{_PREFIX}{name}{braces} {shown}'


def _pair(key: str, label: str) -> str:
    escaped = label.translate(_ESCAPES)
    return f'{key}="{escaped}"'
