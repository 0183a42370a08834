"""Set-up of communication with peers, deferred until packets are forwarded."""

from __future__ import annotations

from ..adapters.neighbours import Neighbours
from ..direct.events import EventSink
from ..direct.feed import Feed
from ..direct.lifecycle import Lifecycle
from ..direct.members import Member, Members
from ..direct.news import Handout
from ..direct.settings import DirectSettings
from ..direct.suspicion import Suspicion
from ..direct.warmup import Warmup


def start_peering(
    reactor,
    settings: DirectSettings,
    suspicion: Suspicion,
    feeds: dict[str, Feed],
    warmup: Warmup,
    lifecycle: Lifecycle,
    events: EventSink,
) -> Neighbours:
    """Open the peer port and start exchanging heartbeats."""
    me = Member(settings.name, settings.domain, settings.peers)
    members = Members(me, settings.seeds, events)
    peering = Neighbours(
        reactor,
        members,
        suspicion,
        feeds,
        warmup,
        lifecycle,
        Handout(settings.link_bytes_per_s),
    )
    peering.start()
    return peering
