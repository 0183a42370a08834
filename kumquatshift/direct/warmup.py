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

# Packets may be delayed into the same second as later ones; their way takes a
# few milliseconds.
SPACING_FACTOR = 1.1

# Until an entry has heard the others of its domain it takes them to be three,
# the size of small domains.
UNSETTLED_ENTRIES = 3

# An entry that may not use cold targets at all asks again after this time.
UNUSABLE_RETRY_S = 3600.0


class WarmupBounds(NamedTuple):
    """What a cold target may get in one second.

    At most its own rate times ``burst_factor`` and ``slack`` flows more.
    """

    burst_factor: float
    slack: float


class Warmup:
    """Hands out this entry's part of what cold targets bear.

    ``entries`` is how many entries the failure domain has, and ``rank`` the
    place of this one among them, from 0. Where a target bears fewer flows than
    there are entries, only the first ones use it.
    """

    def __init__(self, bounds: WarmupBounds, domain: str):
        self._bounds = bounds
        self._domain = domain
        self.entries = UNSETTLED_ENTRIES
        self.rank = 0

    def admits(self, target: LiveTarget, flows_per_s: float, now: float) -> bool:
        """Tell whether a cold target may get a flow from this entry now."""
        if target.domain != self._domain or now < target.next_cold_flow:
            return False
        return self._quota(flows_per_s) > 0

    def note_flow(self, target: LiveTarget, flows_per_s: float, now: float) -> None:
        """Note a new flow at a cold target that bears ``flows_per_s``."""
        quota = self._quota(flows_per_s)
        gap_s = SPACING_FACTOR / quota if quota else UNUSABLE_RETRY_S
        target.next_cold_flow = now + gap_s

    def _quota(self, flows_per_s: float) -> int:
        """Return how many flows this entry may send in any second."""
        capacity = int(flows_per_s * self._bounds.burst_factor + self._bounds.slack)
        quota = capacity // self.entries
        if quota == 0 and self.rank < capacity:
            return 1
        return quota
