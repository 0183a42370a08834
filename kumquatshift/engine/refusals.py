"""Refusals: CoAP error responses with a diagnostic text and a time to retry."""

import math
from collections import Counter
from dataclasses import dataclass, field

from ..errors import ErrorKind
from . import coap
from .coap import MESSAGE_IDS
from .datagrams import packet_to_caller
from .decisions import Cause, RecordFields, Refuse
from .exchanges import Exchange, Phase
from .ports import Randomness

MAX_AGE_MIN_S = 1
MAX_AGE_MAX_S = 60

DIAGNOSTICS = {
    ErrorKind.NOT_RUN: "not run; come back in {} s",
    ErrorKind.OVERLOADED: "busy; come back in {} s",
    ErrorKind.UNAVAILABLE: "no target; come back in {} s",
    ErrorKind.TIMEOUT: "no answer in time; come back in {} s",
    ErrorKind.OUTCOME_UNKNOWN: "outcome unknown",
    ErrorKind.BAD_INPUT: "options cannot be read",
}

#: Kinds whose refusal has a time to retry; the others advise no retry.
KINDS_WITH_MAX_AGE = frozenset(
    {
        ErrorKind.NOT_RUN,
        ErrorKind.OVERLOADED,
        ErrorKind.UNAVAILABLE,
        ErrorKind.TIMEOUT,
    }
)


def record_fields_of(exchange: Exchange) -> RecordFields:
    """Return the record fields that the other holders need for an exchange."""
    return RecordFields(
        exchange.key,
        exchange.target,
        exchange.born_ms,
        exchange.epoch,
        exchange.detail(),
    )


@dataclass
class Refusals:
    """Builds refusals, and counts them by kind and cause."""

    randomness: Randomness
    counts: Counter = field(default_factory=Counter)

    def refuse(
        self, exchange: Exchange, kind: ErrorKind, cause: Cause, backlog_s: float = 0.0
    ) -> Refuse:
        """Refuse an exchange for the first time.

        The time to retry (Max-Age) is random between the backlog and about
        twice the backlog, so that callers don't all retry at once.
        """
        exchange.kind = kind
        exchange.max_age_s = 0
        if kind in KINDS_WITH_MAX_AGE:
            exchange.max_age_s = self._max_age_s(backlog_s)
        self.counts[kind, cause] += 1
        return self.repeat(exchange, cause)

    def repeat(self, exchange: Exchange, cause: Cause) -> Refuse:
        """Build the refusal of an exchange again, with the same content.

        A refusal as "not run" is sent past the other holders each time, since
        an earlier one may not have reached them.
        """
        exchange.phase = Phase.REFUSED
        says_not_run = exchange.kind is ErrorKind.NOT_RUN
        return Refuse(
            exchange.kind,
            cause,
            packet_to_caller(exchange.flow, self._message(exchange)),
            record_fields_of(exchange) if says_not_run else None,
        )

    def _message(self, exchange):
        text = DIAGNOSTICS[exchange.kind].format(exchange.max_age_s)
        separate = exchange.acknowledged or exchange.header.type != coap.Type.CON
        return coap.refusal(
            exchange.header,
            exchange.kind,
            text,
            exchange.max_age_s,
            self.randomness.randrange(MESSAGE_IDS) if separate else None,
        )

    def _max_age_s(self, backlog_s):
        low = max(MAX_AGE_MIN_S, backlog_s)
        spread = (low + 1) * self.randomness.random()
        return min(MAX_AGE_MAX_S, math.ceil(low + spread))
