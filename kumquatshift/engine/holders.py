"""Who decides on a service's requests, and who knows which of them are new.

The holders of a service are the first three of all entries that may be running,
also those out of reach. An entry that has just started keeps a quiet time, as
TCP does after a crash (RFC 9293, section 3.4.3): a packet that it has not seen
may repeat a request that ran before. After it the entry is a witness.

A request that may not run twice is passed on only while two of the three holders
are witnesses in reach. Any two pairs of three share one, so two sides of a cut
never both run it.
"""

from .node import Node
from .packets import KEY_BYTES
from .ring import Ring, RingEntry, bucket_of
from .store import ServiceView, service_address

QUIET_TIME_MARGIN_S = 2.0


class RequestHolders:
    """The holders of request services, as one entry sees them.

    It is the request policy's `Standing`. ``flow`` is a flow key, or a longer key
    that begins with one.
    """

    def __init__(self, node: Node):
        self._node = node
        self._started_at = node.clock.seconds()

    def primary(self, view: ServiceView) -> str:
        """Return the entry that decides on a service's requests, "" if none does."""
        members = self._node.members
        now = self._node.clock.seconds()
        bucket = bucket_of(service_address(view.service))
        for holder in members.known.holders(bucket):
            if self._is_witness(holder.name, view, now):
                return holder.name
        return next(iter(members.ring.order(bucket)), "")

    def is_primary(self, flow: bytes) -> bool:
        """Tell whether we decide for the flow, as far as we see."""
        view = self.view(flow)
        return view is not None and self.primary(view) == self._node.name

    def was_primary(self, flow: bytes, known: Ring, ring: Ring) -> bool:
        """Tell whether we decided for the flow while these rings stood."""
        holders = known.holders(_bucket(flow))
        present = [holder for holder in holders if holder in ring.present]
        return bool(present) and present[0].name == self._node.name

    def is_certain(self, flow: bytes) -> bool:
        """Tell whether two of the flow's three holders are witnesses in reach."""
        node = self._node
        view = self.view(flow)
        if view is None:
            return False
        own = self.quiet_time_over(view, node.clock.seconds())
        if not node.members.members:
            return own
        holders = self._holders(flow)
        inside = node.name in (holder.name for holder in holders)
        witnesses = len(self.witnesses(flow)) + (inside and own)
        return 2 * witnesses > len(holders)

    def quiet_time_over(self, view: ServiceView, now: float) -> bool:
        """Tell whether we have run longer than a service's callers repeat requests."""
        since = max(self._started_at, self._node.resumed_at)
        return now - since >= _quiet_time_s(view)

    def witnesses(self, flow: bytes) -> tuple[str, ...]:
        """Return the other holders in reach that know what is new."""
        now, view = self._node.clock.seconds(), self.view(flow)
        names = self._others(flow)
        return tuple(name for name in names if self._is_witness(name, view, now))

    def newcomers(self, flow: bytes) -> tuple[str, ...]:
        """Return the other holders in reach that only hold what they are told."""
        now, view = self._node.clock.seconds(), self.view(flow)
        alive = self._node.members.ring.names
        names = [name for name in self._others(flow) if name in alive]
        return tuple(name for name in names if not self._is_witness(name, view, now))

    def view(self, flow: bytes) -> ServiceView | None:
        """Return the service that a flow goes to, or None."""
        return self._node.store.by_address.get(_address(flow))

    def _holders(self, flow: bytes) -> tuple[RingEntry, ...]:
        return self._node.members.known.holders(_bucket(flow))

    def _others(self, flow):
        names = (holder.name for holder in self._holders(flow))
        return [name for name in names if name != self._node.name]

    def _is_witness(self, name, view, now):
        """Tell whether an entry is in reach and its quiet time over."""
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
