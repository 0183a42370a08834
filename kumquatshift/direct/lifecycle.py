"""Graceful shutdown of an entry.

An entry that is stopping fails its readiness checks at once but keeps forwarding:
the fabric sends it packets until two checks have failed, and flows must not be
disrupted.
"""

from __future__ import annotations

# The fabric checks readiness twice a second and takes an entry out of rotation
# after two failed checks.
OUT_OF_ROTATION_S = 1.6

# If no packet arrives for this long after that, the entry is out of rotation.
QUIET_S = 0.3

# Safety margin within the time that the platform allows for stopping.
STOP_MARGIN_S = 1.0


class Lifecycle:
    """Tracks the shutdown of one entry."""

    def __init__(self, stop_s: float):
        self._max_stop_s = max(0.0, stop_s - STOP_MARGIN_S)
        self._stopping_since: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether shutdown has begun."""
        return self._stopping_since is not None

    def begin_stop(self, now: float) -> None:
        """Begin the shutdown."""
        if self._stopping_since is None:
            self._stopping_since = now

    def may_end(self, last_packet_at: float, now: float) -> bool:
        """Return whether the entry may exit, without packet loss if time allows."""
        if self._stopping_since is None:
            return False
        stopping_s = now - self._stopping_since
        if stopping_s >= self._max_stop_s:
            return True
        return stopping_s >= OUT_OF_ROTATION_S and now - last_packet_at >= QUIET_S
