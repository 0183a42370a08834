"""Slots of targets that other entries give out.

Each service has one owner among the entries, by rendezvous hashing; nothing is
elected, and an owner that fails is followed by the next. The owner's pool gives
out the slots of the service's targets, so that no two entries count on the same
slot. A primary's claim is a message to the owner, or a call if that is itself.

A claim is asked again while no verdict comes, and of the next owner once the
ring has changed. Slots whose holder is not heard of any more come free when the
request's time is over.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .messages import (
    Message,
    ReleaseKind,
    SlotClaim,
    SlotRelease,
    SlotVerdict,
    VerdictKind,
)
from .priority import Claim
from .slots import Granted, Outcome, Rejected, Rejection, SlotPool, Verdict, Waiting

ASK_AGAIN_S = 0.3
LEASE_GRACE_S = 1.0
MS_PER_S = 1000

_REJECTIONS = {
    VerdictKind.NO_TARGET: Rejection.NO_TARGET,
    VerdictKind.QUEUE_FULL: Rejection.QUEUE_FULL,
    VerdictKind.TOO_LATE: Rejection.TOO_LATE,
    VerdictKind.EXPIRED: Rejection.EXPIRED,
}
_VERDICT_KINDS = {reason: kind for kind, reason in _REJECTIONS.items()}
_RELEASES = {
    Outcome.GOOD: ReleaseKind.GOOD,
    Outcome.SHED: ReleaseKind.SHED,
    Outcome.FAILED: ReleaseKind.FAILED,
    Outcome.LOST: ReleaseKind.LOST,
    Outcome.CANCELLED: ReleaseKind.CANCELLED,
}
_OUTCOMES = {kind: outcome for outcome, kind in _RELEASES.items()}


@dataclass(slots=True)
class _Asked:
    """A claim of ours that an owner decides."""

    claim: Claim
    owner: str
    asked_at: float
    waits: bool = False


@dataclass(slots=True)
class _Given:
    """A claim of another entry that our pool decides."""

    peer: str
    until: float
    claim: Claim | None
    target: str = ""


class OwnedSlots:
    """The slot pool as a primary sees it, wherever the slots are given out.

    It has the calls of `slots.SlotPool` that a dispatcher needs. ``send`` takes
    a message for another entry; ``owner_of`` names the owner of a service.
    """

    def __init__(
        self,
        me: str,
        pool: SlotPool,
        owner_of: Callable[[str], str],
        send: Callable[[str, Message], None],
    ):
        self._me = me
        self._pool = pool
        self._owner_of = owner_of
        self._send = send
        self._asked: dict[bytes, _Asked] = {}
        self._held: dict[bytes, str] = {}
        self._given: dict[bytes, _Given] = {}
        self._arrived: list[Verdict] = []

    def claim(self, claim: Claim, now: float, wait: bool = True) -> Verdict:
        """Claim a slot; a remote owner's verdict comes with a later `tick`.

        With ``wait`` False only slots of our own are given, since a remote
        owner can not answer at once.
        """
        owner = self._owner_of(claim.service)
        if owner == self._me:
            verdict = self._pool.claim(claim, now, wait)
            if isinstance(verdict, Granted):
                self._held[claim.ticket] = owner
            return verdict
        if not wait or not owner:
            return Rejected(claim.ticket, Rejection.NO_TARGET, 0.0)
        self._asked[claim.ticket] = _Asked(claim, owner, now)
        self._ask(claim, owner, now)
        return Waiting(claim.ticket)

    def release(
        self, ticket: bytes, outcome: Outcome, now: float, max_age_s: float = 0.0
    ) -> list[Verdict]:
        """Give a slot back; return what that decides for our waiting claims."""
        owner = self._held.pop(ticket, self._me)
        if owner != self._me:
            kind = _RELEASES[outcome]
            self._send(owner, SlotRelease(ticket, kind, int(max_age_s * MS_PER_S)))
            return []
        return self._sort(self._pool.release(ticket, outcome, now, max_age_s), now)

    def withdraw(self, claim: Claim) -> bool:
        """Take a waiting claim out; False when it does not wait."""
        asked = self._asked.pop(claim.ticket, None)
        if asked is None:
            return self._withdraw_arrived(claim) or self._pool.withdraw(claim)
        self._send(asked.owner, SlotRelease(claim.ticket, ReleaseKind.CANCELLED))
        return True

    def tick(self, now: float) -> list[Verdict]:
        """Return the verdicts that time or other entries' messages brought."""
        self._ask_again(now)
        self._end_leases(now)
        arrived, self._arrived = self._arrived, []
        return arrived + self._sort(self._pool.tick(now), now)

    def take_claim(self, peer: str, message: SlotClaim, now: float) -> None:
        """Decide another entry's claim; one asked again has the same verdict."""
        given = self._given.get(message.ticket)
        if given is not None:
            self._tell(given, message.ticket)
            return
        deadline = now + message.remaining_ms / MS_PER_S
        claim = Claim(
            message.ticket,
            message.service,
            message.priority,
            deadline,
            message.pinned,
            frozenset(message.avoid),
        )
        self._given[message.ticket] = _Given(peer, deadline + LEASE_GRACE_S, claim)
        self._decided(self._pool.claim(claim, now))

    def take_verdict(self, message: SlotVerdict) -> None:
        """Note an owner's verdict on a claim of ours."""
        asked = self._asked.get(message.ticket)
        if asked is None:
            return
        if message.kind is VerdictKind.WAITING:
            asked.waits = True
            return
        del self._asked[message.ticket]
        if message.kind is VerdictKind.GRANTED:
            self._held[message.ticket] = asked.owner
            self._arrived.append(Granted(message.ticket, message.target))
            return
        backlog_s = message.backlog_ms / MS_PER_S
        reason = _REJECTIONS[message.kind]
        self._arrived.append(Rejected(message.ticket, reason, backlog_s))

    def take_release(self, message: SlotRelease, now: float) -> None:
        """Take a slot back, or a waiting claim out."""
        given = self._given.pop(message.ticket, None)
        if given is None:
            return
        if not given.target:
            self._pool.withdraw(given.claim)
            return
        outcome, max_age_s = _OUTCOMES[message.kind], message.max_age_ms / MS_PER_S
        freed = self._pool.release(message.ticket, outcome, now, max_age_s)
        self._arrived += self._sort(freed, now)

    def _withdraw_arrived(self, claim):
        """Take out a claim whose verdict is here but was not told yet."""
        arrived = [each for each in self._arrived if each.ticket == claim.ticket]
        if not arrived:
            return False
        self._arrived.remove(arrived[0])
        owner = self._held.pop(claim.ticket, self._me)
        if owner != self._me:
            self._send(owner, SlotRelease(claim.ticket, ReleaseKind.CANCELLED))
        return True

    def _ask(self, claim, owner, now):
        remaining_ms = max(0, int((claim.deadline - now) * MS_PER_S))
        message = SlotClaim(
            claim.ticket,
            claim.service,
            claim.priority,
            remaining_ms,
            claim.pinned,
            tuple(sorted(claim.avoid)),
        )
        self._send(owner, message)

    def _ask_again(self, now):
        for ticket, asked in list(self._asked.items()):
            claim = asked.claim
            if now >= claim.deadline:
                del self._asked[ticket]
                self._arrived.append(Rejected(ticket, Rejection.EXPIRED, 0.0))
                continue
            owner = self._owner_of(claim.service)
            if owner == asked.owner and now - asked.asked_at < ASK_AGAIN_S:
                continue
            if owner == asked.owner and asked.waits:
                asked.asked_at = now
                continue
            self._ask_next(ticket, asked, owner, now)

    def _ask_next(self, ticket, asked, owner, now):
        """Ask the present owner, which may be another one by now, or ourselves."""
        if owner == self._me:
            del self._asked[ticket]
            verdict = self._pool.claim(asked.claim, now)
            if not isinstance(verdict, Waiting):
                self._arrived += self._sort([verdict], now)
            return
        asked.owner, asked.asked_at, asked.waits = owner, now, False
        self._ask(asked.claim, owner, now)

    def _end_leases(self, now):
        over = [ticket for ticket, given in self._given.items() if now > given.until]
        for ticket in over:
            self.take_release(SlotRelease(ticket, ReleaseKind.CANCELLED), now)

    def _sort(self, verdicts, now):
        """Send away the verdicts on others' claims; return those on ours."""
        own = []
        for verdict in verdicts:
            if verdict.ticket in self._given:
                self._decided(verdict)
                continue
            if isinstance(verdict, Granted):
                self._held[verdict.ticket] = self._me
            own.append(verdict)
        return own

    def _decided(self, verdict):
        given = self._given[verdict.ticket]
        if isinstance(verdict, Granted):
            given.target = verdict.target
        if isinstance(verdict, Rejected):
            del self._given[verdict.ticket]
            kind = _VERDICT_KINDS[verdict.reason]
            backlog_ms = int(verdict.backlog_s * MS_PER_S)
            answer = SlotVerdict(verdict.ticket, kind, "", backlog_ms)
            self._send(given.peer, answer)
            return
        self._tell(given, verdict.ticket)

    def _tell(self, given, ticket):
        kind = VerdictKind.GRANTED if given.target else VerdictKind.WAITING
        self._send(given.peer, SlotVerdict(ticket, kind, given.target))
