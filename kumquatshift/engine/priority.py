"""Waiting requests of several priorities: bounded, weighted, none starved."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .objects import Priority

#: Shares of the slots that come free while several priorities wait.
WEIGHTS = {Priority.URGENT: 16, Priority.NORMAL: 4, Priority.BULK: 1}


@dataclass(frozen=True, slots=True)
class Claim:
    """One request that wants a slot.

    ``ticket`` names it; ``deadline`` is a time in seconds; ``pinned`` is the
    only target that will do, if there is one; ``avoid`` are targets that have
    already had a try.
    """

    ticket: bytes
    service: str
    priority: Priority
    deadline: float
    pinned: str = ""
    avoid: frozenset[str] = frozenset()


class ClaimQueue:
    """Claims in order of arrival within a priority, by stride between them.

    Each grant moves its priority's ``pass`` on by one over its weight, and the
    priority with the least pass is served next, so that bulk work gets its
    share (1 in 17 next to urgent work) and an urgent claim waits behind at
    most one of bulk.
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
        """Count the claims that a new one of ``priority`` would wait behind."""
        return sum(
            len(claims)
            for other, claims in self._waiting.items()
            if WEIGHTS[other] >= WEIGHTS[priority]
        )

    def length(self, priority: Priority) -> int:
        """Count the claims of one priority."""
        return len(self._waiting[priority])

    def push(self, claim: Claim):
        """Let a claim wait."""
        claims = self._waiting[claim.priority]
        if not claims:
            self._catch_up(claim.priority)
        claims[claim.ticket] = claim

    def remove(self, claim: Claim) -> bool:
        """Take a claim out; False when it does not wait."""
        return self._waiting[claim.priority].pop(claim.ticket, None) is not None

    def pop(self, fits: Callable[[Claim], bool]) -> Claim | None:
        """Take out the next claim that ``fits``; None when there is none."""
        for priority in sorted(Priority, key=self._order):
            for claim in self._waiting[priority].values():
                if fits(claim):
                    self.remove(claim)
                    self._passes[priority] += 1 / WEIGHTS[priority]
                    return claim
        return None

    def pop_expired(self, now: float) -> list[Claim]:
        """Take out the claims whose deadline has passed."""
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
