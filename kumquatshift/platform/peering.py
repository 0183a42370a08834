"""Set-up of communication with peers, deferred until packets are forwarded."""

from __future__ import annotations

from ..adapters.peer_service import PeerService
from ..direct.events import EventSink
from ..direct.failure_detector import FailureDetector
from ..direct.feed import Feed
from ..direct.lifecycle import Lifecycle
from ..direct.members import Member, Members
from ..direct.peer_updates import TransferLimiter
from ..direct.settings import DirectSettings
from ..direct.warmup import Warmup


def start_peering(
    reactor,
    settings: DirectSettings,
    failure_detector: FailureDetector,
    feeds: dict[str, Feed],
    warmup: Warmup,
    lifecycle: Lifecycle,
    events: EventSink,
) -> PeerService:
    """Open the peer port and start exchanging heartbeats."""
    me = Member(settings.name, settings.domain, settings.peers)
    members = Members(me, settings.seeds, events)
    peering = PeerService(
        reactor,
        members,
        failure_detector,
        feeds,
        warmup,
        lifecycle,
        TransferLimiter(settings.link_bytes_per_s),
    )
    peering.start()
    return peering
