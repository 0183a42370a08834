"""How much one target may be given at once, learnt from its answers.

A target that has not shown what it bears is cold: it gets one request at a
time. Good answers raise the allowance up to the target's slots; an answer that
sheds work halves it; a lost answer or a jump in latency makes the target cold
again. What endpoints report only breaks ties: answers go before it.
"""

from dataclasses import dataclass, field

COLD_LIMIT = 1.0
GROWTH_ANSWERS = 8
WARM_UP_S = 10.0
LATENCY_LIKE_PEERS = 2.0

#: A warm target has turned cold when so many of its latest answers took more
#: than `LATENCY_JUMP` times as long as usual. Single slow answers are common
#: where requests differ.
LATENCY_JUMP = 3.0
JUMP_WINDOW = 8
JUMP_SLOW = 6
FAST_WEIGHT = 1 / 4
SLOW_WEIGHT = 1 / 64
PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 8.0
HINT_MAX_AGE_S = 3.0
WORK_HALF_LIFE_S = 30.0
FAILURES_FOR_PAUSE = 5
LATENCY_GUESS_S = 0.1


@dataclass
class Allowance:
    """What one target may be given by one decider.

    ``limit`` is the number of requests in flight that it may have, at most
    ``ceiling``; ``since`` is the time in seconds at which it was last cold.
    """

    ceiling: int
    since: float
    limit: float = COLD_LIMIT
    in_flight: dict[str, int] = field(default_factory=dict)
    good_in_row: int = 0
    failed_in_row: int = 0
    limit_before_doubt: float = 0.0
    latency_s: float = 0.0
    baseline_s: float = 0.0
    samples: int = 0
    slow: tuple[bool, ...] = ()
    paused_until: float = 0.0
    pause_s: float = PAUSE_MIN_S
    work_s: float = 0.0
    worked_at: float = 0.0
    foreign: list[float] = field(default_factory=list)
    heard_at: float = 0.0
    hint: float = 0.0
    hinted_at: float = -HINT_MAX_AGE_S

    @property
    def used(self) -> int:
        """Requests in flight, of all services."""
        return sum(self.in_flight.values())

    @property
    def is_warm(self) -> bool:
        """Whether the target has shown that it bears all its slots."""
        return self.limit >= self.ceiling

    def room(self, service: str, reserved: dict[str, int], now: float) -> bool:
        """Tell whether ``service`` may take one more slot now.

        ``reserved`` gives the slots kept for each service; work beyond its
        own reservation competes for what nobody has reserved. While the
        target is cold nothing is reserved.
        """
        if now < self.paused_until:
            return False
        if self.used + self.foreign_used(now) >= int(self.limit):
            return False
        if not self.is_warm:
            return True
        own = self.in_flight.get(service, 0)
        if own < reserved.get(service, 0):
            return True
        shared = int(self.limit) - sum(reserved.values())
        taken = sum(
            max(0, count - reserved.get(name, 0))
            for name, count in self.in_flight.items()
        )
        return taken < shared

    def foreign_used(self, now: float) -> int:
        """Estimate the requests in flight that another entry sent."""
        if not self.foreign:
            return 0
        since = now - (self.latency_s or LATENCY_GUESS_S)
        self.foreign = [at for at in self.foreign if at > since]
        return len(self.foreign)

    def start(self, service: str):
        """Note that a request goes to the target."""
        self.in_flight[service] = self.in_flight.get(service, 0) + 1

    def good(self, service: str, latency_s: float, peers_s: float, now: float):
        """Note an answer; ``peers_s`` is the latency of warm targets, 0 if none."""
        self._end(service, latency_s, now)
        self.pause_s = PAUSE_MIN_S
        self.failed_in_row = 0
        if self.limit_before_doubt:
            self._end_doubt(latency_s)
        self._learn(latency_s)
        if self._has_jumped():
            self.turn_cold(now)
            return
        self.good_in_row += 1
        if self.is_warm or self.good_in_row < GROWTH_ANSWERS:
            return
        if self._seems_warm(peers_s, now):
            self.limit = min(self.ceiling, self.limit + 1)
            self.good_in_row = 0

    def shed(self, service: str, max_age_s: float, now: float):
        """Note that the target shed a request; it rests before the next one."""
        self._end(service, 0.0, now)
        self.limit = max(COLD_LIMIT, self.limit / 2)
        self.good_in_row = 0
        self._pause(max_age_s, now)

    def failed(self, service: str, latency_s: float, now: float):
        """Note an error of the server; a row of them counts as shed work.

        A target that fails fast would otherwise look like the one with the
        most room.
        """
        self.failed_in_row += 1
        self.good_in_row = 0
        if self.failed_in_row >= FAILURES_FOR_PAUSE:
            self.shed(service, self.pause_s, now)
        else:
            self._end(service, latency_s, now)

    def lost(self, service: str, now: float):
        """Note that a request got no answer in time."""
        self._end(service, 0.0, now)
        self.turn_cold(now)
        self._pause(self.pause_s, now)

    def doubt(self, service: str, now: float):
        """Note a lost answer that may not be the target's fault.

        It is given one request at a time until the next answer: one in the
        usual time shows that the target is as it was.
        """
        self._end(service, 0.0, now)
        if not self.limit_before_doubt:
            self.limit_before_doubt = self.limit
        self.limit = COLD_LIMIT

    def cancelled(self, service: str, now: float):
        """Note that a request ended without telling anything of the target."""
        self._end(service, 0.0, now)

    def learn(self, limit: int, now: float):
        """Note that another entry sent a request, and what it allows."""
        if limit < int(self.limit):
            self.turn_cold(now)
        self.limit = min(self.ceiling, max(COLD_LIMIT, limit))
        self.foreign = [*self.foreign[1 - self.ceiling :], now]

    def turn_cold(self, now: float):
        """Start again from one request at a time."""
        self.limit_before_doubt = 0.0
        self.limit = COLD_LIMIT
        self.good_in_row = 0
        self.samples = 0
        self.slow = ()
        self.latency_s = 0.0
        self.since = now

    def report(self, load: float, at: float):
        """Take what the target's endpoint says, a load from 0 to 1, as a hint."""
        self.hint = load
        self.hinted_at = at

    def rank(self, now: float) -> tuple[float, float, float]:
        """Order targets with room: the least in use, least worked, least loaded."""
        fresh = now - self.hinted_at < HINT_MAX_AGE_S
        return (self.used / self.limit, self.work(now), self.hint if fresh else 0.0)

    def work(self, now: float) -> float:
        """Return the recent busy time in seconds per slot, halved every half-life."""
        age = now - self.worked_at
        return self.work_s * 0.5 ** (age / WORK_HALF_LIFE_S) / self.limit

    def _end(self, service, latency_s, now):
        self.in_flight[service] = max(0, self.in_flight.get(service, 0) - 1)
        self.work_s = self.work(now) * self.limit + latency_s
        self.worked_at = now

    def _end_doubt(self, latency_s):
        if latency_s <= LATENCY_LIKE_PEERS * self.baseline_s:
            self.limit = max(self.limit, self.limit_before_doubt)
        self.limit_before_doubt = 0.0

    def _learn(self, latency_s):
        is_slow = latency_s > LATENCY_JUMP * (self.baseline_s or latency_s)
        self.slow = (*self.slow[1 - JUMP_WINDOW :], is_slow)
        self.samples += 1
        weight = max(FAST_WEIGHT, 1 / self.samples)
        self.latency_s += weight * (latency_s - self.latency_s)
        if not self.baseline_s:
            self.baseline_s = latency_s
        self.baseline_s += SLOW_WEIGHT * (latency_s - self.baseline_s)
        if not self.is_warm:
            self.baseline_s = min(self.baseline_s, self.latency_s)

    def _has_jumped(self):
        return self.is_warm and sum(self.slow) >= JUMP_SLOW

    def _seems_warm(self, peers_s, now):
        if peers_s:
            return self.latency_s <= LATENCY_LIKE_PEERS * peers_s
        return now - self.since >= WARM_UP_S

    def _pause(self, pause_s, now):
        self.paused_until = now + min(PAUSE_MAX_S, max(PAUSE_MIN_S, pause_s))
        self.pause_s = min(PAUSE_MAX_S, self.pause_s * 2)
