"""Retry budget: retries as a share of first tries, so that they cannot pile up."""

from dataclasses import dataclass

BURST_RETRIES = 10.0


@dataclass
class RetryBudget:
    """A token bucket that first tries fill and retries empty.

    Each first try adds ``share`` of a retry, up to `BURST_RETRIES`. The bucket
    starts empty, so at any time targets have seen at most ``1 + share`` times
    the first tries.
    """

    share: float
    saved: float = 0.0

    def first_try(self):
        """Note that a request was passed on for the first time."""
        self.saved = min(BURST_RETRIES, self.saved + self.share)

    def take(self) -> bool:
        """Take one retry; False when the budget does not allow it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def put_back(self):
        """Give back a retry that was taken but not made."""
        self.saved += 1.0
