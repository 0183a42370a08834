"""The state of one entry as typed values, for its dump."""

from dataclasses import dataclass

from .entry import EntryEngine


@dataclass(frozen=True)
class FlowCounts:
    """Number of flows held, and of those whose primary is this entry."""

    held: int
    primary: int


@dataclass(frozen=True)
class TargetCounts:
    """Flows held for one target, packets sent to it, and its warm-up share."""

    flows: int
    sent: int
    share: float


@dataclass(frozen=True)
class MemberState:
    """State of one other entry, as known here.

    ``age_s`` is the age of its last heartbeat, or None if there was none. ``in_step``
    is set if it has the same configuration as this entry.
    """

    name: str
    domain: str
    address: str
    state: str
    alive: bool
    hears_us: bool
    in_step: bool
    age_s: float | None


@dataclass(frozen=True)
class EntryDump:
    """The state of one entry that `kumquat-ctl dump` shows.

    ``reader`` is set if the entry watches the platform for its domain.
    """

    name: str
    domain: str
    state: str
    ready: bool
    incarnation: int
    settled: bool
    quiet_time_over: dict[str, bool]
    reader: bool
    ring: tuple[str, ...]
    reachable_domains: tuple[str, ...]
    flows: FlowCounts
    targets: dict[str, TargetCounts]
    members: tuple[MemberState, ...]
    versions: dict[str, int]
    digest: str
    counters: dict[str, int]


def dump(engine: EntryEngine) -> EntryDump:
    """Return the state of an engine; iterates once over all its flows."""
    node = engine.node
    now = node.clock.seconds()
    return EntryDump(
        name=node.name,
        domain=node.me.domain,
        state=node.state.name.lower(),
        ready=engine.ready,
        incarnation=node.members.incarnation,
        settled=node.settled(now),
        quiet_time_over=engine.quiet_time_over,
        reader=engine.watching,
        ring=tuple(entry.name for entry in node.members.ring.entries),
        reachable_domains=tuple(sorted(node.members.reachable_domains)),
        flows=FlowCounts(len(node.flows), _primary_flows(node)),
        targets={name: _target(node, name, now) for name in sorted(node.store.targets)},
        members=tuple(_member(node, member, now) for member in _by_name(node)),
        versions=node.store.versions(),
        digest=f"{node.store.digest:016x}",
        counters=dict(sorted(engine.counters().items())),
    )


def _primary_flows(node):
    ring = node.members.ring
    flows = node.flows.flows.values()
    return sum(ring.order(flow.bucket)[:1] == (node.name,) for flow in flows)


def _target(node, name, now):
    return TargetCounts(
        flows=node.flows.held.get(name, 0),
        sent=node.sent.get(name, 0),
        share=round(node.chooser.share(name, now), 3),
    )


def _by_name(node):
    return sorted(node.members.members.values(), key=lambda member: member.name)


def _member(node, member, now):
    heard = member.incarnation > 0
    return MemberState(
        name=member.name,
        domain=member.domain,
        address=member.address,
        state=member.state.name.lower(),
        alive=node.members.alive(member, now),
        hears_us=member.hears_us,
        in_step=member.digest == node.store.digest,
        age_s=round(now - member.last_heard, 3) if heard else None,
    )
