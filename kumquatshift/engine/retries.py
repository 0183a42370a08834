"""Retry budget: limits retries to a share of first attempts."""

from dataclasses import dataclass

BURST_RETRIES = 10.0


@dataclass
class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Each first attempt adds ``share`` tokens, up to `BURST_RETRIES`. The bucket
    starts empty, so targets never receive more than ``1 + share`` times the
    number of first attempts, and retries can't amplify an overload.
    """

    share: float
    tokens: float = 0.0

    def record_first_attempt(self):
        """Record that a request was forwarded for the first time."""
        self.tokens = min(BURST_RETRIES, self.tokens + self.share)

    def take(self) -> bool:
        """Take the token for a retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self):
        """Return the token of a retry that was not made."""
        self.tokens += 1.0
