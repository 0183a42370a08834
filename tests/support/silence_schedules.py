"""Random series of silent connections, kills, restarts and changes in a domain."""

from typing import NamedTuple

from hypothesis import strategies as st

from kumquatshift.direct.feed import FeedTiming
from tests.support.feed_domain import KIND, FeedDomain

WARM_UP_S = 6.0
STEP_S = 0.05
NAME = "o1"

EVENTS = (
    "change",
    "silence store",
    "silence peers",
    "silence all",
    "kill reader",
    "restart reader",
    "restart entry",
)


class Bounds(NamedTuple):
    """Within what time a change must be known, and when an entry counts as calm."""

    change_s: float
    stable_s: float


def schedules():
    """Return a strategy of schedules: (event, number, seconds until the next one)."""
    event = st.tuples(
        st.sampled_from(EVENTS),
        st.integers(0, 11),
        st.sampled_from((0.0, 0.05, 0.3, 0.8, 1.2, 2.5, 4.0)),
    )
    return st.lists(event, min_size=4, max_size=20)


class SilenceRun:
    """One run of a schedule; ``late`` names who did not know a change in time.

    A change is due at its bound, or once the entry has been undisturbed for the stable
    window, whichever is later.
    """

    def __init__(self, bounds, count, seed):
        timing = FeedTiming.from_bounds(bounds.stable_s, bounds.change_s)
        self.domain = FeedDomain(timing, seed=seed)
        self.domain.store.put(KIND, NAME, 0)
        self.domain.add(count)
        self.domain.run(WARM_UP_S + seed * 0.37)
        self.late = []
        self._bounds = bounds
        self._disturbed_at = {}
        self._changes = []

    def run(self, schedule):
        for event, number, wait_s in schedule:
            self._play(event, number)
            self._run(wait_s)
        self._change()
        self._run(self._bounds.change_s + self._bounds.stable_s)

    def _play(self, event, number):
        domain = self.domain
        live = [node for node in domain.nodes if node.is_up]
        readers = domain.readers() or live
        match event:
            case "change":
                self._change()
            case "silence store" | "silence peers" | "silence all":
                share = (number % 4 + 1) / 4
                for node in domain.rng.sample(live, round(share * len(live))):
                    node.silence(event.removeprefix("silence "))
                    self._disturb(node)
            case "kill reader" if len(live) > 2:
                readers[number % len(readers)].is_up = False
            case "restart reader" if len(domain.nodes) < 30:
                self._restart(readers[number % len(readers)])
            case "restart entry" if len(domain.nodes) < 30:
                self._restart(live[number % len(live)])

    def _restart(self, node):
        node.is_up = False
        self.domain.add(1)
        self._disturb(self.domain.nodes[-1])

    def _change(self):
        self._changes.append((len(self._changes) + 1, self.domain.clock.seconds()))
        self.domain.store.put(KIND, NAME, len(self._changes))

    def _disturb(self, node):
        self._disturbed_at[node.me.name] = self.domain.clock.seconds()

    def _run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.domain.run(STEP_S)
            self._check()

    def _check(self):
        now = self.domain.clock.seconds()
        for node in self.domain.nodes:
            disturbed_at = self._disturbed_at.get(node.me.name, 0.0)
            if not node.is_up or now < disturbed_at + self._bounds.stable_s:
                continue
            for value, changed_at in self._changes:
                is_due = now >= changed_at + self._bounds.change_s
                if is_due and node.listener.values.get(NAME, 0) < value:
                    self.late.append((node.me.name, value, round(now - changed_at, 2)))
