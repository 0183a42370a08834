"""The other entries: heartbeats on time, and answers to what they ask."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..direct.feed import Feed, Pace
from ..direct.lifecycle import Lifecycle
from ..direct.members import (
    ASK_ALONE_EVERY_S,
    ASK_AT_S,
    BEAT_S,
    READER_BEAT_S,
    Beat,
    Member,
    Members,
)
from ..direct.news import Handout, News
from ..direct.suspicion import Suspicion
from ..direct.warmup import UNSETTLED_ENTRIES, Warmup
from .http_pages import BUSY_STATUS, PageAnswer, PageServer
from .peers import NEWS_PATH, NewsCodec, PeerPort

# All entries that start together have heard each other after this time.
SETTLED_S = 2.0

# News that came and suspicions that arose meanwhile go out together.
PROMPT_S = 0.01


if TYPE_CHECKING:
    from typing import Protocol

    class NewsReader(Protocol):
        """Makes a feed's calls, to other entries too."""

        codec: NewsCodec | None

        def wake(self) -> None:
            """Ask the feed for its next call at once, if it only follows."""
            ...


class Neighbours:
    """Speaks with the other entries for one entry."""

    def __init__(
        self,
        reactor,
        members: Members,
        suspicion: Suspicion,
        feeds: dict[str, Feed],
        warmup: Warmup,
        lifecycle: Lifecycle,
        handout: Handout,
    ):
        self._readers: dict[str, NewsReader] = {}
        self._codec = NewsCodec()
        self._started_at = reactor.seconds()
        self._reactor = reactor
        self._members = members
        self._suspicion = suspicion
        self._feeds = feeds
        self._warmup = warmup
        self._lifecycle = lifecycle
        self._handout = handout
        self._incarnation = time.time_ns()
        self._told: tuple = ()
        self._beat = None
        self._port = None

    def start(self) -> None:
        """Open the port, and begin to speak."""
        address = self._members.me.address
        self._port = PeerPort(
            self._reactor, address, self._hear, self._name, self._members.hear_of
        )
        PageServer(self._reactor, address, {NEWS_PATH: self._news_page})
        for after_s in ASK_AT_S:
            self._reactor.callLater(after_s, self._ask)
        self._reactor.callLater(ASK_ALONE_EVERY_S, self._ask_alone)
        self._send_beat()

    def follow(
        self, feeds: dict[str, Feed], readers: dict[str, NewsReader], pace: Pace
    ) -> None:
        """Let feeds, and those who make their calls, learn from the others."""
        self._feeds = feeds
        self._codec = NewsCodec()
        for kind, feed in feeds.items():
            feed.follow(self._members, News(kind, pace.fresh_s, self._members))
        for reader in readers.values():
            reader.codec = self._codec
        self._readers = readers

    def names(self) -> list[str]:
        """Return the names of the domain's entries that are heard."""
        return self._members.names()

    def beat_now(self) -> None:
        """Send the next heartbeat at once, since something has changed."""
        if self._beat is not None and self._beat.active():
            self._beat.cancel()
        self._beat = self._reactor.callLater(PROMPT_S, self._send_beat)

    def check(self) -> None:
        """Send a heartbeat if what it tells has changed."""
        if self._state() != self._told:
            self.beat_now()

    def _send_beat(self) -> None:
        now = self._reactor.seconds()
        self._members.expire(now)
        names = self._members.names()
        is_settled = now - self._started_at > SETTLED_S
        self._warmup.entries = max(len(names), 1 if is_settled else UNSETTLED_ENTRIES)
        self._warmup.rank = names.index(self._members.me.name)
        self._told = self._state()
        self._port.send_beat(self._make_beat(now), self._members.addresses())
        reads = any(feed.is_reader for feed in self._feeds.values())
        wait_s = READER_BEAT_S if reads else BEAT_S
        self._beat = self._reactor.callLater(wait_s, self._send_beat)

    def _make_beat(self, now: float) -> Beat:
        ticks = [feed.tick(now) for feed in self._feeds.values()]
        me = self._members.me
        return Beat(
            me.name,
            me.domain,
            me.address,
            self._incarnation,
            self._lifecycle.is_stopping,
            all(feed.reaches_store(now) for feed in self._feeds.values()),
            tuple(tick for tick in ticks if tick is not None),
            self._suspicion.suspects(now),
            self._suspicion.objections(now),
        )

    def _state(self) -> tuple:
        """Return what other entries should hear of without delay."""
        now = self._reactor.seconds()
        return (
            tuple(feed.changed for feed in self._feeds.values()),
            {(s.name, s.complaints) for s in self._suspicion.suspects(now)},
            {objection.name for objection in self._suspicion.objections(now)},
        )

    def _hear(self, beat: Beat) -> None:
        now = self._reactor.seconds()
        self._members.hear(beat, now)
        if beat.domain != self._members.me.domain:
            return
        for suspect in beat.suspects:
            self._suspicion.hear_suspect(suspect, beat.name, now)
        for answering in beat.objections:
            self._suspicion.hear_answering(answering, now)
        self.check()
        for tick in beat.ticks:
            reader = self._readers.get(tick.kind)
            if reader is not None and self._feeds[tick.kind].lacks(tick):
                reader.wake()

    def _name(self, asking: Member) -> tuple[Member, ...]:
        """Answer which entries of the asking one's domain are heard."""
        known = (*self._members.domain_members(asking.domain), self._members.me)
        self._members.note_asking(asking, self._reactor.seconds())
        return tuple(m for m in known if m.domain == asking.domain)

    def _ask(self) -> None:
        self._port.ask(self._members.me, self._members.seeds())

    def _ask_alone(self) -> None:
        self._members.forget_named()
        if not self._members.peers():
            self._ask()
        self._reactor.callLater(ASK_ALONE_EVERY_S, self._ask_alone)

    def _news_page(self, query: bytes) -> PageAnswer:
        try:
            kind, since = self._codec.asked_for(query)
        except ValueError:
            return PageAnswer(404)
        now = self._reactor.seconds()
        feed = self._feeds.get(kind)
        news = feed and feed.news_since(since, now)
        if news is None:
            return PageAnswer(503)
        body = self._codec.encode(news, since)
        if not self._handout.admits(len(body), now):
            return PageAnswer(BUSY_STATUS)
        return PageAnswer(200, body)
