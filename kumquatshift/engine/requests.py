"""The request policy: how the primary entry handles each CoAP exchange.

A non-idempotent request is forwarded at most once, and only by a primary with a
quorum of holders that have seen the flow since it began. A refusal says
"not run" only if that primary never forwarded the request; in all other cases
it says "outcome unknown".
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from returns.pipeline import is_successful

from ..errors import ErrorKind
from . import coap
from .answers import AnswerHandler, packet_to_target
from .coap import Type
from .datagrams import packet_to_caller, read_datagram
from .decisions import (
    Cause,
    Decision,
    Discard,
    ForwardToTarget,
    ReplicateAndForward,
    ReturnToCaller,
)
from .dispatch import Dispatcher, FlowAuthority
from .exchanges import Exchange, ExchangeTable, Phase, message_digest
from .messages import Record
from .objects import Profile
from .ports import Randomness
from .refusals import Refusals, record_fields_of
from .slots import Outcome, SlotPool

#: Latencies kept until they are read; the oldest are dropped first.
MAX_LATENCIES = 10_000


@dataclass(frozen=True, slots=True)
class Latency:
    """Time in seconds from a request's first packet to its answer."""

    service: str
    seconds: float


def _bounded_latencies():
    return deque(maxlen=MAX_LATENCIES)


@dataclass
class RequestPolicy:
    """Decides on requests and answers of the flows whose primary is this entry.

    ``flow`` is always the flow key in the direction from the caller. Every call
    takes the time in seconds, and returns decisions in the order in which to
    execute them::

        policy = RequestPolicy.from_config(profiles, pool, authority, random.Random())
        for decision in policy.request("booking", flow, packet, clock.seconds()):
            ...

    ``counts`` holds the number of discarded packets and of retries by `Cause`,
    ``refused`` the number of refusals by (`ErrorKind`, `Cause`). The reader of
    ``latencies`` has to clear it.
    """

    dispatcher: Dispatcher
    exchanges: ExchangeTable
    answers: AnswerHandler
    latencies: deque[Latency] = field(default_factory=_bounded_latencies)

    @classmethod
    def from_config(
        cls,
        profiles: dict[str, Profile],
        pool: SlotPool,
        authority: FlowAuthority,
        randomness: Randomness,
    ) -> "RequestPolicy":
        """Create a policy; ``profiles`` maps service names to profiles."""
        table = ExchangeTable()
        refusals = Refusals(randomness)
        dispatcher = Dispatcher(
            dict(profiles), pool, authority, randomness, table, refusals
        )
        return cls(dispatcher, table, AnswerHandler(table))

    @property
    def counts(self) -> Counter:
        """Number of discarded packets and of retries, by cause."""
        return self.dispatcher.counts

    @property
    def refused(self) -> Counter:
        """Number of refusals, by kind and cause."""
        return self.dispatcher.refusals.counts

    def configure(self, profiles: dict[str, Profile]):
        """Apply a new configuration; open requests keep their deadlines."""
        self.dispatcher.profiles = dict(profiles)

    def request(
        self, service: str, flow: bytes, packet: bytes, now: float
    ) -> list[Decision]:
        """Handle a packet from the caller."""
        datagram = read_datagram(packet)
        header = datagram.bind(lambda read: coap.read_header(read.payload))
        if not is_successful(header):
            return [self._discard(Cause.MALFORMED)]
        datagram, header = datagram.unwrap(), header.unwrap()
        if header.is_empty:
            return self._handle_empty(flow, header, now)
        if not header.is_request:
            return [self._discard(Cause.MALFORMED)]
        digest = message_digest(datagram.payload)
        known = self.exchanges.by_mid(flow, header.mid)
        if known is not None and known.matches_request(header, digest):
            return self._handle_retransmission(known, datagram, header.mid)
        return self._handle_new_request(service, flow, datagram, header, digest, now)

    def response(self, flow: bytes, packet: bytes, now: float) -> list[Decision]:
        """Handle a packet from a target."""
        answer = self.answers.read(flow, packet, now)
        decisions = list(answer.decisions)
        if answer.cause is not None:
            decisions.append(self._discard(answer.cause))
        exchange = answer.exchange
        if exchange is None:
            return decisions
        if answer.outcome is Outcome.SHED and exchange.phase is Phase.SENT:
            return decisions + self._retry_shed(answer, now)
        if answer.outcome is Outcome.GOOD and exchange.phase is Phase.SENT:
            self.latencies.append(Latency(exchange.service, now - exchange.started_at))
        decisions += self.answers.deliver(answer, now)
        return decisions + self.dispatcher.release(exchange, answer.outcome, now)

    def adopt(self, service: str, record: Record, now: float) -> bool:
        """Adopt another entry's decision; False if its packet must be dropped.

        The packet that carried the record must be dropped if this holder knows
        of a different decision on the same request: it was forwarded otherwise,
        or refused as "not run". So must a duplicate of the packet of a
        non-idempotent request.
        """
        timeout_s = self.dispatcher.profile(service).request_timeout_s
        adopted = Exchange.from_record(record, service, timeout_s, now)
        self.dispatcher.pool.learn(adopted.target, adopted.target_limit, now)
        known = self.exchanges.by_token(adopted.flow, adopted.header.token)
        if known is None:
            self._store_adopted(adopted, now)
            return True
        if known.digest != adopted.digest:
            if adopted.use_order > known.use_order:
                self._replace_adopted(known, adopted, now)
            return True
        if known.target_token and known.target_token == adopted.target_token:
            known.last_packet_at = now
            return known.is_idempotent
        if _contradicts(known, adopted):
            return False
        self._replace_adopted(known, adopted, now)
        return True

    def handle_lost_target(self, target: str, now: float) -> list[Decision]:
        """Retry the idempotent requests of a lost target where possible, or give up."""
        decisions = []
        for exchange in self.exchanges.open():
            if exchange.target != target or exchange.phase is Phase.WAITING:
                continue
            decisions += self.dispatcher.release(exchange, Outcome.LOST, now)
            retried = []
            if exchange.is_idempotent:
                retried = self.dispatcher.retry(exchange, now)
            decisions += retried or self.dispatcher.give_up(
                exchange, Cause.TARGET_LOST, now
            )
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Handle timeouts and expired claims; to be called about every 50 ms."""
        decisions = self.dispatcher.tick(now)
        self.exchanges.forget_ended(now)
        return decisions

    def _handle_empty(self, flow, header, now):
        """Handle an empty message: a ping, or an ACK or RST for a target's message."""
        if header.type == Type.CON:
            return [
                ReturnToCaller(
                    packet_to_caller(flow, coap.empty_message(Type.RST, header.mid))
                )
            ]
        known = self.exchanges.by_caller_mid(flow, header.mid)
        if known is not None:
            data = coap.empty_message(Type(header.type), known.target_mids[header.mid])
            if header.type == Type.RST and known.phase is Phase.WATCHED:
                self.exchanges.end(known, Phase.ABANDONED, now)
            return [ForwardToTarget(known.target, packet_to_target(flow, data))]
        known = self.exchanges.by_mid(flow, header.mid)
        if header.type == Type.RST and known is not None and known.phase.is_open:
            return self._cancel(known, header, now)
        return [self._discard(Cause.NO_EXCHANGE)]

    def _cancel(self, exchange, header, now):
        was_sent = exchange.phase is not Phase.WAITING
        self.dispatcher.abandon(exchange, now)
        if was_sent:
            data = coap.empty_message(Type.RST, header.mid)
            return [
                ForwardToTarget(exchange.target, packet_to_target(exchange.flow, data))
            ]
        return [self._discard(Cause.CANCELLED)]

    def _handle_retransmission(self, known, datagram, mid):
        """Answer a retransmission from the state of its exchange.

        A non-idempotent request is never forwarded again: its target may have
        restarted since, and would not recognise the duplicate.
        """
        if known.phase is Phase.REFUSED:
            return [self.dispatcher.refusals.repeat(known, Cause.REPEATED)]
        if known.answer:
            return [ReturnToCaller(known.answer)]
        if known.phase in (Phase.SENT, Phase.WATCHED) and known.is_idempotent:
            data = self.dispatcher.rewrite_for_target(known, datagram, mid)
            return [ReplicateAndForward(record_fields_of(known), data)]
        return [self._discard(Cause.REPEATED)]

    def _handle_new_request(self, service, flow, datagram, header, digest, now):
        timeout_s = self.dispatcher.profile(service).request_timeout_s
        exchange = Exchange(flow, header, digest, now, now + timeout_s, service)
        exchange.datagram = datagram
        options = coap.read_request(datagram.payload)
        if not is_successful(options):
            cause = Cause.MALFORMED
            return [self.dispatcher.refuse(exchange, ErrorKind.BAD_INPUT, cause, now)]
        options = options.unwrap()
        earlier = self.exchanges.by_token(flow, header.token)
        if earlier is not None:
            if earlier.is_live_watch and options.observe is not None:
                return [
                    self._handle_watch_request(earlier, datagram, header, options, now)
                ]
            self.dispatcher.abandon(earlier, now)
            exchange.epoch = earlier.epoch + 1
        exchange.is_watch = options.observe == coap.Observe.REGISTER
        exchange.path_digest = options.path_digest
        return self._assign_target(exchange, options, now)

    def _handle_watch_request(self, watch, datagram, header, options, now):
        """Forward a request that renews or ends an existing watch (RFC 7641)."""
        self.exchanges.index_request(watch, header.mid)
        watch.last_packet_at = now
        if options.observe == coap.Observe.DEREGISTER:
            watch.is_watch = False
            timeout_s = self.dispatcher.profile(watch.service).request_timeout_s
            self.dispatcher.schedule_check(watch, now + timeout_s)
        return self._forward_to_target(watch, datagram, header.mid)

    def _assign_target(self, exchange, options, now):
        """Choose a target; later blocks go to the target of the first block."""
        if not options.block:
            return self.dispatcher.assign(exchange, "", now)
        first = self.exchanges.by_resource(exchange.flow, exchange.path_digest)
        if first is not None:
            return self.dispatcher.assign(exchange, first.target, now)
        if exchange.is_idempotent:
            return self.dispatcher.assign(exchange, "", now)
        cause = Cause.FIRST_BLOCK_UNKNOWN
        return [self.dispatcher.refuse_unsent(exchange, cause, now)]

    def _retry_shed(self, answer, now):
        """Retry on another target, since this one reports that it shed the request."""
        exchange, target = answer.exchange, answer.exchange.target
        freed = self.dispatcher.release(
            exchange, Outcome.SHED, now, answer.options.max_age_s
        )
        retried = self.dispatcher.retry(exchange, now)
        if not retried:
            return self.answers.deliver(answer, now) + freed
        if answer.header.type == Type.CON:
            data = coap.empty_message(Type.ACK, answer.header.mid)
            retried.append(
                ForwardToTarget(target, packet_to_target(exchange.flow, data))
            )
        return retried + freed

    def _store_adopted(self, exchange, now):
        """Store an exchange on which another entry decided.

        It is not known here whether the caller has already received an ACK; a
        separate response (RFC 7252, section 5.2.2) is valid in both cases.
        """
        exchange.acknowledged = True
        if exchange.is_watch and exchange.phase is Phase.SENT:
            exchange.phase = Phase.WATCHED
        self.exchanges.add(exchange)
        if exchange.phase.is_open:
            self.dispatcher.schedule_check(exchange, max(now, exchange.deadline))
        else:
            self.exchanges.end(exchange, exchange.phase, now)

    def _replace_adopted(self, known, adopted, now):
        self.dispatcher.abandon(known, now)
        self._store_adopted(adopted, now)

    def _forward_to_target(self, exchange, datagram, mid):
        data = self.dispatcher.rewrite_for_target(exchange, datagram, mid)
        return ForwardToTarget(exchange.target, data)

    def _discard(self, cause):
        self.counts[cause] += 1
        return Discard(cause)


def _contradicts(known, adopted):
    """Return whether the known state of a request rules out the adopted decision."""
    if known.phase is Phase.REFUSED:
        return known.kind is ErrorKind.NOT_RUN and known.kind is not adopted.kind
    if not known.target_token:
        return False
    return (adopted.epoch, adopted.attempt) <= (known.epoch, known.attempt)
