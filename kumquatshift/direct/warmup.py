"""Rate limit for new flows to targets that are warming up.

A cold target can take only a few new flows per second. Entries do not coordinate
per flow; each uses an equal share of the target's limit, divided among the
entries in the target's failure domain, since entries elsewhere do not use cold
targets. This prevents overload when a domain returns or during a rolling release,
when every entry sees targets without any flows.
"""

from __future__ import annotations

from typing import NamedTuple

from .targets import LiveTarget

# Network delay of a few milliseconds may shift packets into the same second as
# later ones, so flows are spaced slightly wider than the limit requires.
SPACING_FACTOR = 1.1

# Number of entries assumed in a domain until heartbeats have arrived: three, the
# size of small domains.
ASSUMED_DOMAIN_ENTRIES = 3

# Delay before an entry without any quota for cold targets checks again.
UNUSABLE_RETRY_S = 3600.0


class WarmupBounds(NamedTuple):
    """Limit on new flows to a cold target in any one second.

    The limit is the target's own rate times ``burst_factor``, plus ``slack``.
    """

    burst_factor: float
    slack: float


class Warmup:
    """Enforces this entry's share of the limits of cold targets.

    ``entries`` is the number of entries in the failure domain, and ``rank`` the
    index of this one among them, from 0. If a target's limit is lower than the
    number of entries, only the first ones use it.
    """

    def __init__(self, bounds: WarmupBounds, domain: str):
        self._bounds = bounds
        self._domain = domain
        self.entries = ASSUMED_DOMAIN_ENTRIES
        self.rank = 0

    def admits(self, target: LiveTarget, flows_per_s: float, now: float) -> bool:
        """Return whether this entry may send a new flow to a cold target now."""
        if target.domain != self._domain or now < target.next_cold_flow:
            return False
        return self._quota(flows_per_s) > 0

    def note_flow(self, target: LiveTarget, flows_per_s: float, now: float) -> None:
        """Record a new flow at a cold target with the rate ``flows_per_s``."""
        quota = self._quota(flows_per_s)
        gap_s = SPACING_FACTOR / quota if quota else UNUSABLE_RETRY_S
        target.next_cold_flow = now + gap_s

    def _quota(self, flows_per_s: float) -> int:
        """Return how many new flows this entry may send in any second."""
        capacity = int(flows_per_s * self._bounds.burst_factor + self._bounds.slack)
        quota = capacity // self.entries
        if quota == 0 and self.rank < capacity:
            return 1
        return quota
