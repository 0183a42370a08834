"""Messages that entries exchange, as typed values; the adapters encode them."""

from dataclasses import dataclass
from enum import IntEnum


@dataclass(frozen=True, slots=True)
class Record:
    """The target of one flow, as replicated between entries.

    ``key`` is the flow key of `packets.flow_key`, followed by the token for a
    request. ``service`` is the version at which the service was created, so that a
    record is never applied to a recreated service. ``born_ms`` is the wall-clock
    time at which the flow was opened, in milliseconds; ``epoch`` counts openings of
    the same key. A ``tentative`` record may still be superseded by one that another
    entry holds. ``detail`` is the request policy's own state, empty for streams.
    """

    key: bytes
    target: str
    service: int
    born_ms: int
    epoch: int = 0
    tentative: bool = False
    detail: bytes = b""


class Direction(IntEnum):
    """Direction of a relayed packet."""

    TO_TARGET = 0
    TO_CALLER = 1


@dataclass(frozen=True, slots=True)
class Relay:
    """A packet relayed between entries.

    Without a ``record``, the receiver decides on the packet as the flow's primary, or
    forwards it to the primary; ``visited`` lists the entries that have forwarded it.
    Otherwise the receiver merges ``record`` with its own and forwards the packet
    along ``path``; the last entry sends it to the target. The receiver and the first
    ``copies - 1`` entries of ``path`` store the record.
    """

    data: bytes
    direction: Direction
    primary: str = ""
    path: tuple[str, ...] = ()
    visited: tuple[str, ...] = ()
    record: Record | None = None
    copies: int = 0


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Records replicated outside the packet path, all of one service."""

    records: tuple[Record, ...]


class EntryState(IntEnum):
    """Lifecycle state that an entry announces."""

    LIVE = 0
    LEAVING = 1
    JOINING = 2


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of an entry, sent to each peer once a second.

    ``incarnation`` grows with every start. ``heard`` names the peers whose
    heartbeats arrive, so that both ends detect a one-way partition. ``digest`` is
    the digest of the configuration in force, and ``address`` is the address of the
    entry's ports.
    """

    name: str
    domain: str
    incarnation: int
    sequence: int
    state: EntryState
    digest: int
    address: str = ""
    heard: tuple[str, ...] = ()


Message = Relay | RecordBatch | Heartbeat
