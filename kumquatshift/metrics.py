"""Counters, gauges and latency summaries of one process.

Labels of counters are members of enums, so the size of the page is bounded;
latencies are recorded for each profile. The page has the text exposition format
of Prometheus (version 0.0.4)::

    metrics = Metrics(reactor)
    drops = metrics.counter("kumquatshift_drops_total", "Drops.", DropReason)
    drops.add(DropReason.MALFORMED)
    metrics.gauge("kumquatshift_flows", "Flows held.", lambda: len(table))
    metrics.record_latency("urgent-alert", seconds)
    print(metrics.page())
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

from hdrh.histogram import HdrHistogram

from .engine.ports import Clock

TOTAL_LATENCY = "kumquatshift_latency_seconds"
RECENT_LATENCY = "kumquatshift_recent_latency_seconds"
MICROSECONDS = 1_000_000
MIN_LATENCY_US = 1
MAX_LATENCY_US = 3600 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
WINDOW_S = 60.0
MAX_PROFILES = 1000
OTHER_PROFILES = "(others)"

Label = TypeVar("Label", bound=StrEnum)


class Counter(Generic[Label]):
    """Counts that only increase, one for each member of an enum."""

    def __init__(self, name: str, help: str, labels: type[Label]):
        self.name = name
        self.help = help
        self.values: dict[Label, int] = dict.fromkeys(labels, 0)

    def add(self, label: Label, amount: int = 1) -> None:
        """Add ``amount`` to a count; raises `KeyError` for an unknown label."""
        self.values[label] += amount


@dataclass(frozen=True)
class CounterValues:
    """The values of one counter in a snapshot."""

    name: str
    help: str
    values: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class GaugeValue:
    """The value of one gauge in a snapshot."""

    name: str
    help: str
    value: float


@dataclass(frozen=True)
class LatencySummary:
    """Latencies of one profile, in seconds.

    ``percentiles`` holds pairs such as ``(99.0, 0.012)``. Recent latencies are
    those of the last complete window of `WINDOW_S` and of the current one.
    """

    profile: str
    count: int
    max_s: float
    percentiles: tuple[tuple[float, float], ...]
    recent_count: int
    recent_percentiles: tuple[tuple[float, float], ...]


@dataclass(frozen=True)
class MetricsSnapshot:
    """All metrics of a process at one moment."""

    counters: tuple[CounterValues, ...]
    gauges: tuple[GaugeValue, ...]
    latencies: tuple[LatencySummary, ...]


class LatencyRecorder:
    """Latencies of one profile: since the start, and recent ones."""

    def __init__(self, now_s: float):
        self._total = _histogram()
        self._current = _histogram()
        self._previous = _histogram()
        self._window_started_s = now_s

    def record(self, latency_s: float, now_s: float) -> None:
        """Record one latency, clamped to the range of the histogram."""
        self._rotate(now_s)
        value_us = int(latency_s * MICROSECONDS)
        value_us = min(max(value_us, MIN_LATENCY_US), MAX_LATENCY_US)
        self._total.record_value(value_us)
        self._current.record_value(value_us)

    def summary(self, profile: str, now_s: float) -> LatencySummary:
        """Return a summary of the latencies so far."""
        self._rotate(now_s)
        recent = _histogram()
        recent.add(self._previous)
        recent.add(self._current)
        return LatencySummary(
            profile=profile,
            count=self._total.get_total_count(),
            max_s=self._total.get_max_value() / MICROSECONDS,
            percentiles=_percentiles(self._total),
            recent_count=recent.get_total_count(),
            recent_percentiles=_percentiles(recent),
        )

    def _rotate(self, now_s: float) -> None:
        elapsed_s = now_s - self._window_started_s
        if elapsed_s < WINDOW_S:
            return
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        if elapsed_s >= 2 * WINDOW_S:
            self._previous.reset()
        self._window_started_s = now_s


class Metrics:
    """The metrics of one process; time comes from ``clock``."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self._latencies: dict[str, LatencyRecorder] = {}

    def counter(self, name: str, help: str, labels: type[Label]) -> Counter[Label]:
        """Add a counter; raises `ValueError` if the name is already in use."""
        self._check_name_unused(name)
        counter = Counter(name, help, labels)
        self._counters[name] = counter
        return counter

    def gauge(self, name: str, help: str, read: Callable[[], float]) -> None:
        """Add a gauge; ``read`` is called for each snapshot."""
        self._check_name_unused(name)
        self._gauges[name] = (help, read)

    def record_latency(self, profile: str, latency_s: float) -> None:
        """Record the latency of one request or flow opening under its profile.

        Beyond `MAX_PROFILES`, profiles share the name `OTHER_PROFILES`.
        """
        now_s = self._clock.seconds()
        recorder = self._latencies.get(profile)
        if recorder is None:
            if len(self._latencies) >= MAX_PROFILES:
                profile = OTHER_PROFILES
            recorder = self._latencies.setdefault(profile, LatencyRecorder(now_s))
        recorder.record(latency_s, now_s)

    def forget_profile(self, profile: str) -> None:
        """Drop the latencies of a profile that was removed."""
        self._latencies.pop(profile, None)

    def snapshot(self) -> MetricsSnapshot:
        """Return the current values of all metrics."""
        now_s = self._clock.seconds()
        return MetricsSnapshot(
            counters=tuple(_counter_values(each) for each in self._counters.values()),
            gauges=tuple(
                GaugeValue(name, help, read())
                for name, (help, read) in self._gauges.items()
            ),
            latencies=tuple(
                recorder.summary(profile, now_s)
                for profile, recorder in sorted(self._latencies.items())
            ),
        )

    def page(self) -> str:
        """Return all metrics as a plain-text page."""
        return render_page(self.snapshot())

    def _check_name_unused(self, name: str) -> None:
        if name in self._counters or name in self._gauges:
            raise ValueError(f"metric {name} already exists")


def render_page(snapshot: MetricsSnapshot) -> str:
    """Render a snapshot in the text format of Prometheus."""
    lines: list[str] = []
    for counter in snapshot.counters:
        name = counter.name
        lines += _header(name, counter.help, "counter")
        lines += [f"{name}{_labels(reason=k)} {v}" for k, v in counter.values]
    for gauge in snapshot.gauges:
        lines += _header(gauge.name, gauge.help, "gauge")
        lines.append(f"{gauge.name} {gauge.value:g}")
    lines += _latency_lines(snapshot.latencies)
    return "\n".join(lines) + "\n"


def _latency_lines(latencies: Iterable[LatencySummary]) -> list[str]:
    total, recent = TOTAL_LATENCY, RECENT_LATENCY
    total_lines = _header(total, "Latency of each profile since the start.", "summary")
    recent_lines = _header(recent, "Latency of each profile of late.", "summary")
    for each in latencies:
        total_lines += _quantiles(total, each.profile, each.percentiles)
        total_lines.append(f"{total}_count{_labels(profile=each.profile)} {each.count}")
        recent_lines += _quantiles(recent, each.profile, each.recent_percentiles)
        recent_lines.append(
            f"{recent}_count{_labels(profile=each.profile)} {each.recent_count}"
        )
    return total_lines + recent_lines


def _quantiles(
    name: str, profile: str, percentiles: Iterable[tuple[float, float]]
) -> list[str]:
    return [
        f"{name}{_labels(profile=profile, quantile=f'{percent / 100:g}')} {value_s:g}"
        for percent, value_s in percentiles
    ]


def _header(name: str, help: str, kind: str) -> list[str]:
    return [f"# HELP {name} {help}", f"# TYPE {name} {kind}"]


def _labels(**labels: str) -> str:
    pairs = (f'{name}="{_escaped(value)}"' for name, value in labels.items())
    return "{" + ",".join(pairs) + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _counter_values(counter: Counter) -> CounterValues:
    values = tuple((str(label), count) for label, count in counter.values.items())
    return CounterValues(counter.name, counter.help, values)


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _percentiles(histogram: HdrHistogram) -> tuple[tuple[float, float], ...]:
    if not histogram.get_total_count():
        return ()
    return tuple(
        (percent, histogram.get_value_at_percentile(percent) / MICROSECONDS)
        for percent in PERCENTILES
    )
