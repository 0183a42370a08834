"""Heartbeats between entries over UDP, and their news over HTTP."""

from __future__ import annotations

import json
import socket
import zlib
from collections.abc import Callable

from ..direct.calls import Change, Item, NewsAnswer, Tick
from ..direct.members import Beat, Member
from ..direct.suspicion import Answering, Suspect
from .epoll import Descriptor

NEWS_PATH = b"/news"
RECEIVE_BYTES = 65_536
BATCH_DATAGRAMS = 64

# Answers kept for the next follower: one or two for each kind.
KEPT_ANSWERS = 6

# All targets and the largest configuration that the store keeps.
MAX_NEWS_BYTES = 16 * 1024 * 1024


class UnreadableNewsError(ValueError):
    """Another entry sent what can not be read."""


class PeerPort(Descriptor):
    """Sends and takes heartbeats, questions for members and their answers."""

    def __init__(
        self,
        reactor,
        address: tuple[str, int],
        on_beat: Callable[[Beat], None],
        on_question: Callable[[Member], tuple[Member, ...]],
        on_members: Callable[[tuple[Member, ...]], None],
    ):
        self.malformed = 0
        self.lost = 0
        self._on_beat = on_beat
        self._on_question = on_question
        self._on_members = on_members
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self._sock.fileno()

    def send_beat(self, beat: Beat, addresses: list[tuple[str, int]]) -> None:
        """Send a heartbeat to other entries."""
        data = json.dumps({"beat": beat}).encode()
        for address in addresses:
            self._send(data, address)

    def ask(self, me: Member, addresses: tuple[tuple[str, int], ...]) -> None:
        """Ask entries which others of the own domain they hear."""
        data = json.dumps({"question": me}).encode()
        for address in addresses:
            self._send(data, address)

    def doRead(self) -> None:  # noqa: N802
        """Take the datagrams that wait."""
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = self._sock.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self.lost += 1  # A peer's port was closed; it says so itself.
                return
            try:
                self._take(json.loads(data), sender)
            except (ValueError, TypeError, KeyError, IndexError):
                self.malformed += 1

    def _take(self, message: dict, sender: tuple[str, int]) -> None:
        if "beat" in message:
            self._on_beat(_beat(message["beat"]))
        elif "question" in message:
            members = self._on_question(_member(message["question"]))
            self._send(json.dumps({"members": members}).encode(), sender)
        elif "members" in message:
            self._on_members(tuple(_member(each) for each in message["members"]))
        else:
            self.malformed += 1

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError:
            self.lost += 1  # As good as lost on the way; the next one follows.


class NewsCodec:
    """Questions for news and their answers, as entries write them.

    An answer is its tick as a line of JSON, and the rest deflated. All followers
    of a reader ask for the same at once; it is written and deflated for the
    first of them, since a big configuration would fill the link of a small
    machine for seconds otherwise.
    """

    def __init__(self):
        self._written: dict[tuple, bytes] = {}

    def path(self, kind: str, since: int) -> str:
        """Return the path on which an entry is asked for its news."""
        return f"{NEWS_PATH.decode()}?{kind}&{since}"

    def asked_for(self, query: bytes) -> tuple[str, int]:
        """Return what a query asks for; raises `ValueError`."""
        kind, _, since = query.decode().partition("&")
        return kind, int(since)

    def encode(self, news: NewsAnswer, since: int) -> bytes:
        """Encode an answer to who knows what there was up to ``since``."""
        tick = news.tick
        key = tick.kind, news.is_whole, since, tick.since, tick.changed
        body = self._written.get(key)
        if body is None:
            text = json.dumps(news[:3]).encode()
            body = zlib.compress(text, level=zlib.Z_BEST_SPEED)
            if len(self._written) >= KEPT_ANSWERS:
                del self._written[next(iter(self._written))]
            self._written[key] = body
        return json.dumps(tick).encode() + b"\n" + body

    def decode(self, body: bytes) -> NewsAnswer:
        """Decode an answer; raises `UnreadableNewsError`."""
        try:
            tick, _, rest = body.partition(b"\n")
            is_whole, items, changes = json.loads(_inflated(rest))
            return NewsAnswer(
                bool(is_whole),
                tuple(_item(each) for each in items),
                tuple(Change(_item(item), bool(gone)) for item, gone in changes),
                _tick(json.loads(tick)),
            )
        except (ValueError, TypeError, IndexError, zlib.error) as exc:
            raise UnreadableNewsError(f"news: {exc!r}") from exc


def _inflated(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    text = stream.decompress(data, MAX_NEWS_BYTES)
    if not stream.eof:
        raise ValueError("cut off, or too long")
    return text


def _beat(wire: list) -> Beat:
    name, domain, address, incarnation, leaving, reaches, *lists = wire
    ticks, suspects, objections = lists
    return Beat(
        str(name),
        str(domain),
        _address(address),
        int(incarnation),
        bool(leaving),
        bool(reaches),
        tuple(_tick(each) for each in ticks),
        tuple(
            Suspect(str(name), int(start), int(complaints), float(silent_s))
            for name, start, complaints, silent_s in suspects
        ),
        tuple(
            Answering(str(name), int(start), float(ago_s))
            for name, start, ago_s in objections
        ),
    )


def _member(wire: list) -> Member:
    name, domain, address = wire
    return Member(str(name), str(domain), _address(address))


def _address(wire: list) -> tuple[str, int]:
    host, port = wire
    socket.inet_aton(host)
    return str(host), int(port)


def _tick(wire: list) -> Tick:
    kind, is_reader, *revisions, age_s = wire
    since, changed, revision = (int(each) for each in revisions)
    return Tick(str(kind), bool(is_reader), since, changed, revision, float(age_s))


def _item(wire: list) -> Item:
    name, revision, value = wire
    return Item(str(name), int(revision), value)
