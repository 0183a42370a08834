"""What targets that have just started may get, over all entries together.

A cold target bears a few new flows a second. Entries do not ask each other
before each flow; each takes its part of what the target bears, counted for the
entries of the target's own failure domain, since others leave cold targets
alone. The load pattern: a domain that comes back, or a rolling release, while
every entry sees a target without flows.
"""

from __future__ import annotations

from typing import NamedTuple

from .targets import LiveTarget

# Part of the allowance that is handed out; the rest covers packets that were
# delayed into the same second.
USED_PART = 0.8


class WarmupBounds(NamedTuple):
    """What a cold target may get in one second.

    At most its own rate times ``burst_factor`` and ``slack`` flows more.
    """

    burst_factor: float
    slack: float


class Warmup:
    """Hands out this entry's part of what cold targets bear."""

    def __init__(self, bounds: WarmupBounds, domain: str):
        self._bounds = bounds
        self._domain = domain
        self.entries = 1

    def admits(self, target: LiveTarget, now: float) -> bool:
        """Tell whether a cold target may get a flow from this entry now."""
        return target.domain == self._domain and now >= target.next_cold_flow

    def note_flow(self, target: LiveTarget, flows_per_s: float, now: float) -> None:
        """Note a new flow at a cold target that bears ``flows_per_s``."""
        bears = flows_per_s * self._bounds.burst_factor + self._bounds.slack
        gap_s = self.entries / (bears * USED_PART)
        target.next_cold_flow = max(target.next_cold_flow, now) + gap_s
