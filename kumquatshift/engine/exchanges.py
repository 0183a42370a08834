"""State of CoAP exchanges, and the table that matches packets to them."""

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
TARGET_TOKEN_BYTES = 8
DIGEST_BYTES = 8
MS_PER_S = 1000

#: Time before a message id may be reused (RFC 7252, section 4.8.2).
EXCHANGE_LIFETIME_S = 247.0

#: Message ids kept for each exchange: those of the latest requests, and those of
#: the target's latest messages, for the caller's ACK or RST.
MAX_REMEMBERED_MIDS = 8

MAX_TARGET_LIMIT = 255

ERROR_KINDS = list(ErrorKind)
DETAIL = struct.Struct(
    f"!BBBBHBHB{TARGET_TOKEN_BYTES}s{DIGEST_BYTES}s{PATH_DIGEST_BYTES}s"
)


class Phase(IntEnum):
    """State of an exchange.

    A watch (an observation of RFC 7641) is SENT until its first answer, and then
    WATCHED until it ends. REFUSED and ANSWERED exchanges are kept so that a
    retransmission is not taken for a new request. An exchange is ABANDONED when
    its caller cancels it or reuses its token, when another entry's decision
    replaces it, or when an entry that is not the flow's primary gives it up.
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
    """One request of one caller, with its state.

    ``target_token`` is the CoAP token sent to the current target. Each attempt
    has its own, so that an answer to another request or to an earlier attempt
    is never matched to this one. ``digest`` distinguishes a retransmission from
    a different request that reuses the same ids. ``target_limit`` is the
    concurrency limit of the target when the request was sent, so that a standby
    that takes over knows which targets are warm.
    """

    flow: bytes
    header: Header
    digest: bytes
    started_at: float
    deadline: float
    service: str = ""
    epoch: int = 0
    attempt: int = 0
    phase: Phase = Phase.WAITING
    target: str = ""
    target_limit: int = 0
    tried_targets: frozenset[str] = frozenset()
    sent_at: float = 0.0
    last_packet_at: float = 0.0
    target_token: bytes = b""
    is_watch: bool = False
    path_digest: bytes = b""
    datagram: Datagram | None = None
    acknowledged: bool = False
    answer: bytes = b""
    kind: ErrorKind | None = None
    max_age_s: int = 0
    holds_slot: bool = False
    target_mids: dict[int, int] = field(default_factory=dict)
    request_mids: list[int] = field(default_factory=list)
    target_tokens: dict[bytes, str] = field(default_factory=dict)

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may safely run more than once."""
        return self.header.is_idempotent

    @property
    def key(self) -> bytes:
        """Key of the exchange's record: the flow key and the caller's token."""
        return self.flow + self.header.token

    @property
    def use_order(self) -> tuple[int, int]:
        """Sort key that orders the uses of one token from old to new."""
        return (self.born_ms, self.epoch)

    @property
    def is_live_watch(self) -> bool:
        """Whether this is a watch that has been sent to a target and not ended."""
        return self.is_watch and self.phase in (Phase.SENT, Phase.WATCHED)

    @property
    def claim_id(self) -> bytes:
        """Id of this attempt's claim in the slot pool."""
        return self.key + b"/%d/%d" % (self.epoch, self.attempt)

    @property
    def born_ms(self) -> int:
        """Arrival time of the first packet in whole milliseconds."""
        return int(self.started_at * MS_PER_S)

    @property
    def caller_mid_offset(self) -> int:
        """Offset added to message ids of the target to make those for the caller.

        The caller sees several targets as one endpoint, so equal message ids
        from two targets would look like a retransmission.
        """
        return int.from_bytes(self.target_token[-2:])

    def matches_request(self, header: Header, digest: bytes) -> bool:
        """Return whether a packet repeats the request, or a later one of a watch."""
        if header.token != self.header.token:
            return False
        return digest == self.digest or header.mid != self.header.mid

    def start_attempt(self, target: str, salt: int, now: float):
        """Record an attempt at ``target``, and generate a new token for it."""
        seed = b"%b/%d/%d/%d" % (
            self.claim_id,
            self.born_ms,
            salt,
            len(self.tried_targets),
        )
        self.target_token = blake2b(seed, digest_size=TARGET_TOKEN_BYTES).digest()
        self.target_tokens[self.target_token] = target
        self.target = target
        self.tried_targets |= {target}
        self.phase = Phase.SENT
        self.sent_at = self.last_packet_at = now

    def to_caller_mid(self, mid: int) -> int:
        """Map a target's message id to one for the caller, and store the mapping."""
        translated = (mid + self.caller_mid_offset) % MESSAGE_IDS
        self.target_mids[translated] = mid
        while len(self.target_mids) > MAX_REMEMBERED_MIDS:
            del self.target_mids[next(iter(self.target_mids))]
        return translated

    def detail(self) -> bytes:
        """Pack the state that a standby needs to take over this exchange."""
        kind = 0 if self.kind is None else ERROR_KINDS.index(self.kind) + 1
        return DETAIL.pack(
            self.phase,
            self.attempt,
            self.header.type,
            self.header.code,
            self.header.mid,
            kind << 1 | self.is_watch,
            self.max_age_s,
            min(MAX_TARGET_LIMIT, self.target_limit),
            self.target_token.ljust(TARGET_TOKEN_BYTES, b"\0"),
            self.digest,
            self.path_digest,
        )

    @classmethod
    def from_record(
        cls, record: Record, service: str, timeout_s: float, now: float
    ) -> "Exchange":
        """Create an exchange from the record of another entry's decision."""
        (phase, attempt, kind_of, code, mid, flags, max_age_s, limit, *digests) = (
            DETAIL.unpack(record.detail)
        )
        token_at_target, digest, path = digests
        token = record.key[FLOW_BYTES:]
        started_at = record.born_ms / MS_PER_S
        kind = ERROR_KINDS[(flags >> 1) - 1] if flags >> 1 else None
        return cls(
            flow=record.key[:FLOW_BYTES],
            header=Header(kind_of, code, mid, token),
            digest=digest,
            started_at=started_at,
            deadline=started_at + timeout_s,
            service=service,
            epoch=record.epoch,
            attempt=attempt,
            phase=Phase(phase),
            target=record.target,
            target_limit=limit,
            tried_targets=frozenset({record.target} if record.target else ()),
            sent_at=now,
            last_packet_at=now,
            target_token=token_at_target if record.target else b"",
            path_digest=path,
            target_tokens={token_at_target: record.target},
            is_watch=bool(flags & 1),
            kind=kind,
            max_age_s=max_age_s,
        )


def message_digest(payload: bytes) -> bytes:
    """Return the digest of a message; retransmissions are identical (RFC 7252, 4.2)."""
    return blake2b(payload, digest_size=DIGEST_BYTES).digest()


class ExchangeTable:
    """Exchanges of all flows, indexed by token, message id and resource."""

    def __init__(self):
        self._by_key: dict[bytes, Exchange] = {}
        self._by_mid: dict[tuple[bytes, int], Exchange] = {}
        self._by_target_token: dict[tuple[bytes, bytes], Exchange] = {}
        self._by_resource: dict[tuple[bytes, bytes], Exchange] = {}
        self._by_caller_mid: dict[tuple[bytes, int], Exchange] = {}
        self._closed: deque[tuple[float, Exchange]] = deque()
        self._open: dict[int, Exchange] = {}

    def __len__(self):
        return len(self._by_key)

    def open(self) -> Iterator[Exchange]:
        """Iterate over the exchanges whose caller may still get an answer."""
        return iter(list(self._open.values()))

    def by_token(self, flow: bytes, token: bytes) -> Exchange | None:
        """Return the latest exchange with this token of the caller."""
        return self._by_key.get(flow + token)

    def by_mid(self, flow: bytes, mid: int) -> Exchange | None:
        """Return the latest exchange with a request of this message id."""
        return self._by_mid.get((flow, mid))

    def by_target_token(self, flow: bytes, token: bytes) -> Exchange | None:
        """Return the exchange to which a target's answer with this token belongs."""
        return self._by_target_token.get((flow, token))

    def by_caller_mid(self, flow: bytes, mid: int) -> Exchange | None:
        """Return the exchange whose message the caller acknowledges or rejects."""
        return self._by_caller_mid.get((flow, mid))

    def by_resource(self, flow: bytes, path_digest: bytes) -> Exchange | None:
        """Return the latest exchange on a resource that was sent to a target."""
        return self._by_resource.get((flow, path_digest))

    def add(self, exchange: Exchange):
        """Add an exchange, or update the indexes after another attempt.

        It is indexed by its token and message id, and once it has been sent to a
        target also by its resource and the token of the attempt.
        """
        self._by_key[exchange.key] = exchange
        if exchange.header.mid not in exchange.request_mids:
            self.index_request(exchange, exchange.header.mid)
        if exchange.phase.is_open:
            self._open[id(exchange)] = exchange
        if exchange.phase in (Phase.SENT, Phase.WATCHED):
            self._by_target_token[exchange.flow, exchange.target_token] = exchange
            self._by_resource[exchange.flow, exchange.path_digest] = exchange

    def index_mid(self, exchange: Exchange, mid: int):
        """Index an exchange by the id of a message that the caller may ACK or reset."""
        self._by_caller_mid[exchange.flow, mid] = exchange

    def index_request(self, exchange: Exchange, mid: int):
        """Index an exchange by a request's message id, to find retransmissions."""
        self._by_mid[exchange.flow, mid] = exchange
        exchange.request_mids = [*exchange.request_mids[1 - MAX_REMEMBERED_MIDS :], mid]

    def end(self, exchange: Exchange, phase: Phase, now: float):
        """Close an exchange; it is removed after `EXCHANGE_LIFETIME_S`."""
        exchange.phase = phase
        exchange.datagram = None
        self._open.pop(id(exchange), None)
        self._closed.append((now + EXCHANGE_LIFETIME_S, exchange))

    def forget_ended(self, now: float):
        """Remove exchanges that were closed more than `EXCHANGE_LIFETIME_S` ago."""
        while self._closed and self._closed[0][0] <= now:
            self._forget(self._closed.popleft()[1])

    def _forget(self, exchange):
        flow = exchange.flow
        _remove_if_same(self._by_key, exchange.key, exchange)
        for mid in exchange.request_mids:
            _remove_if_same(self._by_mid, (flow, mid), exchange)
        _remove_if_same(self._by_resource, (flow, exchange.path_digest), exchange)
        for token in exchange.target_tokens:
            _remove_if_same(self._by_target_token, (flow, token), exchange)
        for mid in exchange.target_mids:
            _remove_if_same(self._by_caller_mid, (flow, mid), exchange)


def _remove_if_same(index, key, exchange):
    if index.get(key) is exchange:
        del index[key]
