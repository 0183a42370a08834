"""Answers of targets: which exchange they belong to, and what the caller sees."""

from dataclasses import dataclass

from returns.pipeline import is_successful

from . import coap
from .coap import Header, Response
from .datagrams import Datagram, answer_packet, read_datagram, with_payload
from .decisions import Cause, Decision, Pass, Return
from .exchanges import Exchange, ExchangeTable, Phase
from .slots import Outcome

#: Phases in which an answer may go to the caller, again if it went before.
LISTENING = (Phase.SENT, Phase.WATCHED, Phase.ANSWERED)


@dataclass(frozen=True, slots=True)
class Answer:
    """A packet of a target, read; without an exchange it goes no further.

    ``outcome`` is what it tells of the target, None if nothing. ``decisions``
    are to be carried out whatever becomes of the answer.
    """

    exchange: Exchange | None = None
    cause: Cause | None = None
    header: Header | None = None
    datagram: Datagram | None = None
    options: Response | None = None
    outcome: Outcome | None = None
    decisions: tuple[Decision, ...] = ()


class AnswerReader:
    """Matches answers to exchanges, and words them for the caller."""

    def __init__(self, exchanges: ExchangeTable):
        self._exchanges = exchanges

    def read(self, flow: bytes, packet: bytes, now: float) -> Answer:
        """Find out what a packet of a target answers."""
        datagram = read_datagram(packet)
        header = datagram.bind(lambda read: coap.read_header(read.payload))
        if not is_successful(header):
            return Answer(cause=Cause.MALFORMED)
        datagram, header = datagram.unwrap(), header.unwrap()
        if header.is_empty:
            return self._read_empty(flow, header, datagram)
        if not header.is_response:
            return Answer(cause=Cause.MALFORMED)
        exchange = self._exchanges.by_wire_token(flow, header.token)
        if exchange is None:
            return Answer(cause=Cause.NO_EXCHANGE)
        if header.token != exchange.wire_token or exchange.phase not in LISTENING:
            return self._late(exchange, header)
        options = coap.read_response(datagram.payload)
        if not is_successful(options):
            return Answer(cause=Cause.MALFORMED)
        exchange.heard_at = now
        options = options.unwrap()
        outcome = _outcome(header, options)
        return Answer(exchange, None, header, datagram, options, outcome)

    def deliver(self, answer: Answer, now: float) -> list[Decision]:
        """Word an answer for the caller, and note what it means."""
        exchange = answer.exchange
        if answer.header is None or exchange.phase not in LISTENING:
            return []
        if answer.header.is_empty:
            return self._deliver_empty(answer, now)
        data = self._worded(answer)
        if exchange.phase is not Phase.ANSWERED:
            self._note(answer, data, now)
        return [Return(data)]

    def _read_empty(self, flow, header, datagram):
        exchange = self._exchanges.by_mid(flow, header.mid)
        if exchange is None or header.type == coap.Type.CON:
            return Answer(cause=Cause.NO_EXCHANGE)
        if exchange.phase is not Phase.SENT or exchange.attempt:
            return Answer(cause=Cause.LATE_ANSWER)
        rejected = header.type == coap.Type.RST
        outcome = Outcome.CANCELLED if rejected else None
        return Answer(exchange, None, header, datagram, None, outcome)

    def _deliver_empty(self, answer, now):
        if answer.header.type == coap.Type.RST:
            self._exchanges.end(answer.exchange, Phase.ANSWERED, now)
            answer.exchange.answer = answer.datagram.packet
        else:
            answer.exchange.acknowledged = True
        return [Return(answer.datagram.packet)]

    def _late(self, exchange, header):
        """Keep a late answer from the caller, and quiet the target that repeats it."""
        decisions = ()
        if header.type == coap.Type.CON:
            rejection = coap.empty(coap.Type.RST, header.mid)
            target = exchange.wire_tokens[header.token]
            decisions = (Pass(target, request_packet(exchange.flow, rejection)),)
        present = header.token == exchange.wire_token
        return Answer(
            exchange=exchange if present else None,
            cause=Cause.LATE_ANSWER,
            outcome=Outcome.GOOD if present else None,
            decisions=decisions,
        )

    def _worded(self, answer):
        exchange, header = answer.exchange, answer.header
        mid, kind = header.mid, coap.Type(header.type)
        if kind is coap.Type.ACK and exchange.acknowledged and exchange.attempt:
            kind = coap.Type.NON
        if kind in (coap.Type.CON, coap.Type.NON):
            mid = exchange.caller_mid(header.mid)
            self._exchanges.index_mid(exchange, mid)
        token = exchange.header.token
        message = coap.renamed(answer.datagram.payload, token, mid, kind)
        return with_payload(answer.datagram, message)

    def _note(self, answer, data, now):
        exchange = answer.exchange
        goes_on = answer.options.observe is not None and answer.header.code < 128
        if exchange.is_watch and goes_on:
            exchange.phase = Phase.WATCHED
            return
        exchange.answer = data
        self._exchanges.end(exchange, Phase.ANSWERED, now)


def request_packet(flow: bytes, message: bytes) -> bytes:
    """Return a packet from the caller of ``flow`` to the service."""
    reverse = flow[4:8] + flow[0:4] + flow[10:12] + flow[8:10] + flow[12:]
    return answer_packet(reverse, message)


def _outcome(header, options):
    if options.shed:
        return Outcome.SHED
    if header.code >= 160:
        return Outcome.FAILED
    return Outcome.GOOD
