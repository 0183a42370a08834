"""The request policy of a primary: what becomes of each CoAP exchange.

A request that may not run twice is passed on once, by a primary that is
certain of the flow's whole life; a refusal says "not run" only where that
primary never passed the request on. All else is "outcome unknown".
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from returns.pipeline import is_successful

from ..errors import ErrorKind
from . import coap
from .answers import AnswerReader, request_packet
from .coap import Type
from .datagrams import answer_packet, read_datagram
from .decisions import Cause, Decision, Discard, Forward, Pass, Return
from .dispatch import Dispatcher, Standing
from .exchanges import Exchange, ExchangeTable, Phase, digest_of
from .messages import Record
from .objects import Profile
from .ports import Randomness
from .refusals import Refusals, note_of
from .slots import Outcome, SlotPool

#: Latencies kept until they are read; the earliest go first.
MAX_LATENCIES = 10_000


@dataclass(frozen=True, slots=True)
class Latency:
    """How long one request of a service took, from its first packet, in seconds."""

    service: str
    seconds: float


def _few_latencies():
    return deque(maxlen=MAX_LATENCIES)


@dataclass
class RequestPolicy:
    """Decides requests and answers of the flows that this entry is primary of.

    ``flow`` is always the key of the caller's direction. Every call takes the
    time in seconds and returns decisions in the order in which they are to be
    carried out::

        policy = RequestPolicy.from_config(profiles, pool, standing, random.Random())
        for decision in policy.request("booking", flow, packet, clock.seconds()):
            ...

    ``counts`` holds packets that went no further by `Cause`, ``refused`` the
    refusals by (`ErrorKind`, `Cause`); ``latencies`` is emptied by who reads it.
    """

    dispatcher: Dispatcher
    exchanges: ExchangeTable
    answers: AnswerReader
    latencies: deque[Latency] = field(default_factory=_few_latencies)

    @classmethod
    def from_config(
        cls,
        profiles: dict[str, Profile],
        pool: SlotPool,
        standing: Standing,
        randomness: Randomness,
    ) -> "RequestPolicy":
        """Make a policy; ``profiles`` gives the profile of each service by name."""
        table = ExchangeTable()
        refusals = Refusals(randomness)
        dispatcher = Dispatcher(
            dict(profiles), pool, standing, randomness, table, refusals
        )
        return cls(dispatcher, table, AnswerReader(table))

    @property
    def counts(self) -> Counter:
        """Packets that went no further, by cause."""
        return self.dispatcher.counts

    @property
    def refused(self) -> Counter:
        """Refusals, by kind and cause."""
        return self.dispatcher.refusals.counts

    def configure(self, profiles: dict[str, Profile]):
        """Take another configuration; requests that run keep their deadlines."""
        self.dispatcher.profiles = dict(profiles)

    def request(
        self, service: str, flow: bytes, packet: bytes, now: float
    ) -> list[Decision]:
        """Decide a packet from the caller."""
        datagram = read_datagram(packet)
        header = datagram.bind(lambda read: coap.read_header(read.payload))
        if not is_successful(header):
            return [self._discard(Cause.MALFORMED)]
        datagram, header = datagram.unwrap(), header.unwrap()
        if header.is_empty:
            return self._signal(flow, header, now)
        if not header.is_request:
            return [self._discard(Cause.MALFORMED)]
        digest = digest_of(datagram.payload)
        known = self.exchanges.by_mid(flow, header.mid)
        if known is not None and known.covers(header, digest):
            return self._repeat(known, datagram, header.mid)
        return self._begin(service, flow, datagram, header, digest, now)

    def response(self, flow: bytes, packet: bytes, now: float) -> list[Decision]:
        """Decide a packet from a target."""
        answer = self.answers.read(flow, packet, now)
        decisions = list(answer.decisions)
        if answer.cause is not None:
            decisions.append(self._discard(answer.cause))
        exchange = answer.exchange
        if exchange is None:
            return decisions
        if answer.outcome is Outcome.SHED and exchange.phase is Phase.SENT:
            return decisions + self._shed(answer, now)
        if answer.outcome is Outcome.GOOD and exchange.phase is Phase.SENT:
            self.latencies.append(Latency(exchange.service, now - exchange.born))
        decisions += self.answers.deliver(answer, now)
        return decisions + self.dispatcher.release(exchange, answer.outcome, now)

    def adopt(self, service: str, record: Record, now: float) -> bool:
        """Take over what another entry decided; False if it may not go on.

        A holder that has passed on, or seen passed on, the same request
        otherwise keeps to that, and so does one that has told "not run": the
        packet that carried the record must then go no further. Nor must a
        second copy of the packet of a request that may not run twice.
        """
        timeout_s = self.dispatcher.profile(service).request_timeout_s
        fresh = Exchange.from_record(record, service, timeout_s, now)
        self.dispatcher.pool.learn(fresh.target, fresh.target_limit, now)
        known = self.exchanges.by_token(fresh.flow, fresh.header.token)
        if known is None:
            self._take(fresh, now)
            return True
        if known.digest != fresh.digest:
            if fresh.age_order > known.age_order:
                self._replace(known, fresh, now)
            return True
        if known.wire_token and known.wire_token == fresh.wire_token:
            known.heard_at = now
            return known.is_idempotent
        if _stands(known, fresh):
            return False
        self._replace(known, fresh, now)
        return True

    def lose_target(self, target: str, now: float) -> list[Decision]:
        """Give up a target: retry what may be retried, and tell the others."""
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
        """Decide what time alone decides; call it every 50 ms or so."""
        decisions = self.dispatcher.tick(now)
        self.exchanges.forget_ended(now)
        return decisions

    def _signal(self, flow, header, now):
        """Handle an empty message: a ping, or ACK or RST of a target's message."""
        if header.type == Type.CON:
            return [Return(answer_packet(flow, coap.empty(Type.RST, header.mid)))]
        known = self.exchanges.by_caller_mid(flow, header.mid)
        if known is not None:
            data = coap.empty(Type(header.type), known.mids[header.mid])
            if header.type == Type.RST and known.phase is Phase.WATCHED:
                self.exchanges.end(known, Phase.ABANDONED, now)
            return [Pass(known.target, request_packet(flow, data))]
        known = self.exchanges.by_mid(flow, header.mid)
        if header.type == Type.RST and known is not None and known.phase.is_open:
            return self._cancel(known, header, now)
        return [self._discard(Cause.NO_EXCHANGE)]

    def _cancel(self, exchange, header, now):
        was_sent = exchange.phase is not Phase.WAITING
        self.dispatcher.abandon(exchange, now)
        if was_sent:
            data = coap.empty(Type.RST, header.mid)
            return [Pass(exchange.target, request_packet(exchange.flow, data))]
        return [self._discard(Cause.CANCELLED)]

    def _repeat(self, known, datagram, mid):
        """Answer a retransmission from what is known of the exchange.

        One that may not run twice is never passed on again: its target may
        have restarted since, and have forgotten that it ran.
        """
        if known.phase is Phase.REFUSED:
            return [self.dispatcher.refusals.again(known, Cause.REPEATED)]
        if known.answer:
            return [Return(known.answer)]
        if known.phase in (Phase.SENT, Phase.WATCHED) and known.is_idempotent:
            data = self.dispatcher.worded(known, datagram, mid)
            return [Forward(note_of(known), data)]
        return [self._discard(Cause.REPEATED)]

    def _begin(self, service, flow, datagram, header, digest, now):
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
                return [self._renew(earlier, datagram, header, options, now)]
            self.dispatcher.abandon(earlier, now)
            exchange.epoch = earlier.epoch + 1
        exchange.is_watch = options.observe == coap.Observe.REGISTER
        exchange.path_digest = options.path_digest
        return self._place(exchange, options, now)

    def _renew(self, watch, datagram, header, options, now):
        """Pass on a watch's later request, which registers again or ends it."""
        self.exchanges.index_request(watch, header.mid)
        watch.heard_at = now
        if options.observe == coap.Observe.DEREGISTER:
            watch.is_watch = False
            timeout_s = self.dispatcher.profile(watch.service).request_timeout_s
            self.dispatcher.watch_out(watch, now + timeout_s)
        return self._pass(watch, datagram, header.mid)

    def _place(self, exchange, options, now):
        """Find a target; later blocks go where the first one went."""
        if not options.block:
            return self.dispatcher.place(exchange, "", now)
        first = self.exchanges.by_resource(exchange.flow, exchange.path_digest)
        if first is not None:
            return self.dispatcher.place(exchange, first.target, now)
        if exchange.is_idempotent:
            return self.dispatcher.place(exchange, "", now)
        cause = Cause.FIRST_BLOCK_UNKNOWN
        return [self.dispatcher.refuse_unsent(exchange, cause, now)]

    def _shed(self, answer, now):
        """Try another target, since this one says that it did not run it."""
        exchange, target = answer.exchange, answer.exchange.target
        freed = self.dispatcher.release(
            exchange, Outcome.SHED, now, answer.options.max_age_s
        )
        retried = self.dispatcher.retry(exchange, now)
        if not retried:
            return self.answers.deliver(answer, now) + freed
        if answer.header.type == Type.CON:
            data = coap.empty(Type.ACK, answer.header.mid)
            retried.append(Pass(target, request_packet(exchange.flow, data)))
        return retried + freed

    def _take(self, exchange, now):
        """Hold an exchange that another entry decided.

        Whether the caller has had an ACK already is not known here; a separate
        answer reaches it in both cases.
        """
        exchange.acknowledged = True
        if exchange.is_watch and exchange.phase is Phase.SENT:
            exchange.phase = Phase.WATCHED
        self.exchanges.add(exchange)
        if exchange.phase.is_open:
            self.dispatcher.watch_out(exchange, max(now, exchange.deadline))
        else:
            self.exchanges.end(exchange, exchange.phase, now)

    def _replace(self, known, fresh, now):
        self.dispatcher.abandon(known, now)
        self._take(fresh, now)

    def _pass(self, exchange, datagram, mid):
        data = self.dispatcher.worded(exchange, datagram, mid)
        return Pass(exchange.target, data)

    def _discard(self, cause):
        self.counts[cause] += 1
        return Discard(cause)


def _stands(known, fresh):
    """Tell whether what is known of a request rules out another decision."""
    if known.phase is Phase.REFUSED:
        return known.kind is ErrorKind.NOT_RUN and known.kind is not fresh.kind
    if not known.wire_token:
        return False
    return (fresh.epoch, fresh.attempt) <= (known.epoch, known.attempt)
