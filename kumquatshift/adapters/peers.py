"""Wire formats between entries: heartbeats over UDP, peer updates over HTTP.

A peer update has the objects or changes of a feed that one entry passes on to
another; its path on the wire is ``/news``.
"""

from __future__ import annotations

import json
import socket
import zlib
from collections.abc import Callable
from typing import NamedTuple

from ..direct.calls import (
    NO_REVISION,
    Change,
    FeedStatus,
    Item,
    PeerUpdate,
    Revision,
)
from ..direct.failure_detector import Refutation, Suspect
from ..direct.members import Member, PeerHeartbeat
from ..eras import era_and_number, ordered
from .epoll import Descriptor

NEWS_PATH = b"/news"
RECEIVE_BYTES = 65_536
MAX_DATAGRAMS_PER_READ = 64

# Encoded answers that are cached: one or two for each kind of feed.
MAX_CACHED_ANSWERS = 6

# Holds all targets and the largest configuration that the store keeps.
MAX_UPDATE_BYTES = 16 * 1024 * 1024


# What decoding raises for a message that no entry sends.
MALFORMED = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class UnreadableNewsError(ValueError):
    """The update from another entry could not be decoded."""


class MemberQuery(NamedTuple):
    """Asks for other entries than those of the digest ``known``, if it has one."""

    asker: Member
    known: int | None


class MemberList(NamedTuple):
    """The answer to a member query."""

    members: tuple[Member, ...]


Message = PeerHeartbeat | MemberQuery | MemberList


class HeartbeatPort(Descriptor):
    """Sends and receives heartbeats, member queries and the answers to them."""

    def __init__(
        self,
        reactor,
        address: tuple[str, int],
        on_heartbeat: Callable[[PeerHeartbeat], None],
        on_member_query: Callable[[Member, int | None], tuple[Member, ...]],
        on_members: Callable[[tuple[Member, ...]], None],
    ):
        self.malformed = 0
        self.lost = 0
        self._on_heartbeat = on_heartbeat
        self._on_member_query = on_member_query
        self._on_members = on_members
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self._sock.fileno()

    def send_heartbeat(
        self, heartbeat: PeerHeartbeat, addresses: list[tuple[str, int]]
    ) -> None:
        """Send a heartbeat to each address."""
        statuses = tuple(_pack_status(each) for each in heartbeat.statuses)
        data = json.dumps({"beat": heartbeat._replace(statuses=statuses)}).encode()
        for address in addresses:
            self._send(data, address)

    def send_member_query(
        self, me: Member, known: int, addresses: tuple[tuple[str, int], ...]
    ) -> None:
        """Ask entries which other entries of the domain of ``me`` they know.

        An entry that knows those of the digest ``known`` does not answer.
        """
        data = json.dumps({"question": me, "known": known}).encode()
        for address in addresses:
            self._send(data, address)

    def doRead(self) -> None:  # noqa: N802
        """Receive the pending datagrams."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = self._sock.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self.lost += 1  # ICMP: the port of a peer is closed.
                return
            try:
                message = _parse_message(data)
            except MALFORMED:
                self.malformed += 1
            else:
                self._dispatch(message, sender)

    def _dispatch(self, message: Message, sender: tuple[str, int]) -> None:
        if isinstance(message, PeerHeartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, MemberQuery):
            members = self._on_member_query(message.asker, message.known)
            if members:
                self._send(json.dumps({"members": members}).encode(), sender)
        else:
            self._on_members(message.members)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError:
            self.lost += 1  # Treated as lost in transit; heartbeats repeat.


class PeerUpdateCodec:
    """Encodes and decodes requests for peer updates and the answers to them.

    An answer is the feed status as one line of JSON, followed by the rest as
    zlib-compressed JSON: uncompressed, a large configuration would fill the
    link of a small machine for seconds. All followers of a reader ask for the
    same at once, so an encoded answer is cached.
    """

    def __init__(self):
        self._encoded: dict[tuple, bytes] = {}

    def path(self, kind: str, since: Revision) -> str:
        """Return the path of the updates of a kind of feed after ``since``."""
        return f"{NEWS_PATH.decode()}?{kind}&{_pack_revision(since)}"

    def parse_query(self, query: bytes) -> tuple[str, Revision]:
        """Return the kind and ``since`` of a query; raises `ValueError`."""
        kind, _, since = query.decode().partition("&")
        return kind, _parse_revision(since)

    def encode(self, update: PeerUpdate, since: Revision) -> bytes:
        """Encode an answer for a follower that knows all changes up to ``since``."""
        status = update.status
        key = status.kind, update.is_snapshot, since, status.since, status.changed
        body = self._encoded.get(key)
        if body is None:
            items = [_pack_item(each) for each in update.items]
            changes = [(_pack_item(c.item), c.is_deleted) for c in update.changes]
            text = json.dumps((update.is_snapshot, items, changes)).encode()
            body = zlib.compress(text, level=zlib.Z_BEST_SPEED)
            if len(self._encoded) >= MAX_CACHED_ANSWERS:
                del self._encoded[next(iter(self._encoded))]
            self._encoded[key] = body
        return json.dumps(_pack_status(status)).encode() + b"\n" + body

    def decode(self, body: bytes) -> PeerUpdate:
        """Decode an answer; raises `UnreadableNewsError`."""
        try:
            status, _, rest = body.partition(b"\n")
            is_snapshot, items, changes = json.loads(_inflate(rest))
            return PeerUpdate(
                bool(is_snapshot),
                tuple(_parse_item(each) for each in items),
                tuple(Change(_parse_item(item), bool(gone)) for item, gone in changes),
                _parse_status(json.loads(status)),
            )
        except (*MALFORMED, zlib.error) as exc:
            raise UnreadableNewsError(f"cannot decode peer update: {exc!r}") from exc


def _inflate(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    text = stream.decompress(data, MAX_UPDATE_BYTES)
    if not stream.eof:
        raise ValueError(f"truncated, or longer than {MAX_UPDATE_BYTES} bytes")
    return text


def _parse_message(data: bytes) -> Message:
    """Decode a datagram; raises one of `MALFORMED`."""
    wire = json.loads(data)
    if "beat" in wire:
        return _parse_heartbeat(wire["beat"])
    if "question" in wire:
        return MemberQuery(_parse_member(wire["question"]), wire.get("known"))
    return MemberList(tuple(_parse_member(each) for each in wire["members"]))


def _parse_heartbeat(wire: list) -> PeerHeartbeat:
    name, domain, address, incarnation, leaving, reaches, *lists = wire
    statuses, suspects, refutations = lists
    return PeerHeartbeat(
        str(name),
        str(domain),
        _parse_address(address),
        int(incarnation),
        bool(leaving),
        bool(reaches),
        tuple(_parse_status(each) for each in statuses),
        tuple(
            Suspect(str(name), int(start), int(complaints), float(silent_s))
            for name, start, complaints, silent_s in suspects
        ),
        tuple(
            Refutation(str(name), int(start), float(ago_s))
            for name, start, ago_s in refutations
        ),
    )


def _parse_member(wire: list) -> Member:
    name, domain, address = wire
    return Member(str(name), str(domain), _parse_address(address))


def _parse_address(wire: list) -> tuple[str, int]:
    host, port = wire
    socket.inet_aton(host)
    return str(host), int(port)


def _parse_status(wire: list) -> FeedStatus:
    kind, is_reader, *revisions, age_s = wire
    since, changed, revision = (_parse_revision(each) for each in revisions)
    return FeedStatus(
        str(kind), bool(is_reader), since, changed, revision, float(age_s)
    )


def _parse_item(wire: list) -> Item:
    name, revision, value = wire
    return Item(str(name), _parse_revision(revision), value)


def _parse_revision(wire: int | str) -> Revision:
    packed = int(wire)
    if packed < 0:
        return NO_REVISION
    return Revision(*era_and_number(packed))


def _pack_revision(revision: Revision) -> int:
    """Return a revision as one integer, which entries without eras order too."""
    if revision == NO_REVISION:
        return -1
    return ordered(*revision)


def _pack_status(status: FeedStatus) -> tuple:
    kind, is_reader, *revisions, age_s = status
    return kind, is_reader, *(_pack_revision(each) for each in revisions), age_s


def _pack_item(item: Item) -> tuple:
    return item.name, _pack_revision(item.revision), item.value
