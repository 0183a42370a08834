"""Carry the request policy's decisions between entries, callers and targets.

The flow's primary asks the policy; what the policy decides travels past the
other holders, which adopt it, before a target or the caller sees it. A holder
that knows otherwise lets the packet go no further.

The holders of a flow's requests are worked out over all entries that may be
running, also those out of reach. Only a seasoned one, which has run longer than
callers repeat a request, knows that a request is new; the first seasoned one in reach
is the primary. A request that may not run twice is passed on only while two of
the three holders are seasoned and in reach. Any two pairs of three share one,
so two sides never both run it. The others hold what they are told meanwhile.

All requests of a service have the same holders, so that one entry gives out the
slots of the service's targets, and no two count on the same slot.
"""

from .actions import Action, DropReason, SendCaller, SendPeer, SendTarget
from .decisions import Decision, Forward, Pass, Refuse, Return
from .messages import Direction, Record, RecordBatch, Relay
from .node import Node
from .packets import KEY_BYTES, flow_key, reverse_key
from .refusals import note_of
from .requests import RequestPolicy
from .ring import bucket_of
from .slots import SlotPool
from .store import ServiceView, service_address

SEASON_EXTRA_S = 2.0
RECORDS_PER_BATCH = 20
RECORDS_PER_TICK = 200


class RequestRouter:
    """Requests of one entry; also the policy's `Standing`."""

    def __init__(self, node: Node):
        self._node = node
        self._started_at = node.clock.seconds()
        now = node.clock.seconds()
        self._pool = SlotPool.from_config({}, [], now)
        self._policy = RequestPolicy.from_config({}, self._pool, self, node.rng)
        self._usable: frozenset[str] = frozenset()
        self._rings = (node.members.known, node.members.ring)
        self._to_copy: list[tuple[str, Record]] = []

    @property
    def counts(self) -> dict[str, int]:
        """Packets that went no further and refusals, by cause."""
        stopped = {f"requests-{c}": n for c, n in self._policy.counts.items()}
        refused = {
            f"refused-{kind}-{cause}": n
            for (kind, cause), n in self._policy.refused.items()
        }
        return stopped | refused

    def latencies(self) -> list[tuple[str, float]]:
        """Return profile and seconds of each request answered since the last call."""
        by_name = self._node.store.by_name
        taken = [
            (by_name[each.service].profile.name, each.seconds)
            for each in self._policy.latencies
            if each.service in by_name
        ]
        self._policy.latencies.clear()
        return taken

    def configure(self, now: float) -> list[Action]:
        """Take the configuration in force, and give up targets that are gone."""
        node = self._node
        views = node.store.by_name.values()
        requests = {
            view.service.name: view.profile for view in views if view.takes_requests
        }
        targets = [
            target
            for target in node.store.targets.values()
            if target.service in requests and node.store.domain_in(target.domain)
        ]
        self._pool.configure(requests, targets, now)
        self._policy.configure(requests)
        names = frozenset(target.name for target in targets)
        lost, self._usable = self._usable - names, names
        decisions = [d for name in lost for d in self._policy.lose_target(name, now)]
        return self._carry_out(decisions)

    def seasoned_for(self, now: float) -> dict[str, bool]:
        """Tell for each request service whether we know which requests are new."""
        return {
            name: self.is_seasoned(view, now)
            for name, view in self._node.store.by_name.items()
            if view.takes_requests
        }

    def from_caller(self, view: ServiceView, data: bytes, now: float) -> list[Action]:
        """Decide as the flow's primary on a packet from a caller."""
        decisions = self._policy.request(view.service.name, flow_key(data), data, now)
        return self._carry_out(decisions)

    def from_target(self, data: bytes, now: float) -> list[Action]:
        """Decide as the flow's primary on a packet from a target."""
        return self._carry_out(self._policy.response(reverse_key(data), data, now))

    def hold(self, relay: Relay, view: ServiceView, now: float) -> list[Action]:
        """Adopt what the primary decided, and pass the packet on."""
        record = relay.record
        name = view.service.name
        if record.service != view.created:
            return [self._node.drop(DropReason.UNKNOWN_SERVICE)]
        adopted = self._policy.adopt(name, record, now)
        counted_on = relay.copies > 0
        if not adopted or (counted_on and not self.is_seasoned(view, now)):
            return [self._node.drop(DropReason.CONTRADICTED)]
        return self._along(relay.path, record, relay.data, relay.copies - 1)

    def adopt(self, record: Record, now: float) -> None:
        """Hold a record that was copied outside the packet path."""
        view = self._view(record.key)
        if view is not None and view.created == record.service:
            self._policy.adopt(view.service.name, record, now)

    def tick(self, now: float) -> list[Action]:
        """Decide what time alone decides; to be called every 50 ms or so."""
        self._pool.cut_off = self._cut_off()
        return self._carry_out(self._policy.tick(now)) + self._copies()

    def ring_changed(self) -> None:
        """Copy open exchanges to their present holders, a few with each tick.

        Whoever decided before the change sends them, and who decides now, since
        the one of before may have failed.
        """
        before, self._rings = (
            self._rings,
            (
                self._node.members.known,
                self._node.members.ring,
            ),
        )
        for exchange in self._policy.exchanges.open():
            if not exchange.target:
                continue
            flow = exchange.flow
            if self.is_primary(flow) or self._was_primary(flow, *before):
                record = self._record(note_of(exchange))
                self._to_copy += [
                    (name, record)
                    for name in self._seasoned(flow) + self._unseasoned(flow)
                ]

    def _was_primary(self, flow, known, ring):
        present = [h for h in known.holders(_bucket(flow)) if h in ring.present]
        return bool(present) and present[0].name == self._node.name

    def _copies(self):
        """Take the next few exchanges to copy, in one message for each entry."""
        due, self._to_copy = (
            self._to_copy[:RECORDS_PER_TICK],
            self._to_copy[RECORDS_PER_TICK:],
        )
        by_peer: dict[str, list[Record]] = {}
        for name, record in due:
            by_peer.setdefault(name, []).append(record)
        return [
            SendPeer(name, RecordBatch(tuple(each[start : start + RECORDS_PER_BATCH])))
            for name, each in by_peer.items()
            for start in range(0, len(each), RECORDS_PER_BATCH)
        ]

    def primary(self, view: ServiceView) -> str:
        """Return the entry that decides on a service's requests, "" if none does."""
        node = self._node
        now = node.clock.seconds()
        bucket = bucket_of(service_address(view.service))
        for holder in node.members.known.holders(bucket):
            if self._counts(holder.name, view, now):
                return holder.name
        return next(iter(node.members.ring.order(bucket)), "")

    def is_primary(self, flow: bytes) -> bool:
        """Tell whether we decide for the flow, as far as we see."""
        view = self._view(flow)
        if view is None:
            return False
        return self.primary(view) == self._node.name

    def is_certain(self, flow: bytes) -> bool:
        """Tell whether two of the flow's three holders are of one mind."""
        node = self._node
        view = self._view(flow)
        if view is None:
            return False
        seasoned = self.is_seasoned(view, node.clock.seconds())
        if not node.members.members:
            return seasoned
        holders = node.members.known.holders(_bucket(flow))
        inside = node.name in (holder.name for holder in holders)
        witnesses = len(self._seasoned(flow)) + (inside and seasoned)
        return 2 * witnesses > len(holders)

    def is_seasoned(self, view: ServiceView, now: float) -> bool:
        """Tell whether we have run longer than a service's callers repeat requests."""
        since = max(self._started_at, self._node.resumed_at)
        return now - since >= _season_s(view)

    def _seasoned(self, flow):
        """Return the other holders in reach that know what is new."""
        now, view = self._node.clock.seconds(), self._view(flow)
        names = self._other_holders(flow)
        return tuple(name for name in names if self._counts(name, view, now))

    def _unseasoned(self, flow):
        """Return the other holders in reach that only hold what they are told."""
        now, view = self._node.clock.seconds(), self._view(flow)
        alive = self._node.members.ring.names
        names = [name for name in self._other_holders(flow) if name in alive]
        return tuple(name for name in names if not self._counts(name, view, now))

    def _other_holders(self, flow):
        holders = self._node.members.known.holders(_bucket(flow))
        return [h.name for h in holders if h.name != self._node.name]

    def _counts(self, name, view, now):
        """Tell whether an entry is seasoned and in reach."""
        node = self._node
        if view is None or name not in node.members.ring.names:
            return False
        if name == node.name:
            return self.is_seasoned(view, now)
        return now - node.members.members[name].first_heard >= _season_s(view)

    def _cut_off(self):
        """Return the failure domains with targets that we do not reach."""
        node = self._node
        domains = {target.domain for target in self._pool.targets.values()}
        return frozenset(name for name in domains if not node.reaches(name))

    def _view(self, flow):
        return self._node.store.by_address.get(_address(flow))

    def _record(self, note):
        view = self._view(note.key)
        created = view.created if view is not None else 0
        return Record(
            note.key, note.target, created, note.born_ms, note.epoch, False, note.detail
        )

    def _carry_out(self, decisions: list[Decision]) -> list[Action]:
        actions = []
        for decision in decisions:
            actions += self._action(decision)
        return actions

    def _action(self, decision):
        if isinstance(decision, Return):
            return [SendCaller(decision.data)]
        if isinstance(decision, Pass):
            return self._to_target(decision.target, decision.data)
        if isinstance(decision, Forward) or (
            isinstance(decision, Refuse) and decision.note
        ):
            record = self._record(decision.note)
            flow = decision.note.key[:KEY_BYTES]
            counted_on = self._seasoned(flow)
            path = counted_on + self._unseasoned(flow)
            return self._along(path, record, decision.data, len(counted_on))
        if isinstance(decision, Refuse):
            return [SendCaller(decision.data)]
        return []

    def _along(self, path, record, data, counted_on):
        """Take a record past the other holders, and then its packet to its end.

        The first ``counted_on`` of the path have to be seasoned.
        """
        if path:
            relay = Relay(
                data,
                Direction.TO_TARGET,
                self._node.name,
                path[1:],
                (),
                record,
                max(0, counted_on),
            )
            return [SendPeer(path[0], relay)]
        if record.target:
            return self._to_target(record.target, data)
        return [SendCaller(data)]

    def _to_target(self, name, data):
        node = self._node
        target = node.store.targets.get(name)
        if target is None or not node.store.domain_in(target.domain):
            return [node.drop(DropReason.DOMAIN_OUT)]
        node.sent[name] += 1
        return [SendTarget(target.host, target.port, data)]


def _season_s(view):
    return view.profile.repeat_span_s + SEASON_EXTRA_S


def _address(flow):
    return flow[4:8] + flow[10:KEY_BYTES]


def _bucket(flow):
    return bucket_of(_address(flow))
