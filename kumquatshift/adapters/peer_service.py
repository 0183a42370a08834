"""Communication with the other entries: heartbeats, member queries and updates."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..direct.failure_detector import FailureDetector
from ..direct.feed import Feed, FeedTiming
from ..direct.lifecycle import Lifecycle
from ..direct.members import (
    DISCOVERY_DELAYS_S,
    HEARTBEAT_INTERVAL_S,
    QUERY_INTERVAL_S,
    READER_HEARTBEAT_INTERVAL_S,
    Member,
    Members,
    PeerHeartbeat,
    names_digest,
)
from ..direct.peer_updates import PeerSelector, TransferLimiter
from ..direct.warmup import ASSUMED_DOMAIN_ENTRIES, Warmup
from .http_server import BUSY_STATUS, PageResponse, PageServer
from .peers import NEWS_PATH, HeartbeatPort, PeerUpdateCodec

# Entries that start at the same time have received heartbeats from each other
# within this time.
DISCOVERY_S = 2.0

# An entry that has found no other may have asked seeds that had just started. They
# know all entries after one interval of queries.
LONE_DISCOVERY_S = QUERY_INTERVAL_S + DISCOVERY_S

# Changes that occur within this time are announced in one heartbeat.
COALESCE_S = 0.01

# Shorter suspensions do not matter to the age of updates.
MIN_SUSPENSION_S = 0.05

if TYPE_CHECKING:
    from typing import Protocol

    from ..direct.calls import Revision

    class FeedReader(Protocol):
        """Makes the calls of one feed, to the store or to other entries."""

        codec: PeerUpdateCodec | None

        def wake(self, changed: Revision) -> None:
            """Fetch the changes up to ``changed``, which a peer has announced."""
            ...


class PeerService:
    """Exchanges heartbeats, members and updates with the other entries.

    Heartbeats and member queries go over UDP; a page on the same address
    serves updates, the changes of a feed, over HTTP.
    """

    def __init__(
        self,
        reactor,
        members: Members,
        failure_detector: FailureDetector,
        feeds: dict[str, Feed],
        warmup: Warmup,
        lifecycle: Lifecycle,
        transfer_limiter: TransferLimiter,
    ):
        self._readers: dict[str, FeedReader] = {}
        self._codec = PeerUpdateCodec()
        self._started_at = reactor.seconds()
        self._suspended_s = reactor.suspended_s()
        self._reactor = reactor
        self._members = members
        self._failure_detector = failure_detector
        self._feeds = feeds
        self._warmup = warmup
        self._lifecycle = lifecycle
        self._transfer_limiter = transfer_limiter
        self._incarnation = time.time_ns()
        self._announced_state: tuple = ()
        self._heartbeat_timer = None
        self._port = None

    def start(self) -> None:
        """Open the ports, and begin to send heartbeats and member queries."""
        address = self._members.me.address
        self._port = HeartbeatPort(
            self._reactor,
            address,
            self._on_heartbeat,
            self._answer_member_query,
            self._on_members,
        )
        PageServer(self._reactor, address, {NEWS_PATH: self._update_page})
        for after_s in DISCOVERY_DELAYS_S:
            self._reactor.callLater(after_s, self._query_seeds)
        self._reactor.callLater(QUERY_INTERVAL_S, self._query_seeds_regularly)
        self._send_heartbeat()

    def follow(
        self, feeds: dict[str, Feed], readers: dict[str, FeedReader], timing: FeedTiming
    ) -> None:
        """Let feeds fetch updates from other entries.

        ``readers`` make the calls of the feed of the same kind.
        """
        self._feeds = feeds
        self._codec = PeerUpdateCodec()
        for kind, feed in feeds.items():
            feed.follow(
                self._members, PeerSelector(kind, timing.fresh_s, self._members)
            )
        for reader in readers.values():
            reader.codec = self._codec
        self._readers = readers

    def names(self) -> list[str]:
        """Return the names of the live entries of the domain, this one included."""
        return self._members.names()

    def send_heartbeat_now(self) -> None:
        """Send the next heartbeat without waiting for its interval."""
        if self._heartbeat_timer is not None and self._heartbeat_timer.active():
            self._heartbeat_timer.cancel()
        self._heartbeat_timer = self._reactor.callLater(
            COALESCE_S, self._send_heartbeat
        )

    def announce_changes(self) -> None:
        """Send a heartbeat if its urgent part has changed since the last one."""
        if self._urgent_state() != self._announced_state:
            self.send_heartbeat_now()

    def _send_heartbeat(self) -> None:
        now = self._reactor.seconds()
        self._members.expire(now)
        self._update_warmup(now)
        self._announced_state = self._urgent_state()
        self._port.send_heartbeat(self._build_heartbeat(now), self._members.addresses())
        is_reader_here = any(feed.is_reader for feed in self._feeds.values())
        wait_s = READER_HEARTBEAT_INTERVAL_S if is_reader_here else HEARTBEAT_INTERVAL_S
        self._heartbeat_timer = self._reactor.callLater(wait_s, self._send_heartbeat)

    def _update_warmup(self, now: float) -> None:
        """Set this entry's share of cold targets by the entries of the domain.

        Soon after the start, entries that have only been named by a seed count too.
        """
        names = self._members.names()
        discovery_s = DISCOVERY_S if len(names) > 1 else LONE_DISCOVERY_S
        entries = len(names)
        if now - self._started_at <= discovery_s:
            entries = max(self._members.expected(), ASSUMED_DOMAIN_ENTRIES)
        self._warmup.entries = entries
        self._warmup.rank = names.index(self._members.me.name)

    def _check_suspension(self) -> None:
        """Tell the feeds if the machine was suspended since the last check.

        Without it, peers would go on following a reader whose updates are old.
        """
        gap_s = self._reactor.suspended_s() - self._suspended_s
        if gap_s > MIN_SUSPENSION_S:
            self._suspended_s += gap_s
            for feed in self._feeds.values():
                feed.note_suspension(gap_s)

    def _build_heartbeat(self, now: float) -> PeerHeartbeat:
        self._check_suspension()
        statuses = [feed.status(now) for feed in self._feeds.values()]
        me = self._members.me
        return PeerHeartbeat(
            me.name,
            me.domain,
            me.address,
            self._incarnation,
            self._lifecycle.is_stopping,
            all(feed.reaches_store(now) for feed in self._feeds.values()),
            tuple(status for status in statuses if status is not None),
            self._failure_detector.suspects(now),
            self._failure_detector.refutations(now),
        )

    def _urgent_state(self) -> tuple:
        """Return the part of the state that is announced without delay."""
        now = self._reactor.seconds()
        return (
            tuple(feed.changed for feed in self._feeds.values()),
            {(s.name, s.complaints) for s in self._failure_detector.suspects(now)},
            {each.name for each in self._failure_detector.refutations(now)},
        )

    def _on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        now = self._reactor.seconds()
        if self._members.receive_heartbeat(heartbeat, now):
            self._update_warmup(now)
            self._greet([heartbeat.address])
        if heartbeat.domain != self._members.me.domain:
            return
        self._failure_detector.receive_suspects(heartbeat.suspects, heartbeat.name, now)
        for refutation in heartbeat.refutations:
            self._failure_detector.receive_refutation(refutation, now)
        self.announce_changes()
        for status in heartbeat.statuses:
            reader = self._readers.get(status.kind)
            if reader is not None and self._feeds[status.kind].lacks(status):
                reader.wake(status.changed)

    def _on_members(self, members: tuple[Member, ...]) -> None:
        self._greet_candidates(self._members.add_candidates(members))

    def _greet_candidates(self, candidates: list[Member]) -> None:
        """Let entries that were unknown until now know of this one."""
        if candidates:
            self._update_warmup(self._reactor.seconds())
            self._greet([member.address for member in candidates])

    def _greet(self, addresses: list[tuple[str, int]]) -> None:
        """Send a heartbeat without waiting for its interval."""
        heartbeat = self._build_heartbeat(self._reactor.seconds())
        self._port.send_heartbeat(heartbeat, addresses)

    def _answer_member_query(
        self, sender: Member, known: int | None
    ) -> tuple[Member, ...]:
        """Return the live entries of the domain of the entry that queries.

        Returns none if these are the ones of the digest ``known``.
        """
        self._greet_candidates(
            self._members.note_query(sender, self._reactor.seconds())
        )
        members = self._members.domain_members(sender.domain)
        if names_digest(member.name for member in members) == known:
            return ()
        return members

    def _query_seeds(self) -> None:
        members = self._members
        known = names_digest(members.names())
        self._port.send_member_query(members.me, known, members.seeds())

    def _query_seeds_regularly(self) -> None:
        self._members.drop_candidates()
        self._query_seeds()
        self._reactor.callLater(QUERY_INTERVAL_S, self._query_seeds_regularly)

    def _update_page(self, query: bytes) -> PageResponse:
        try:
            kind, since = self._codec.parse_query(query)
        except ValueError:
            return PageResponse(404)
        self._check_suspension()
        now = self._reactor.seconds()
        feed = self._feeds.get(kind)
        update = feed and feed.updates_since(since, now)
        if update is None:
            return PageResponse(503)
        body = self._codec.encode(update, since)
        if not self._transfer_limiter.admits(len(body), now):
            return PageResponse(BUSY_STATUS)
        return PageResponse(200, body)
