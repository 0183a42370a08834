"""Determine which entries hold a service's requests, and which of them may vote.

The holders of a service are the first three in the bucket's order of all entries
that may be running, including unreachable ones. An entry that has just started
observes a quiet time, as TCP does after a crash (RFC 9293, section 3.4.3): a packet
new to it may repeat a request that was executed before the start. Once its quiet
time is over, the entry is a voter: it can tell new requests from repeated ones.

A request that must not be executed twice is forwarded only while two of the three
holders are reachable voters. Any two such quorums have a holder in common, so
the two sides of a network partition never both execute the request.
"""

from .node import Node
from .packets import KEY_BYTES
from .ring import Ring, RingEntry, bucket_of
from .store import ServiceView, service_address

QUIET_TIME_MARGIN_S = 2.0


class RequestHolders:
    """The holders of request services, as seen by one entry.

    Implements the request policy's `FlowAuthority`. ``flow`` is a flow key, or a longer
    key that starts with one.
    """

    def __init__(self, node: Node):
        self._node = node
        self._started_at = node.clock.seconds()

    def primary(self, view: ServiceView) -> str:
        """Return the entry that decides on a service's requests, or "" if none does."""
        members = self._node.members
        now = self._node.clock.seconds()
        bucket = bucket_of(service_address(view.service))
        for holder in members.known.holders(bucket):
            if self._is_voter(holder.name, view, now):
                return holder.name
        return next(iter(members.ring.order(bucket)), "")

    def is_primary(self, flow: bytes) -> bool:
        """Return whether this entry is the flow's primary in its own view."""
        view = self.view(flow)
        return view is not None and self.primary(view) == self._node.name

    def was_primary(self, flow: bytes, known: Ring, ring: Ring) -> bool:
        """Return whether this entry was the flow's primary under the given rings."""
        holders = known.holders(_bucket(flow))
        present = [holder for holder in holders if holder in ring.present]
        return bool(present) and present[0].name == self._node.name

    def has_quorum(self, flow: bytes) -> bool:
        """Return whether two of the flow's three holders are reachable voters."""
        node = self._node
        view = self.view(flow)
        if view is None:
            return False
        own = self.quiet_time_over(view, node.clock.seconds())
        if not node.members.members:
            return own
        holders = self._holders(flow)
        is_holder = node.name in (holder.name for holder in holders)
        voters = len(self.voters(flow)) + (is_holder and own)
        return 2 * voters > len(holders)

    def quiet_time_over(self, view: ServiceView, now: float) -> bool:
        """Return whether this entry's quiet time for a service is over.

        It lasts as long as the service's callers may repeat a request, plus a margin.
        """
        since = max(self._started_at, self._node.resumed_at)
        return now - since >= _quiet_time_s(view)

    def voters(self, flow: bytes) -> tuple[str, ...]:
        """Return the other reachable holders whose quiet time is over."""
        now, view = self._node.clock.seconds(), self.view(flow)
        names = self._others(flow)
        return tuple(name for name in names if self._is_voter(name, view, now))

    def non_voters(self, flow: bytes) -> tuple[str, ...]:
        """Return the other reachable holders still in their quiet time.

        They store records but don't count towards the quorum.
        """
        now, view = self._node.clock.seconds(), self.view(flow)
        alive = self._node.members.ring.names
        names = [name for name in self._others(flow) if name in alive]
        return tuple(name for name in names if not self._is_voter(name, view, now))

    def view(self, flow: bytes) -> ServiceView | None:
        """Return the service that a flow is addressed to, or None."""
        return self._node.store.by_address.get(_address(flow))

    def _holders(self, flow: bytes) -> tuple[RingEntry, ...]:
        return self._node.members.known.holders(_bucket(flow))

    def _others(self, flow):
        names = (holder.name for holder in self._holders(flow))
        return [name for name in names if name != self._node.name]

    def _is_voter(self, name, view, now):
        """Return whether an entry is reachable and its quiet time is over."""
        node = self._node
        if view is None or name not in node.members.ring.names:
            return False
        if name == node.name:
            return self.quiet_time_over(view, now)
        return now - node.members.members[name].first_heard >= _quiet_time_s(view)


def _quiet_time_s(view):
    return view.profile.repeat_span_s + QUIET_TIME_MARGIN_S


def _address(flow):
    return flow[4:8] + flow[10:KEY_BYTES]


def _bucket(flow):
    return bucket_of(_address(flow))
