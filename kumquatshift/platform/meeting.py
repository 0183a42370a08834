"""The other entries of the site, put together once packets are forwarded."""

from __future__ import annotations

from ..adapters.neighbours import Neighbours
from ..direct.events import Events
from ..direct.feed import Feed
from ..direct.lifecycle import Lifecycle
from ..direct.members import Member, Members
from ..direct.news import Handout
from ..direct.settings import DirectSettings
from ..direct.suspicion import Suspicion
from ..direct.warmup import Warmup


def meet(
    reactor,
    settings: DirectSettings,
    suspicion: Suspicion,
    feeds: dict[str, Feed],
    warmup: Warmup,
    lifecycle: Lifecycle,
    events: Events,
) -> Neighbours:
    """Open the port to other entries and begin to speak with them."""
    me = Member(settings.name, settings.domain, settings.peers)
    members = Members(me, settings.seeds, events)
    neighbours = Neighbours(
        reactor,
        members,
        suspicion,
        feeds,
        warmup,
        lifecycle,
        Handout(settings.link_bytes_per_s),
    )
    neighbours.start()
    return neighbours
