"""Counters and records of what the callers observe during a run."""

from collections import Counter, deque
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MAX_ANSWERS = 500_000
US_PER_S = 1_000_000
US_PER_MS = 1000


def latency_histogram():
    """Return an empty latency histogram, in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record(histogram, took_s):
    """Record a latency given in seconds."""
    histogram.record_value(max(MIN_LATENCY_US, round(took_s * US_PER_S)))


def percentile_ms(histogram, percentile):
    """Return a percentile in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


@dataclass(frozen=True, slots=True)
class Answer:
    """Sending time and latency of an answered request."""

    sent_s: float
    took_s: float


@dataclass(frozen=True)
class LostRequest:
    """A request without an answer, and the error that its caller saw.

    ``target`` is the target that sent the previous answer to this caller.
    """

    ident: str
    service: str
    sent_s: float
    lost_s: float
    target: str
    cause: str


@dataclass(frozen=True)
class Unserved:
    """A request whose reply was neither an answer nor a refusal.

    ``is_unknown`` means that it is unknown whether the request ran; otherwise the
    reply was an error.
    """

    ident: str
    sent_s: float
    code: str
    is_unknown: bool


@dataclass(frozen=True)
class BrokenWatch:
    """A watch that ended before its caller stopped it."""

    service: str
    target: str
    opened_s: float
    last_heard_s: float
    broken_s: float
    cause: str


@dataclass
class Tally:
    """Counts and records of one run; ``counts`` is keyed by name and service."""

    counts: Counter = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=latency_histogram)
    answers: deque[Answer] = field(default_factory=lambda: deque(maxlen=MAX_ANSWERS))
    unserved: list[Unserved] = field(default_factory=list)
    lost: list[LostRequest] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    broken: list[BrokenWatch] = field(default_factory=list)

    def count(self, name, service):
        """Increment the count of ``name`` for ``service``."""
        self.counts[name, service] += 1

    def total(self, name):
        """Return the sum of the counts of ``name`` over all services."""
        return sum(n for (kind, _), n in self.counts.items() if kind == name)

    def answered(self, service, sent_s, took_s):
        """Record a correct answer to a request that was sent at ``sent_s``."""
        self.count("answered", service)
        self.answers.append(Answer(sent_s, took_s))
        record(self.latency, took_s)
