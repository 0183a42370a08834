"""Answers of targets: matching to exchanges, and translation for the caller."""

from dataclasses import dataclass

from returns.pipeline import is_successful

from . import coap
from .coap import Header, ResponseOptions
from .datagrams import Datagram, packet_to_caller, read_datagram, with_payload
from .decisions import Cause, Decision, ForwardToTarget, ReturnToCaller
from .exchanges import Exchange, ExchangeTable, Phase
from .slots import Outcome

#: Phases in which an answer may be sent to the caller; ANSWERED is for repeats.
DELIVERABLE_PHASES = (Phase.SENT, Phase.WATCHED, Phase.ANSWERED)


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A parsed packet of a target; without an exchange it is not delivered.

    ``outcome`` is the evidence about the target, or None. ``decisions`` are to
    be executed whether or not the answer is delivered.
    """

    exchange: Exchange | None = None
    cause: Cause | None = None
    header: Header | None = None
    datagram: Datagram | None = None
    options: ResponseOptions | None = None
    outcome: Outcome | None = None
    decisions: tuple[Decision, ...] = ()


class AnswerHandler:
    """Matches answers to exchanges, and rewrites them for the caller."""

    def __init__(self, exchanges: ExchangeTable):
        self._exchanges = exchanges

    def read(self, flow: bytes, packet: bytes, now: float) -> TargetAnswer:
        """Parse a packet of a target, and match it to an exchange."""
        datagram = read_datagram(packet)
        header = datagram.bind(lambda read: coap.read_header(read.payload))
        if not is_successful(header):
            return TargetAnswer(cause=Cause.MALFORMED)
        datagram, header = datagram.unwrap(), header.unwrap()
        if header.is_empty:
            return self._read_empty(flow, header, datagram)
        if not header.is_response:
            return TargetAnswer(cause=Cause.MALFORMED)
        exchange = self._exchanges.by_target_token(flow, header.token)
        if exchange is None:
            return TargetAnswer(cause=Cause.NO_EXCHANGE)
        if (
            header.token != exchange.target_token
            or exchange.phase not in DELIVERABLE_PHASES
        ):
            return self._read_late(exchange, header)
        options = coap.read_response(datagram.payload)
        if not is_successful(options):
            return TargetAnswer(cause=Cause.MALFORMED)
        exchange.last_packet_at = now
        options = options.unwrap()
        outcome = _outcome(header, options)
        return TargetAnswer(exchange, None, header, datagram, options, outcome)

    def deliver(self, answer: TargetAnswer, now: float) -> list[Decision]:
        """Rewrite an answer for the caller, and update its exchange."""
        exchange = answer.exchange
        if answer.header is None or exchange.phase not in DELIVERABLE_PHASES:
            return []
        if answer.header.is_empty:
            return self._deliver_empty(answer, now)
        data = self._rewrite_for_caller(answer)
        if exchange.phase is not Phase.ANSWERED:
            self._record_delivery(answer, data, now)
        return [ReturnToCaller(data)]

    def _read_empty(self, flow, header, datagram):
        exchange = self._exchanges.by_mid(flow, header.mid)
        if exchange is None or header.type == coap.Type.CON:
            return TargetAnswer(cause=Cause.NO_EXCHANGE)
        if exchange.phase is not Phase.SENT or exchange.attempt:
            return TargetAnswer(cause=Cause.LATE_ANSWER)
        rejected = header.type == coap.Type.RST
        outcome = Outcome.CANCELLED if rejected else None
        return TargetAnswer(exchange, None, header, datagram, None, outcome)

    def _deliver_empty(self, answer, now):
        if answer.header.type == coap.Type.RST:
            self._exchanges.end(answer.exchange, Phase.ANSWERED, now)
            answer.exchange.answer = answer.datagram.packet
        else:
            answer.exchange.acknowledged = True
        return [ReturnToCaller(answer.datagram.packet)]

    def _read_late(self, exchange, header):
        """Discard a late answer; reply RST to a confirmable one to end its repeats."""
        decisions = ()
        if header.type == coap.Type.CON:
            rejection = coap.empty_message(coap.Type.RST, header.mid)
            target = exchange.target_tokens[header.token]
            decisions = (
                ForwardToTarget(target, packet_to_target(exchange.flow, rejection)),
            )
        is_current = header.token == exchange.target_token
        return TargetAnswer(
            exchange=exchange if is_current else None,
            cause=Cause.LATE_ANSWER,
            outcome=Outcome.GOOD if is_current else None,
            decisions=decisions,
        )

    def _rewrite_for_caller(self, answer):
        exchange, header = answer.exchange, answer.header
        mid, kind = header.mid, coap.Type(header.type)
        if kind is coap.Type.ACK and exchange.acknowledged and exchange.attempt:
            kind = coap.Type.NON
        if kind in (coap.Type.CON, coap.Type.NON):
            mid = exchange.to_caller_mid(header.mid)
            self._exchanges.index_mid(exchange, mid)
        token = exchange.header.token
        message = coap.rewrite_header(answer.datagram.payload, token, mid, kind)
        return with_payload(answer.datagram, message)

    def _record_delivery(self, answer, data, now):
        exchange = answer.exchange
        is_notification = (
            answer.options.observe is not None and answer.header.code < 128
        )
        if exchange.is_watch and is_notification:
            exchange.phase = Phase.WATCHED
            return
        exchange.answer = data
        self._exchanges.end(exchange, Phase.ANSWERED, now)


def packet_to_target(flow: bytes, message: bytes) -> bytes:
    """Return a packet from the caller of ``flow`` to the service."""
    reverse = flow[4:8] + flow[0:4] + flow[10:12] + flow[8:10] + flow[12:]
    return packet_to_caller(reverse, message)


def _outcome(header, options):
    if options.shed:
        return Outcome.SHED
    if header.code >= 160:
        return Outcome.FAILED
    return Outcome.GOOD
