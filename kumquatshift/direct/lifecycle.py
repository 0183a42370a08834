"""When an entry is ready, and when one that was told to stop may end.

An entry that stops tells so at once, and goes on forwarding: the fabric sends
it packets until two checks have missed, and flows must not notice.
"""

from __future__ import annotations

# The fabric checks twice a second and takes an entry out after two misses.
OUT_OF_ROTATION_S = 1.6

# No packet for this long after that: the fabric has taken the entry out.
QUIET_S = 0.3

# Kept back from the time that the platform grants for stopping.
STOP_MARGIN_S = 1.0


class Lifecycle:
    """Start, readiness and stop of one entry."""

    def __init__(self, stop_s: float):
        self._longest_stop_s = max(0.0, stop_s - STOP_MARGIN_S)
        self._stopping_since: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether the entry was told to stop."""
        return self._stopping_since is not None

    def begin_stop(self, now: float) -> None:
        """Note that the entry was told to stop."""
        if self._stopping_since is None:
            self._stopping_since = now

    def may_end(self, last_packet_at: float, now: float) -> bool:
        """Tell whether the entry may end without a packet lost."""
        if self._stopping_since is None:
            return False
        stopping_s = now - self._stopping_since
        if stopping_s >= self._longest_stop_s:
            return True
        return stopping_s >= OUT_OF_ROTATION_S and now - last_packet_at >= QUIET_S
