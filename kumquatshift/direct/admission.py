"""Admission control: how many requests may be in progress at a pool of targets.

A *pool* is all targets of one service in one failure domain. The expected load is
a burst of one to three times what the targets can serve, or the retries of all
callers after an outage. If every request were accepted, each would wait in some
target's queue until it is late, and the targets would spend their time on answers
that come too late. The excess is refused instead when its flow is opened: nothing
has run by then, and callers may try again at once.

No entry sees all requests of a pool, so the limit is not a share of a known
capacity. Each entry derives it from the latencies that it observes, which reflect
the load of all entries together. Above the target latency the limit shrinks in
proportion to the excess; below it, the limit grows as long as it is used up::

    limit = ConcurrencyLimit()
    if limit.admits(in_progress=3, slots=4, demand=Demand(share=1.0, point=0.5)):
        ...
    limit.note_answer(latency_s / objective_s, now)

Requests on flows that are already open are not refused, since a reset of an open
flow does not tell the caller whether its request has run. They count as in
progress, so they leave less room for new flows. Under load, a flow that its caller
keeps open counts for a moment after each answer, too: the caller sends the next
request at once, and each flow opened in the gap would add to the load for good.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

# Requests in progress per slot, as seen by one entry. The start value lets one entry
# alone fill the queues of a domain's targets.
START_LIMIT = 8.0
MIN_LIMIT = 0.05
MAX_LIMIT = 64.0

# Mean latency, relative to the objective, that the limit aims for. It leaves room
# for the variation of single requests around the mean.
TARGET_RATIO = 0.7

# The limit is adjusted after this many answers, and not more often than this.
MIN_ANSWERS = 4
MIN_INTERVAL_S = 0.05

# Bounds of the factor of one adjustment.
MAX_DECREASE = 0.5
MAX_INCREASE = 2.0

# While requests queue, the limit grows only if at least this share of it was in demand.
USED_SHARE = 0.7

# A limit without any answers for this long says nothing about the present.
LIMIT_TTL_S = 5.0

# The least urgent requests may use this share of a limit; the rest is reserved for
# more urgent ones.
BULK_SHARE = 0.25

# Share of another domain's limit, whose own entries come first.
OTHER_DOMAIN_SHARE = 0.5

# Routes draw the service of a flow from the same hash without a seed.
POINT_SEED = 1


class Demand(NamedTuple):
    """How a new flow may use the limit of a pool.

    ``share`` is the part of the limit that its priority may use. ``point``, from 0
    to 1, is drawn from the flow: a limit of 2.3 requests admits the third one for
    the flows with a point below 0.3.
    """

    share: float = 1.0
    point: float = 0.0

    def elsewhere(self) -> Demand:
        """Return the demand on a pool in another domain."""
        return self._replace(share=self.share * OTHER_DOMAIN_SHARE)


# Demand of a flow that has been admitted before; it exceeds limits if necessary.
ADMITTED = Demand(share=float("inf"))


class ConcurrencyLimit:
    """Limit on the requests in progress per slot of one pool."""

    def __init__(self):
        self.limit = START_LIMIT
        self._ratios = 0.0
        self._answers = 0
        # The highest load that was asked for, and the limit that admits it.
        self._wanted = 0.0
        self._wanted_limit = 0.0
        self._adjusted_at = float("-inf")
        self._answered_at = float("-inf")

    def admits(self, in_progress: int, slots: int, demand: Demand) -> bool:
        """Return whether one more request may start in a pool of ``slots``."""
        wanted = (in_progress + 1) / slots
        self._wanted = max(self._wanted, wanted)
        self._wanted_limit = max(self._wanted_limit, wanted / demand.share)
        return in_progress + demand.point < self.limit * demand.share * slots

    def note_answer(self, ratio: float, now: float) -> None:
        """Record an answer whose latency was ``ratio`` times the objective."""
        if now - self._answered_at > LIMIT_TTL_S:
            self.limit = START_LIMIT
        self._answered_at = now
        self._ratios += ratio
        self._answers += 1
        if self._answers < MIN_ANSWERS or now - self._adjusted_at < MIN_INTERVAL_S:
            return
        self._adjust(self._ratios / self._answers)
        self._adjusted_at = now
        self._ratios = self._wanted = self._wanted_limit = 0.0
        self._answers = 0

    def _adjust(self, ratio: float) -> None:
        factor = TARGET_RATIO / ratio if ratio > 0 else float("inf")
        if factor < 1:
            used = min(self.limit, max(self._wanted, MIN_LIMIT))
            self.limit = max(MIN_LIMIT, used * max(MAX_DECREASE, factor))
        elif self._wanted >= USED_SHARE * self.limit:
            self.limit = min(MAX_LIMIT, self.limit * min(MAX_INCREASE, factor))
        elif factor > MAX_INCREASE:
            # Hardly anything queues: admit whatever was asked for.
            self.limit = max(self.limit, min(MAX_LIMIT, self._wanted_limit))


class Admission:
    """The concurrency limits of all pools, as learned by one entry."""

    def __init__(self):
        self._limits: dict[tuple[str, str], ConcurrencyLimit] = {}

    def limit(self, service: str, domain: str) -> ConcurrencyLimit:
        """Return the limit of a pool."""
        pool = service, domain
        found = self._limits.get(pool)
        if found is None:
            found = self._limits[pool] = ConcurrencyLimit()
        return found

    def limits(self) -> dict[tuple[str, str], float]:
        """Return the limits per slot that have been used, by service and domain."""
        return {pool: limit.limit for pool, limit in self._limits.items()}


def flow_point(flow: bytes) -> float:
    """Return the point of a flow, independent of the service that its route draws."""
    return xxhash.xxh32_intdigest(flow, POINT_SEED) / 2**32


def limit_share(priority: int, most_urgent: int, least_urgent: int) -> float:
    """Return the share of a limit for a priority, given the range of priorities.

    The most urgent requests use all of it and the least urgent `BULK_SHARE`::

        limit_share(1, most_urgent=1, least_urgent=2)  # 1.0
    """
    if most_urgent >= least_urgent:
        return 1.0
    position = (priority - most_urgent) / (least_urgent - most_urgent)
    return 1.0 - (1.0 - BULK_SHARE) * position
