"""Adaptive concurrency limit of a target, adjusted by its answers.

A target whose capacity is not known yet is cold: its limit is one request in
flight. Successful answers raise the limit up to the target's slots, a shed
request halves it, and a lost answer or a jump in latency makes the target cold
again. Loads that targets report only break ties, since answers are the better
evidence.
"""

from dataclasses import dataclass, field

COLD_LIMIT = 1.0
ANSWERS_PER_INCREASE = 8
WARM_UP_S = 10.0
NORMAL_LATENCY_FACTOR = 2.0

#: A warm target turns cold when `JUMP_SLOW_ANSWERS` of its latest
#: `JUMP_WINDOW_ANSWERS` answers took more than `LATENCY_JUMP_FACTOR` times the
#: baseline latency. Single slow answers are common where requests differ.
LATENCY_JUMP_FACTOR = 3.0
JUMP_WINDOW_ANSWERS = 8
JUMP_SLOW_ANSWERS = 6
LATENCY_WEIGHT = 1 / 4
BASELINE_WEIGHT = 1 / 64
PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 8.0
LOAD_REPORT_MAX_AGE_S = 3.0
BUSY_HALF_LIFE_S = 30.0
ERRORS_FOR_PAUSE = 5
DEFAULT_LATENCY_S = 0.1


@dataclass
class ConcurrencyLimiter:
    """Concurrency limit of one target, as kept by one slot pool.

    ``limit`` is the maximum number of requests in flight, at most ``ceiling``;
    ``since`` is the time in seconds at which the target last turned cold.
    """

    ceiling: int
    since: float
    limit: float = COLD_LIMIT
    in_flight: dict[str, int] = field(default_factory=dict)
    consecutive_successes: int = 0
    consecutive_errors: int = 0
    limit_before_probe: float = 0.0
    latency_s: float = 0.0
    baseline_s: float = 0.0
    samples: int = 0
    recent_slow: tuple[bool, ...] = ()
    paused_until: float = 0.0
    pause_s: float = PAUSE_MIN_S
    busy_s: float = 0.0
    busy_updated_at: float = 0.0
    remote_starts: list[float] = field(default_factory=list)
    last_answer_at: float = 0.0
    reported_load: float = 0.0
    load_reported_at: float = -LOAD_REPORT_MAX_AGE_S

    @property
    def used(self) -> int:
        """Number of requests in flight, of all services."""
        return sum(self.in_flight.values())

    @property
    def is_warm(self) -> bool:
        """Whether the limit has reached the target's slots."""
        return self.limit >= self.ceiling

    def has_capacity(self, service: str, reserved: dict[str, int], now: float) -> bool:
        """Return whether ``service`` may take one more slot now.

        ``reserved`` maps services to their reserved slots. Requests beyond the
        reservation of their service compete for the unreserved slots. Until
        the target is warm, reservations don't apply.
        """
        if now < self.paused_until:
            return False
        if self.used + self.remote_in_flight(now) >= int(self.limit):
            return False
        if not self.is_warm:
            return True
        own = self.in_flight.get(service, 0)
        if own < reserved.get(service, 0):
            return True
        shared = int(self.limit) - sum(reserved.values())
        shared_used = sum(
            max(0, count - reserved.get(name, 0))
            for name, count in self.in_flight.items()
        )
        return shared_used < shared

    def remote_in_flight(self, now: float) -> int:
        """Estimate the number of requests in flight that other entries sent."""
        if not self.remote_starts:
            return 0
        since = now - (self.latency_s or DEFAULT_LATENCY_S)
        self.remote_starts = [at for at in self.remote_starts if at > since]
        return len(self.remote_starts)

    def start(self, service: str):
        """Record that a request is sent to the target."""
        self.in_flight[service] = self.in_flight.get(service, 0) + 1

    def record_success(
        self, service: str, latency_s: float, peer_latency_s: float, now: float
    ):
        """Record a success.

        ``peer_latency_s`` is the median latency of the other warm targets, or 0 if
        there are none.
        """
        self._finish_request(service, latency_s, now)
        self.pause_s = PAUSE_MIN_S
        self.consecutive_errors = 0
        if self.limit_before_probe:
            self._end_probe(latency_s)
        self._update_latency(latency_s)
        if self._has_latency_jumped():
            self.turn_cold(now)
            return
        self.consecutive_successes += 1
        if self.is_warm or self.consecutive_successes < ANSWERS_PER_INCREASE:
            return
        if self._seems_warm(peer_latency_s, now):
            self.limit = min(self.ceiling, self.limit + 1)
            self.consecutive_successes = 0

    def record_shed(self, service: str, max_age_s: float, now: float):
        """Record that the target shed a request, and pause it."""
        self._finish_request(service, 0.0, now)
        self.limit = max(COLD_LIMIT, self.limit / 2)
        self.consecutive_successes = 0
        self._pause(max_age_s, now)

    def record_error(self, service: str, latency_s: float, now: float):
        """Record a server error; `ERRORS_FOR_PAUSE` in a row count as shed.

        A target that fails fast would otherwise appear to have the most free
        capacity.
        """
        self.consecutive_errors += 1
        self.consecutive_successes = 0
        if self.consecutive_errors >= ERRORS_FOR_PAUSE:
            self.record_shed(service, self.pause_s, now)
        else:
            self._finish_request(service, latency_s, now)

    def record_loss(self, service: str, now: float):
        """Record that a request got no answer in time."""
        self._finish_request(service, 0.0, now)
        self.turn_cold(now)
        self._pause(self.pause_s, now)

    def probe_after_loss(self, service: str, now: float):
        """Record a lost answer for which the network may be the cause.

        The target gets one request at a time until its next success. If the
        latency of that is close to the baseline, the previous limit is restored.
        """
        self._finish_request(service, 0.0, now)
        if not self.limit_before_probe:
            self.limit_before_probe = self.limit
        self.limit = COLD_LIMIT

    def record_cancellation(self, service: str, now: float):
        """Record that a request ended without any evidence about the target."""
        self._finish_request(service, 0.0, now)

    def learn(self, limit: int, now: float):
        """Record a request that another entry sent, and adopt that entry's limit."""
        if limit < int(self.limit):
            self.turn_cold(now)
        self.limit = min(self.ceiling, max(COLD_LIMIT, limit))
        self.remote_starts = [*self.remote_starts[1 - self.ceiling :], now]

    def turn_cold(self, now: float):
        """Reset the limit to one request at a time."""
        self.limit_before_probe = 0.0
        self.limit = COLD_LIMIT
        self.consecutive_successes = 0
        self.samples = 0
        self.recent_slow = ()
        self.latency_s = 0.0
        self.since = now

    def report(self, load: float, at: float):
        """Record the load, from 0 to 1, that the target reports, as a hint."""
        self.reported_load = load
        self.load_reported_at = at

    def rank(self, now: float) -> tuple[float, float, float]:
        """Sort key of targets: share in use, recent busy time, reported load."""
        fresh = now - self.load_reported_at < LOAD_REPORT_MAX_AGE_S
        return (
            self.used / self.limit,
            self.busy_s_per_slot(now),
            self.reported_load if fresh else 0.0,
        )

    def busy_s_per_slot(self, now: float) -> float:
        """Return the busy time in seconds per slot, with exponential decay."""
        age = now - self.busy_updated_at
        return self.busy_s * 0.5 ** (age / BUSY_HALF_LIFE_S) / self.limit

    def _finish_request(self, service, latency_s, now):
        self.in_flight[service] = max(0, self.in_flight.get(service, 0) - 1)
        self.busy_s = self.busy_s_per_slot(now) * self.limit + latency_s
        self.busy_updated_at = now

    def _end_probe(self, latency_s):
        if latency_s <= NORMAL_LATENCY_FACTOR * self.baseline_s:
            self.limit = max(self.limit, self.limit_before_probe)
        self.limit_before_probe = 0.0

    def _update_latency(self, latency_s):
        is_slow = latency_s > LATENCY_JUMP_FACTOR * (self.baseline_s or latency_s)
        self.recent_slow = (*self.recent_slow[1 - JUMP_WINDOW_ANSWERS :], is_slow)
        self.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / self.samples)
        self.latency_s += weight * (latency_s - self.latency_s)
        if not self.baseline_s:
            self.baseline_s = latency_s
        self.baseline_s += BASELINE_WEIGHT * (latency_s - self.baseline_s)
        if not self.is_warm:
            self.baseline_s = min(self.baseline_s, self.latency_s)

    def _has_latency_jumped(self):
        return self.is_warm and sum(self.recent_slow) >= JUMP_SLOW_ANSWERS

    def _seems_warm(self, peer_latency_s, now):
        if peer_latency_s:
            return self.latency_s <= NORMAL_LATENCY_FACTOR * peer_latency_s
        return now - self.since >= WARM_UP_S

    def _pause(self, pause_s, now):
        self.paused_until = now + min(PAUSE_MAX_S, max(PAUSE_MIN_S, pause_s))
        self.pause_s = min(PAUSE_MAX_S, self.pause_s * 2)
