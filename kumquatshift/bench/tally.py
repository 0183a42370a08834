"""What the callers saw, counted while they run."""

from collections import Counter, deque
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

SHORTEST_US = 1
LONGEST_US = 120_000_000
DIGITS = 3
ANSWERS_KEPT = 500_000
US_PER_S = 1_000_000
US_PER_MS = 1000


def latency_histogram():
    """Return an empty histogram for times in microseconds."""
    return HdrHistogram(SHORTEST_US, LONGEST_US, DIGITS)


def record(histogram, took_s):
    """Note a time in seconds."""
    histogram.record_value(max(SHORTEST_US, round(took_s * US_PER_S)))


def percentile_ms(histogram, percentile):
    """Return a percentile in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


@dataclass(frozen=True, slots=True)
class Answer:
    """When an answered request was sent, and how long it took."""

    sent_s: float
    took_s: float


@dataclass(frozen=True)
class LostRequest:
    """A request that got no answer, and what the caller saw instead.

    ``target`` is the one that gave this caller its last answer.
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

    Whether it ran is unknown; or else the reply is an error.
    """

    ident: str
    sent_s: float
    code: str
    is_unknown: bool


@dataclass(frozen=True)
class BrokenWatch:
    """A watch that ended before its caller wanted it to."""

    service: str
    target: str
    opened_s: float
    last_heard_s: float
    broken_s: float
    cause: str


@dataclass
class Tally:
    """Counts of one run, for all services together and for each one."""

    counts: Counter = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=latency_histogram)
    answers: deque[Answer] = field(default_factory=lambda: deque(maxlen=ANSWERS_KEPT))
    unserved: list[Unserved] = field(default_factory=list)
    lost: list[LostRequest] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    broken: list[BrokenWatch] = field(default_factory=list)

    def count(self, name, service):
        """Add one to ``name``, for ``service``."""
        self.counts[name, service] += 1

    def total(self, name):
        """Return the count of ``name`` over all services."""
        return sum(n for (kind, _), n in self.counts.items() if kind == name)

    def answered(self, service, sent_s, took_s):
        """Note a whole and right answer to what was sent at ``sent_s``."""
        self.count("answered", service)
        self.answers.append(Answer(sent_s, took_s))
        record(self.latency, took_s)
