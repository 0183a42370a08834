"""Exchanges: one request each, with all that is needed to match its answers."""

import struct
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

from ..errors import ErrorKind
from .coap import MESSAGE_IDS, PATH_DIGEST_BYTES, Header
from .datagrams import Datagram
from .messages import Record

FLOW_BYTES = 13
WIRE_TOKEN_BYTES = 8
DIGEST_BYTES = 8
MS_PER_S = 1000

#: How long a message id may not be used again (RFC 7252, section 4.8.2).
EXCHANGE_LIFETIME_S = 247.0

#: Messages of the target whose ids are remembered for the caller's ACK or RST.
OPEN_MIDS = 8

LIMIT_MAX = 255

KINDS = list(ErrorKind)
DETAIL = struct.Struct(
    f"!BBBBHBHB{WIRE_TOKEN_BYTES}s{DIGEST_BYTES}s{PATH_DIGEST_BYTES}s"
)


class Phase(IntEnum):
    """Where an exchange stands.

    A watch (RFC 7641) is SENT until its first answer and WATCHED while it
    lives; REFUSED and ANSWERED ones are remembered so that a repeated packet
    is not taken for a new request. The caller of an ABANDONED one cancelled it
    or uses its token again.
    """

    WAITING = 0
    SENT = 1
    WATCHED = 2
    ANSWERED = 3
    REFUSED = 4
    ABANDONED = 5

    @property
    def is_open(self) -> bool:
        """Whether the caller may still get an answer."""
        return self in (Phase.WAITING, Phase.SENT, Phase.WATCHED)


@dataclass(slots=True)
class Exchange:
    """One request of one caller, and what became of it.

    ``wire_token`` is the token that the present target sees. It is different
    for every try, so that no other request's answer, and no answer of an
    earlier try, can be taken for the answer to this one. ``digest`` tells a
    repeated packet from another request that uses the same ids again.
    ``target_limit`` is what the target was allowed in flight at that time, so
    that a standby that takes over knows which targets are warm.
    """

    flow: bytes
    header: Header
    digest: bytes
    born: float
    deadline: float
    service: str = ""
    epoch: int = 0
    attempt: int = 0
    phase: Phase = Phase.WAITING
    target: str = ""
    target_limit: int = 0
    tried: frozenset[str] = frozenset()
    sent_at: float = 0.0
    heard_at: float = 0.0
    wire_token: bytes = b""
    is_watch: bool = False
    path_digest: bytes = b""
    datagram: Datagram | None = None
    acknowledged: bool = False
    answer: bytes = b""
    kind: ErrorKind | None = None
    max_age_s: int = 0
    holds_slot: bool = False
    mids: dict[int, int] = field(default_factory=dict)
    request_mids: list[int] = field(default_factory=list)
    wire_tokens: dict[bytes, str] = field(default_factory=dict)

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run again unharmed."""
        return self.header.is_idempotent

    @property
    def key(self) -> bytes:
        """Flow key and caller's token: the key of the record."""
        return self.flow + self.header.token

    @property
    def age_order(self) -> tuple[int, int]:
        """Tells which of two uses of one token is the later one."""
        return (self.born_ms, self.epoch)

    @property
    def is_live_watch(self) -> bool:
        """Whether this is a watch that a target holds."""
        return self.is_watch and self.phase in (Phase.SENT, Phase.WATCHED)

    @property
    def ticket(self) -> bytes:
        """Name of this try in the slot pool."""
        return self.key + b"/%d/%d" % (self.epoch, self.attempt)

    @property
    def born_ms(self) -> int:
        """Time of the first packet in whole milliseconds."""
        return int(self.born * MS_PER_S)

    @property
    def mid_shift(self) -> int:
        """What is added to ids of the target's own messages for the caller.

        The caller sees several targets as one endpoint, so equal ids of two
        targets would look like one message sent twice.
        """
        return int.from_bytes(self.wire_token[-2:])

    def covers(self, header: Header, digest: bytes) -> bool:
        """Tell whether a packet repeats the request, or a later one of a watch."""
        if header.token != self.header.token:
            return False
        return digest == self.digest or header.mid != self.header.mid

    def next_try(self, target: str, salt: int, now: float):
        """Note that the request now goes to ``target``, under a fresh token."""
        seed = b"%b/%d/%d/%d" % (self.ticket, self.born_ms, salt, len(self.tried))
        self.wire_token = blake2b(seed, digest_size=WIRE_TOKEN_BYTES).digest()
        self.wire_tokens[self.wire_token] = target
        self.target = target
        self.tried |= {target}
        self.phase = Phase.SENT
        self.sent_at = self.heard_at = now

    def caller_mid(self, mid: int) -> int:
        """Translate the id of the target's own message, and remember it."""
        shown = (mid + self.mid_shift) % MESSAGE_IDS
        self.mids[shown] = mid
        while len(self.mids) > OPEN_MIDS:
            del self.mids[next(iter(self.mids))]
        return shown

    def detail(self) -> bytes:
        """Pack what a standby needs to go on with this exchange."""
        kind = 0 if self.kind is None else KINDS.index(self.kind) + 1
        return DETAIL.pack(
            self.phase,
            self.attempt,
            self.header.type,
            self.header.code,
            self.header.mid,
            kind << 1 | self.is_watch,
            self.max_age_s,
            min(LIMIT_MAX, self.target_limit),
            self.wire_token.ljust(WIRE_TOKEN_BYTES, b"\0"),
            self.digest,
            self.path_digest,
        )

    @classmethod
    def from_record(
        cls, record: Record, service: str, timeout_s: float, now: float
    ) -> "Exchange":
        """Unpack an exchange that another entry decided."""
        (phase, attempt, kind_of, code, mid, flags, max_age_s, limit, *digests) = (
            DETAIL.unpack(record.detail)
        )
        wire, digest, path = digests
        token = record.key[FLOW_BYTES:]
        born = record.born_ms / MS_PER_S
        kind = KINDS[(flags >> 1) - 1] if flags >> 1 else None
        return cls(
            flow=record.key[:FLOW_BYTES],
            header=Header(kind_of, code, mid, token),
            digest=digest,
            born=born,
            deadline=born + timeout_s,
            service=service,
            epoch=record.epoch,
            attempt=attempt,
            phase=Phase(phase),
            target=record.target,
            target_limit=limit,
            tried=frozenset({record.target} if record.target else ()),
            sent_at=now,
            heard_at=now,
            wire_token=wire if record.target else b"",
            path_digest=path,
            wire_tokens={wire: record.target},
            is_watch=bool(flags & 1),
            kind=kind,
            max_age_s=max_age_s,
        )


def digest_of(payload: bytes) -> bytes:
    """Sum up a message; a repeated packet has the same bytes (RFC 7252, 4.2)."""
    return blake2b(payload, digest_size=DIGEST_BYTES).digest()


class ExchangeTable:
    """Exchanges of all flows, found by token, by message id or by answer."""

    def __init__(self):
        self._by_key: dict[bytes, Exchange] = {}
        self._by_mid: dict[tuple[bytes, int], Exchange] = {}
        self._by_wire: dict[tuple[bytes, bytes], Exchange] = {}
        self._by_resource: dict[tuple[bytes, bytes], Exchange] = {}
        self._by_caller_mid: dict[tuple[bytes, int], Exchange] = {}
        self._ended: deque[tuple[float, Exchange]] = deque()
        self._open: dict[int, Exchange] = {}

    def __len__(self):
        return len(self._by_key)

    def open(self) -> Iterator[Exchange]:
        """Go through the exchanges that may still get an answer."""
        return iter(list(self._open.values()))

    def by_token(self, flow: bytes, token: bytes) -> Exchange | None:
        """Find the latest exchange with this token."""
        return self._by_key.get(flow + token)

    def by_mid(self, flow: bytes, mid: int) -> Exchange | None:
        """Find the latest exchange whose request had this message id."""
        return self._by_mid.get((flow, mid))

    def by_wire_token(self, flow: bytes, token: bytes) -> Exchange | None:
        """Find the exchange that an answer of a target belongs to."""
        return self._by_wire.get((flow, token))

    def by_caller_mid(self, flow: bytes, mid: int) -> Exchange | None:
        """Find the exchange whose message the caller acknowledges or rejects."""
        return self._by_caller_mid.get((flow, mid))

    def by_resource(self, flow: bytes, path_digest: bytes) -> Exchange | None:
        """Find the latest exchange on a resource that went to a target."""
        return self._by_resource.get((flow, path_digest))

    def add(self, exchange: Exchange):
        """Take an exchange in, or note its next try.

        It stands for its token and its message id from now on, and for its
        resource and its answers once it has gone to a target.
        """
        self._by_key[exchange.key] = exchange
        if exchange.header.mid not in exchange.request_mids:
            self.index_request(exchange, exchange.header.mid)
        if exchange.phase.is_open:
            self._open[id(exchange)] = exchange
        if exchange.phase in (Phase.SENT, Phase.WATCHED):
            self._by_wire[exchange.flow, exchange.wire_token] = exchange
            self._by_resource[exchange.flow, exchange.path_digest] = exchange

    def index_mid(self, exchange: Exchange, mid: int):
        """Let the caller's ACK or RST for the message ``mid`` find the exchange."""
        self._by_caller_mid[exchange.flow, mid] = exchange

    def index_request(self, exchange: Exchange, mid: int):
        """Let repeats of a request find the exchange that it belongs to."""
        self._by_mid[exchange.flow, mid] = exchange
        exchange.request_mids = [*exchange.request_mids[1 - OPEN_MIDS :], mid]

    def end(self, exchange: Exchange, phase: Phase, now: float):
        """Close an exchange; it is forgotten after `EXCHANGE_LIFETIME_S`."""
        exchange.phase = phase
        exchange.datagram = None
        self._open.pop(id(exchange), None)
        self._ended.append((now + EXCHANGE_LIFETIME_S, exchange))

    def forget_ended(self, now: float):
        """Forget exchanges that ended long ago."""
        while self._ended and self._ended[0][0] <= now:
            self._drop(self._ended.popleft()[1])

    def _drop(self, exchange):
        flow = exchange.flow
        _remove(self._by_key, exchange.key, exchange)
        for mid in exchange.request_mids:
            _remove(self._by_mid, (flow, mid), exchange)
        _remove(self._by_resource, (flow, exchange.path_digest), exchange)
        for token in exchange.wire_tokens:
            _remove(self._by_wire, (flow, token), exchange)
        for mid in exchange.mids:
            _remove(self._by_caller_mid, (flow, mid), exchange)


def _remove(index, key, exchange):
    if index.get(key) is exchange:
        del index[key]
