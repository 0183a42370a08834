"""From exchange to target: slots, tries, deadlines and refusals."""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from ..errors import ErrorKind
from . import coap
from .datagrams import Datagram, with_payload
from .decisions import Cause, Decision, Forward, Queue
from .exchanges import Exchange, ExchangeTable, Phase
from .objects import Profile
from .ports import Randomness
from .priority import Claim
from .refusals import Refusals, note_of
from .retries import RetryBudget
from .slots import Granted, Outcome, Rejection, SlotPool, Verdict, Waiting

#: Part of the request's time after which an idempotent one is tried elsewhere.
TRY_SHARE = 0.3

#: A standby hears nothing of a watch, and keeps it this many idle times long.
STANDBY_IDLE_TIMES = 2

SALT_RANGE = 1 << 32

CAUSES = {
    Rejection.NO_TARGET: Cause.NO_TARGET,
    Rejection.QUEUE_FULL: Cause.BACKLOG,
    Rejection.TOO_LATE: Cause.TOO_LATE,
    Rejection.EXPIRED: Cause.EXPIRED_WAITING,
}


class Standing(Protocol):
    """What the entry knows of its own part in a flow.

    All flows of one service should have the same primary: the slots of its
    targets are then counted in one place.
    """

    def is_primary(self, flow: bytes) -> bool:
        """Tell whether this entry decides for the flow now."""
        ...

    def is_certain(self, flow: bytes) -> bool:
        """Tell whether no other entry can have decided, or can now decide.

        True while at least two of the flow's three holders, this one included
        if it is one, are in reach and have run for `Profile.repeat_span_s`: each
        decision passes all holders in reach, so any two decisions pass one
        that sees both. An entry that has just started is no witness, but it
        may decide while the other two are.
        """
        ...


@dataclass
class Dispatcher:
    """Takes exchanges to targets, or to their refusal; times are in seconds."""

    profiles: dict[str, Profile]
    pool: SlotPool
    standing: Standing
    randomness: Randomness
    exchanges: ExchangeTable
    refusals: Refusals
    counts: Counter = field(default_factory=Counter)
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)
    _claims: dict[bytes, tuple[Claim, Exchange]] = field(default_factory=dict)
    _due: list[tuple[float, int, Exchange]] = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=count)

    def profile(self, service: str) -> Profile:
        """Return the profile of a service; the default one once it is gone."""
        return self.profiles.get(service) or Profile(service)

    def place(self, exchange: Exchange, pinned: str, now: float) -> list[Decision]:
        """Claim a slot for a new exchange, of the target ``pinned`` if given."""
        if not self._may_run(exchange):
            return [self.refuse_unsure(exchange, now)]
        claim = self._claim(exchange, pinned)
        return self._settle(exchange, claim, self.pool.claim(claim, now), now)

    def tick(self, now: float) -> list[Decision]:
        """Decide what time alone decides."""
        decisions = self._settle_all(self.pool.tick(now), now)
        while self._due and self._due[0][0] <= now:
            decisions += self._check(heapq.heappop(self._due)[2], now)
        return decisions

    def watch_out(self, exchange: Exchange, at: float):
        """Look at an exchange again at a time."""
        heapq.heappush(self._due, (at, next(self._order), exchange))

    def release(
        self, exchange: Exchange, outcome: Outcome | None, now: float, max_age_s=0.0
    ) -> list[Decision]:
        """Give the slot of an exchange back, and place who waited for it."""
        if not exchange.holds_slot or outcome is None:
            return []
        exchange.holds_slot = False
        freed = self.pool.release(exchange.ticket, outcome, now, max_age_s)
        return self._settle_all(freed, now)

    def abandon(self, exchange: Exchange, now: float):
        """Forget the caller's interest; a slot stays taken until the target ends."""
        waiting = self._claims.pop(exchange.ticket, None)
        if waiting is not None:
            self.pool.withdraw(waiting[0])
        if exchange.phase.is_open:
            self.exchanges.end(exchange, Phase.ABANDONED, now)

    def retry(self, exchange: Exchange, now: float) -> list[Decision]:
        """Try another target, if budget and slots allow; [] if not."""
        if exchange.phase is not Phase.SENT or exchange.datagram is None:
            return []
        if now >= exchange.deadline or not self._may_run(exchange):
            return []
        budget = self._budget(exchange.service)
        if not budget.take():
            return []
        exchange.attempt += 1
        verdict = self.pool.claim(self._claim(exchange), now, wait=False)
        if not isinstance(verdict, Granted):
            exchange.attempt -= 1
            budget.put_back()
            return []
        self.counts[Cause.RETRIED] += 1
        return self._send(exchange, verdict.target, now)

    def give_up(self, exchange: Exchange, cause: Cause, now: float) -> list[Decision]:
        """Tell the caller that no answer will come, if that is for us to say."""
        if not exchange.phase.is_open:
            return []
        if not self.standing.is_primary(exchange.flow):
            self.exchanges.end(exchange, Phase.ABANDONED, now)
            return []
        kind = ErrorKind.OUTCOME_UNKNOWN
        if exchange.phase is Phase.WATCHED:
            kind = ErrorKind.UNAVAILABLE
            exchange.acknowledged = True
        elif exchange.is_idempotent:
            kind = ErrorKind.TIMEOUT
        return [self.refuse(exchange, kind, cause, now)]

    def refuse_unsure(self, exchange: Exchange, now: float) -> Decision:
        """Refuse a request that another entry may have passed on."""
        return self.refuse(exchange, ErrorKind.OUTCOME_UNKNOWN, Cause.UNSURE, now)

    def refuse_unsent(
        self, exchange: Exchange, cause: Cause, now: float, backlog_s: float = 0.0
    ) -> Decision:
        """Refuse a request that this entry never passed on.

        "Not run" is said of requests that may not run twice, and only with
        certainty; any other one is told to come back, which claims nothing.
        """
        kind = ErrorKind.OVERLOADED
        if cause is Cause.NO_TARGET:
            kind = ErrorKind.UNAVAILABLE
        if not exchange.is_idempotent:
            certain = self._may_run(exchange)
            kind = ErrorKind.NOT_RUN if certain else ErrorKind.OUTCOME_UNKNOWN
        return self.refuse(exchange, kind, cause, now, backlog_s)

    def refuse(
        self,
        exchange: Exchange,
        kind: ErrorKind,
        cause: Cause,
        now: float,
        backlog_s: float = 0.0,
    ) -> Decision:
        """Refuse an exchange, and remember it as refused."""
        refusal = self.refusals.refuse(exchange, kind, cause, backlog_s)
        self.exchanges.add(exchange)
        self.exchanges.end(exchange, Phase.REFUSED, now)
        return refusal

    def worded(self, exchange: Exchange, datagram: Datagram, mid: int) -> bytes:
        """Return the caller's packet as the target is to see it."""
        message = coap.renamed(datagram.payload, exchange.wire_token, mid)
        return with_payload(datagram, message)

    def _may_run(self, exchange):
        if exchange.is_idempotent:
            return self.standing.is_primary(exchange.flow)
        certain = self.standing.is_certain(exchange.flow)
        return certain and self.standing.is_primary(exchange.flow)

    def _claim(self, exchange, pinned=""):
        return Claim(
            exchange.ticket,
            exchange.service,
            self.profile(exchange.service).priority,
            exchange.deadline,
            pinned,
            exchange.tried,
        )

    def _settle_all(self, verdicts: list[Verdict], now):
        decisions = []
        for verdict in verdicts:
            claim, exchange = self._claims.pop(verdict.ticket)
            decisions += self._settle(exchange, claim, verdict, now)
        return decisions

    def _settle(self, exchange, claim, verdict, now):
        if isinstance(verdict, Granted):
            exchange.holds_slot = True
            return self._send_if_allowed(exchange, verdict.target, now)
        if isinstance(verdict, Waiting):
            self._claims[claim.ticket] = (claim, exchange)
            self.exchanges.add(exchange)
            return [Queue(exchange.key)]
        if not self.standing.is_primary(exchange.flow):
            self.abandon(exchange, now)
            return []
        cause = CAUSES[verdict.reason]
        return [self.refuse_unsent(exchange, cause, now, verdict.backlog_s)]

    def _send_if_allowed(self, exchange, target, now):
        """Pass on what has waited, unless the flow has moved on in the meantime."""
        if self._may_run(exchange):
            self._budget(exchange.service).first_try()
            return self._send(exchange, target, now)
        freed = self.release(exchange, Outcome.CANCELLED, now)
        if self.standing.is_primary(exchange.flow):
            return [self.refuse_unsure(exchange, now), *freed]
        self.abandon(exchange, now)
        return freed

    def _send(self, exchange, target, now):
        exchange.holds_slot = True
        exchange.target_limit = self.pool.limit_of(target)
        exchange.next_try(target, self.randomness.randrange(SALT_RANGE), now)
        self.exchanges.add(exchange)
        self.watch_out(exchange, now + self._try_s(exchange))
        data = self.worded(exchange, exchange.datagram, exchange.header.mid)
        return [Forward(note_of(exchange), data)]

    def _check(self, exchange, now):
        """Look at an exchange whose time may have come."""
        if exchange.phase is Phase.WATCHED:
            return self._check_watch(exchange, now)
        if now >= exchange.deadline:
            told = self.give_up(exchange, Cause.EXPIRED_SENT, now)
            return told + self.release(exchange, Outcome.LOST, now)
        if exchange.phase is not Phase.SENT and not exchange.holds_slot:
            return []
        retried = self._retry_overdue(exchange, now)
        if not retried:
            next_look = min(exchange.deadline, now + self._try_s(exchange))
            self.watch_out(exchange, next_look)
        return retried

    def _retry_overdue(self, exchange, now):
        if exchange.phase is not Phase.SENT or not exchange.is_idempotent:
            return []
        if now - exchange.sent_at < self._try_s(exchange):
            return []
        ticket = exchange.ticket
        retried = self.retry(exchange, now)
        if not retried:
            return []
        freed = self.pool.release(ticket, Outcome.LOST, now)
        return retried + self._settle_all(freed, now)

    def _check_watch(self, exchange, now):
        profile = self.profile(exchange.service)
        times = 1 if self.standing.is_primary(exchange.flow) else STANDBY_IDLE_TIMES
        quiet_s = profile.idle_timeout_s * times
        if not exchange.is_watch:
            quiet_s = profile.request_timeout_s
        if now < exchange.heard_at + quiet_s:
            self.watch_out(exchange, exchange.heard_at + quiet_s)
        else:
            self.exchanges.end(exchange, Phase.ANSWERED, now)
        return []

    def _try_s(self, exchange):
        return self.profile(exchange.service).request_timeout_s * TRY_SHARE

    def _budget(self, service):
        share = self.profile(service).retry_share
        return self._budgets.setdefault(service, RetryBudget(share))
