"""What entries say to each other, as typed values; the codec is elsewhere."""

from dataclasses import dataclass
from enum import IntEnum


@dataclass(frozen=True, slots=True)
class Record:
    """Where one flow lives, as copied between entries.

    ``key`` is the flow key of `packets.flow_key`, followed by the token for a
    request. ``service`` is the version at which the service was created, so a
    record never outlives its service. ``born_ms`` is the wall-clock time of the
    opening in milliseconds; ``epoch`` counts openings of the same key. A
    tentative record is a proposal that no other holder has confirmed yet.
    ``detail`` is the request policy's own state, empty for streams.
    """

    key: bytes
    target: str
    service: int
    born_ms: int
    epoch: int = 0
    tentative: bool = False
    detail: bytes = b""


class Direction(IntEnum):
    """Which way a relayed packet goes."""

    TO_TARGET = 0
    TO_CALLER = 1


@dataclass(frozen=True, slots=True)
class Relay:
    """A packet on its way between entries.

    An empty ``path`` asks the receiver to decide as the flow's primary. Otherwise
    the receiver merges ``record`` with what it holds and passes the packet on
    along ``path``; the last one sends it to the target. The first ``copies``
    of the path keep a copy of the record.
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
    """Records copied outside the packet path; all of one service."""

    records: tuple[Record, ...]


class EntryState(IntEnum):
    """What an entry says of itself."""

    LIVE = 0
    LEAVING = 1
    JOINING = 2


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One entry's sign of life, sent to each peer once a second.

    ``incarnation`` grows with every start; ``heard`` names the peers whose own
    heartbeats arrive, so that a one-way cut is seen from both ends.
    ``digest`` sums up the configuration in force, and ``address`` is where the
    entry's ports are.
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
