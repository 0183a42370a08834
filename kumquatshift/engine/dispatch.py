"""Dispatch of exchanges to targets: slots, attempts, deadlines and refusals."""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from ..errors import ErrorKind
from . import coap
from .datagrams import Datagram, with_payload
from .decisions import Cause, Decision, Queue, ReplicateAndForward
from .exchanges import Exchange, ExchangeTable, Phase
from .objects import Profile
from .ports import Randomness
from .priority import Claim
from .refusals import Refusals, record_fields_of
from .retries import RetryBudget
from .slots import Granted, Outcome, Rejection, SlotPool, Verdict, Waiting

#: Share of the request timeout after which an idempotent request is retried
#: on another target.
ATTEMPT_TIMEOUT_SHARE = 0.3

#: A standby sees no traffic of a watch, so it keeps the watch for this multiple of
#: the idle timeout.
STANDBY_IDLE_FACTOR = 2

SALT_RANGE = 1 << 32

REJECTION_CAUSES = {
    Rejection.NO_TARGET: Cause.NO_TARGET,
    Rejection.QUEUE_FULL: Cause.BACKLOG,
    Rejection.TOO_LATE: Cause.TOO_LATE,
    Rejection.EXPIRED: Cause.EXPIRED_WAITING,
}


class FlowAuthority(Protocol):
    """Whether this entry may decide on the requests of a flow.

    All flows of a service should have the same primary, so that the slots of
    its targets are counted in one place.
    """

    def is_primary(self, flow: bytes) -> bool:
        """Return whether this entry is the flow's primary."""
        ...

    def has_quorum(self, flow: bytes) -> bool:
        """Return whether no other entry can have decided, or can decide now.

        True while at least two of the flow's three holders, including this
        entry if it is one, are reachable and have run for
        `Profile.repeat_span_s`. Each decision passes all reachable holders, so
        any two decisions share a holder that sees both. An entry that has just
        started is a non-voter, but may decide while the other two holders are
        voters.
        """
        ...


@dataclass
class Dispatcher:
    """Sends exchanges to targets, or refuses them; times are in seconds."""

    profiles: dict[str, Profile]
    pool: SlotPool
    authority: FlowAuthority
    randomness: Randomness
    exchanges: ExchangeTable
    refusals: Refusals
    counts: Counter = field(default_factory=Counter)
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)
    _claims: dict[bytes, tuple[Claim, Exchange]] = field(default_factory=dict)
    _checks: list[tuple[float, int, Exchange]] = field(default_factory=list)
    _sequence: Iterator[int] = field(default_factory=count)

    def profile(self, service: str) -> Profile:
        """Return the profile of a service, or the default one if it was removed."""
        return self.profiles.get(service) or Profile(service)

    def assign(self, exchange: Exchange, pinned: str, now: float) -> list[Decision]:
        """Claim a slot for a new exchange, at the target ``pinned`` if given."""
        if not self._may_forward(exchange):
            return [self.refuse_outcome_unknown(exchange, now)]
        claim = self._claim(exchange, pinned)
        return self._apply_verdict(exchange, claim, self.pool.claim(claim, now), now)

    def tick(self, now: float) -> list[Decision]:
        """Handle expired claims and the checks that are due."""
        decisions = self._apply_verdicts(self.pool.tick(now), now)
        while self._checks and self._checks[0][0] <= now:
            decisions += self._check(heapq.heappop(self._checks)[2], now)
        return decisions

    def schedule_check(self, exchange: Exchange, at: float):
        """Schedule a check of an exchange."""
        heapq.heappush(self._checks, (at, next(self._sequence), exchange))

    def release(
        self, exchange: Exchange, outcome: Outcome | None, now: float, max_age_s=0.0
    ) -> list[Decision]:
        """Release the slot of an exchange, and dispatch queued exchanges."""
        if not exchange.holds_slot or outcome is None:
            return []
        exchange.holds_slot = False
        freed = self.pool.release(exchange.claim_id, outcome, now, max_age_s)
        return self._apply_verdicts(freed, now)

    def abandon(self, exchange: Exchange, now: float):
        """Cancel an exchange; a slot stays in use until an answer or a timeout."""
        waiting = self._claims.pop(exchange.claim_id, None)
        if waiting is not None:
            self.pool.withdraw(waiting[0])
        if exchange.phase.is_open:
            self.exchanges.end(exchange, Phase.ABANDONED, now)

    def retry(self, exchange: Exchange, now: float) -> list[Decision]:
        """Retry on another target if the budget and the slots allow; [] if not."""
        if exchange.phase is not Phase.SENT or exchange.datagram is None:
            return []
        if now >= exchange.deadline or not self._may_forward(exchange):
            return []
        budget = self._budget(exchange.service)
        if not budget.take():
            return []
        exchange.attempt += 1
        verdict = self.pool.claim(self._claim(exchange), now, wait=False)
        if not isinstance(verdict, Granted):
            exchange.attempt -= 1
            budget.refund()
            return []
        self.counts[Cause.RETRIED] += 1
        return self._send(exchange, verdict.target, now)

    def give_up(self, exchange: Exchange, cause: Cause, now: float) -> list[Decision]:
        """Refuse an open exchange that gets no answer, if this entry is the primary."""
        if not exchange.phase.is_open:
            return []
        if not self.authority.is_primary(exchange.flow):
            self.exchanges.end(exchange, Phase.ABANDONED, now)
            return []
        kind = ErrorKind.OUTCOME_UNKNOWN
        if exchange.phase is Phase.WATCHED:
            kind = ErrorKind.UNAVAILABLE
            exchange.acknowledged = True
        elif exchange.is_idempotent:
            kind = ErrorKind.TIMEOUT
        return [self.refuse(exchange, kind, cause, now)]

    def refuse_outcome_unknown(self, exchange: Exchange, now: float) -> Decision:
        """Refuse a request that another entry may have forwarded."""
        return self.refuse(exchange, ErrorKind.OUTCOME_UNKNOWN, Cause.UNSURE, now)

    def refuse_unsent(
        self, exchange: Exchange, cause: Cause, now: float, backlog_s: float = 0.0
    ) -> Decision:
        """Refuse a request that this entry never forwarded.

        A non-idempotent request is refused as "not run" only if no other entry
        can have forwarded it. An idempotent one is refused with a time to retry,
        which makes no statement on whether it ran.
        """
        kind = ErrorKind.OVERLOADED
        if cause is Cause.NO_TARGET:
            kind = ErrorKind.UNAVAILABLE
        if not exchange.is_idempotent:
            certain = self._may_forward(exchange)
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
        """Refuse an exchange, and store it as refused."""
        refusal = self.refusals.refuse(exchange, kind, cause, backlog_s)
        self.exchanges.add(exchange)
        self.exchanges.end(exchange, Phase.REFUSED, now)
        return refusal

    def rewrite_for_target(
        self, exchange: Exchange, datagram: Datagram, mid: int
    ) -> bytes:
        """Return the caller's packet with the token and message id for the target."""
        message = coap.rewrite_header(datagram.payload, exchange.target_token, mid)
        return with_payload(datagram, message)

    def _may_forward(self, exchange):
        if exchange.is_idempotent:
            return self.authority.is_primary(exchange.flow)
        certain = self.authority.has_quorum(exchange.flow)
        return certain and self.authority.is_primary(exchange.flow)

    def _claim(self, exchange, pinned=""):
        return Claim(
            exchange.claim_id,
            exchange.service,
            self.profile(exchange.service).priority,
            exchange.deadline,
            pinned,
            exchange.tried_targets,
        )

    def _apply_verdicts(self, verdicts: list[Verdict], now):
        decisions = []
        for verdict in verdicts:
            claim, exchange = self._claims.pop(verdict.claim_id)
            decisions += self._apply_verdict(exchange, claim, verdict, now)
        return decisions

    def _apply_verdict(self, exchange, claim, verdict, now):
        if isinstance(verdict, Granted):
            exchange.holds_slot = True
            return self._send_if_allowed(exchange, verdict.target, now)
        if isinstance(verdict, Waiting):
            self._claims[claim.claim_id] = (claim, exchange)
            self.exchanges.add(exchange)
            return [Queue(exchange.key)]
        if not self.authority.is_primary(exchange.flow):
            self.abandon(exchange, now)
            return []
        cause = REJECTION_CAUSES[verdict.reason]
        return [self.refuse_unsent(exchange, cause, now, verdict.backlog_s)]

    def _send_if_allowed(self, exchange, target, now):
        """Send an exchange, unless this entry has lost authority over its flow."""
        if self._may_forward(exchange):
            self._budget(exchange.service).record_first_attempt()
            return self._send(exchange, target, now)
        freed = self.release(exchange, Outcome.CANCELLED, now)
        if self.authority.is_primary(exchange.flow):
            return [self.refuse_outcome_unknown(exchange, now), *freed]
        self.abandon(exchange, now)
        return freed

    def _send(self, exchange, target, now):
        exchange.holds_slot = True
        exchange.target_limit = self.pool.limit_of(target)
        exchange.start_attempt(target, self.randomness.randrange(SALT_RANGE), now)
        self.exchanges.add(exchange)
        self.schedule_check(exchange, now + self._attempt_timeout_s(exchange))
        data = self.rewrite_for_target(exchange, exchange.datagram, exchange.header.mid)
        return [ReplicateAndForward(record_fields_of(exchange), data)]

    def _check(self, exchange, now):
        """Check an exchange for its deadline, a retry or the end of a watch."""
        if exchange.phase is Phase.WATCHED:
            return self._check_watch(exchange, now)
        if now >= exchange.deadline:
            given_up = self.give_up(exchange, Cause.EXPIRED_SENT, now)
            return given_up + self.release(exchange, Outcome.LOST, now)
        if exchange.phase is not Phase.SENT and not exchange.holds_slot:
            return []
        retried = self._retry_overdue(exchange, now)
        if not retried:
            next_check_at = min(
                exchange.deadline, now + self._attempt_timeout_s(exchange)
            )
            self.schedule_check(exchange, next_check_at)
        return retried

    def _retry_overdue(self, exchange, now):
        if exchange.phase is not Phase.SENT or not exchange.is_idempotent:
            return []
        if now - exchange.sent_at < self._attempt_timeout_s(exchange):
            return []
        claim_id = exchange.claim_id
        retried = self.retry(exchange, now)
        if not retried:
            return []
        freed = self.pool.release(claim_id, Outcome.LOST, now)
        return retried + self._apply_verdicts(freed, now)

    def _check_watch(self, exchange, now):
        profile = self.profile(exchange.service)
        factor = 1 if self.authority.is_primary(exchange.flow) else STANDBY_IDLE_FACTOR
        timeout_s = profile.idle_timeout_s * factor
        if not exchange.is_watch:
            timeout_s = profile.request_timeout_s
        if now < exchange.last_packet_at + timeout_s:
            self.schedule_check(exchange, exchange.last_packet_at + timeout_s)
        else:
            self.exchanges.end(exchange, Phase.ANSWERED, now)
        return []

    def _attempt_timeout_s(self, exchange):
        return self.profile(exchange.service).request_timeout_s * ATTEMPT_TIMEOUT_SHARE

    def _budget(self, service):
        share = self.profile(service).retry_share
        return self._budgets.setdefault(service, RetryBudget(share))
