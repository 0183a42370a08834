"""Queue of claims with weighted priorities, without starvation."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .objects import Priority

#: Relative shares of freed slots while claims of several priorities are queued.
WEIGHTS = {Priority.URGENT: 16, Priority.NORMAL: 4, Priority.BULK: 1}


@dataclass(frozen=True, slots=True)
class Claim:
    """A request's claim to a slot.

    ``claim_id`` identifies the claim; ``deadline`` is a time in seconds; ``pinned``
    is the only eligible target, if set; ``avoid`` are targets that have already
    been tried.
    """

    claim_id: bytes
    service: str
    priority: Priority
    deadline: float
    pinned: str = ""
    avoid: frozenset[str] = frozenset()


class ClaimQueue:
    """Queue in order of arrival within a priority, stride scheduling between them.

    Each grant advances the ``pass`` of its priority by one over its weight, and
    the priority with the lowest pass is served next. Bulk work thus gets its
    share (1 in 17 next to urgent work), and an urgent claim waits behind at
    most one bulk claim.
    """

    def __init__(self):
        self._waiting = {priority: OrderedDict() for priority in Priority}
        self._passes = dict.fromkeys(Priority, 0.0)

    def __len__(self):
        return sum(map(len, self._waiting.values()))

    def __iter__(self) -> Iterator[Claim]:
        for claims in self._waiting.values():
            yield from claims.values()

    def ahead_of(self, priority: Priority) -> int:
        """Return how many claims a new one of ``priority`` would wait behind."""
        return sum(
            len(claims)
            for other, claims in self._waiting.items()
            if WEIGHTS[other] >= WEIGHTS[priority]
        )

    def length(self, priority: Priority) -> int:
        """Return the number of claims of one priority."""
        return len(self._waiting[priority])

    def push(self, claim: Claim):
        """Add a claim."""
        claims = self._waiting[claim.priority]
        if not claims:
            self._catch_up(claim.priority)
        claims[claim.claim_id] = claim

    def remove(self, claim: Claim) -> bool:
        """Remove a claim; return False if it was not queued."""
        return self._waiting[claim.priority].pop(claim.claim_id, None) is not None

    def pop(self, fits: Callable[[Claim], bool]) -> Claim | None:
        """Remove and return the next claim for which ``fits`` is true, or None."""
        for priority in sorted(Priority, key=self._order):
            for claim in self._waiting[priority].values():
                if fits(claim):
                    self.remove(claim)
                    self._passes[priority] += 1 / WEIGHTS[priority]
                    return claim
        return None

    def pop_expired(self, now: float) -> list[Claim]:
        """Remove and return the claims whose deadline has passed."""
        expired = [claim for claim in self if claim.deadline <= now]
        for claim in expired:
            self.remove(claim)
        return expired

    def _order(self, priority):
        return (self._passes[priority], -WEIGHTS[priority])

    def _catch_up(self, priority):
        busy = [self._passes[other] for other in Priority if self._waiting[other]]
        if busy:
            self._passes[priority] = max(self._passes[priority], min(busy))
