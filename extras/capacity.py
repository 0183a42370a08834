"""Measure the costs per member, object and flow on which docs/CAPACITY.md is based.

All runs are in memory: real engines, the real codec and digest, no sockets. Each
table has one row per size; times are medians on the machine that runs it::

    python extras/capacity.py            # all tables
    python extras/capacity.py beats      # one of them
"""

import random
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from statistics import median

from tabulate import tabulate
from twisted.internet.task import Clock

from kumquatshift.adapters.envelope import decode, encode
from kumquatshift.codec import object_to_json
from kumquatshift.engine.actions import SendPeer
from kumquatshift.engine.entry import EntryConfig, EntryEngine
from kumquatshift.engine.members import Vm
from kumquatshift.engine.messages import (
    EntryState,
    Heartbeat,
    Record,
    RecordBatch,
    Relay,
)
from kumquatshift.engine.objects import (
    Domain,
    Kind,
    Profile,
    Protocol,
    Service,
    Target,
    Versioned,
)
from kumquatshift.engine.packets import flow_key
from kumquatshift.engine.ring import bucket_of
from kumquatshift.engine.store import ConfigStore
from kumquatshift.keys import DIGEST_BYTES, Sealer
from kumquatshift.measures.packet_paths import udp_packet

SEALER = Sealer(b"capacity, a key of 32 bytes.....")
DOMAINS = 15
TARGETS_PER_SERVICE = 5
EPOCH_S = 1_000_000.0
ROUNDS = 7

MEMBERS = (9, 18, 36, 72, 144)
OBJECTS = (100, 1_000, 10_000, 70_000)
FLOWS = (1_000, 10_000, 25_100, 100_000)
SETTLING_STEPS = 80
OPENINGS = (1_000, 3_000, 10_000)


def domain_name(number: int) -> str:
    """Return the name of a domain."""
    return f"domain-{number % DOMAINS:02d}"


def entries(number: int) -> tuple[Vm, ...]:
    """Return ``number`` entries, spread over the domains."""
    return tuple(
        Vm(f"entry-{each:05d}", domain_name(each), f"10.0.{each >> 8}.{each & 255}")
        for each in range(number)
    )


def target(number: int, services: int) -> Target:
    """Return the target with this number, which serves one of ``services`` services."""
    host = f"11.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    service = f"service-{number % services:05d}"
    return Target(f"host-{number:05d}", service, domain_name(number), host, 6080)


def objects(number: int) -> list[Versioned]:
    """Return about ``number`` objects: 15 domains, and five targets per service."""
    services = max(1, number // (TARGETS_PER_SERVICE + 1))
    bodies = [(Kind.PROFILE, Profile("long-session"))]
    bodies += [(Kind.DOMAIN, Domain(domain_name(each))) for each in range(DOMAINS)]
    for each in range(services):
        address = f"12.{each >> 16}.{each >> 8 & 255}.{each & 255}"
        name = f"service-{each:05d}"
        body = Service(name, address, 443, Protocol.UDP, "long-session")
        bodies.append((Kind.SERVICE, body))
    rest = max(1, number - len(bodies))
    bodies += [(Kind.TARGET, target(each, services)) for each in range(rest)]
    return [Versioned(kind, body.name, 1, body, 1) for kind, body in bodies]


def changes(number: int, count: int) -> list[Versioned]:
    """Return changes of ``count`` different targets."""
    services = max(1, number // (TARGETS_PER_SERVICE + 1))
    return [
        Versioned(Kind.TARGET, body.name, 2, body, 1)
        for body in (target(each, services) for each in range(count))
    ]


def packet_of(caller: int) -> bytes:
    """Return a packet from a caller to one of the first 16 services."""
    src = (10 << 24 | caller >> 12).to_bytes(4, "big")
    return udp_packet(src, 1024 + (caller & 4095), bytes([12, 0, 0, caller % 16]), 443)


class Site:
    """Engines on one manual clock; messages are delivered without delay."""

    def __init__(self, number: int, configuration: list[Versioned]):
        self.clock = Clock()
        self.clock.advance(EPOCH_S)
        vms = entries(number)
        self.engines = {
            vm.name: EntryEngine.from_config(
                EntryConfig(vm, vms), self.clock, random.Random(1), 1
            )
            for vm in vms
        }
        for engine in self.engines.values():
            engine.objects(configuration)
            engine.node.state = EntryState.LIVE
        self.sent: list[tuple[str, SendPeer]] = []

    def run(self, seconds: int) -> None:
        """Advance the clock, and deliver what the engines send."""
        for _ in range(4 * seconds):
            self.clock.advance(0.25)
            for name, engine in self.engines.items():
                self.deliver(name, engine.tick())

    def deliver(self, sender: str, actions: list) -> None:
        """Deliver messages, and the messages sent in reply, until none is left."""
        for action in actions:
            if isinstance(action, SendPeer):
                replies = self.engines[action.peer].message(sender, action.message)
                self.deliver(action.peer, replies)


def sealed_datagram(sender: str, message: object) -> bytes:
    """Return a message encoded and sealed, as it is sent."""
    return SEALER.seal(encode(sender, message))


def receive(datagram: bytes, engine: EntryEngine) -> None:
    """Open and decode a datagram, and pass its message to an engine."""
    sender, message = decode(SEALER.open(datagram))
    engine.message(sender, message)


def time_call(call: Callable[[], object]) -> float:
    """Return the duration of a call in seconds."""
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


def trace_allocation(call: Callable[[], object]) -> tuple[object, int]:
    """Return the result of a call and the bytes that it left allocated."""
    tracemalloc.start()
    result = call()
    held, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, held


def make_heartbeat(
    engine: EntryEngine, names: tuple[str, ...], sequence: int
) -> Heartbeat:
    """Return the heartbeat of an entry that receives those of all others."""
    me, store = engine.node.me, engine.node.store
    others = tuple(name for name in names if name != me.name)
    return Heartbeat(
        me.name,
        me.domain,
        1,
        sequence,
        EntryState.LIVE,
        store.digest,
        me.address,
        others,
    )


def heartbeats(number: int) -> tuple[float, ...]:
    """Measure one second of heartbeats at one of ``number`` entries."""
    site = Site(number, objects(16))
    site.run(2)
    names = tuple(site.engines)
    engine = site.engines[names[0]]
    out_s, in_s, tick_s = [], [], []
    for sequence in range(1000, 1000 + ROUNDS):
        site.clock.advance(0.25)
        heartbeat = make_heartbeat(engine, names, sequence)
        out = [sealed_datagram(names[0], heartbeat) for _ in names[1:]]
        out_s.append(
            time_call(
                lambda b=heartbeat: [sealed_datagram(names[0], b) for _ in names[1:]]
            )
        )
        arriving = [
            sealed_datagram(name, make_heartbeat(site.engines[name], names, sequence))
            for name in names[1:]
        ]
        in_s.append(time_call(lambda a=arriving: [receive(each, engine) for each in a]))
        tick_s.append(time_call(engine.tick))
    cpu_s = median(out_s) + median(in_s) + 4 * median(tick_s)
    return (
        number,
        len(out[0]),
        sum(map(len, out)) / 1000,
        1e3 * median(out_s),
        1e3 * median(in_s),
        1e3 * median(tick_s),
        100 * cpu_s,
    )


def store(number: int) -> tuple[float, ...]:
    """Measure the configuration, and one change of it, at one entry."""
    all_objects = objects(number)
    filled, held = trace_allocation(lambda: _filled(all_objects))
    merge_s, engine_s = [], []
    updates = changes(number, 2 * ROUNDS)
    for change in updates[:ROUNDS]:
        merge_s.append(time_call(lambda c=change: filled.merge([c])))
    engine = next(iter(Site(1, all_objects).engines.values()))
    for change in updates[ROUNDS:]:
        engine_s.append(time_call(lambda c=change: engine.objects([c])))
    size = sum(len(str(object_to_json(obj))) for obj in all_objects) / len(all_objects)
    behind = ConfigStore()
    behind.merge(all_objects)
    delta = filled.differing(behind.bucket_digests())
    sync_bytes = sum(len(str(object_to_json(obj))) for obj in delta) / ROUNDS
    return (
        len(all_objects),
        held / len(all_objects),
        held / 1e6,
        1e3 * median(merge_s),
        1e3 * median(engine_s),
        size,
        len(delta),
        sync_bytes * ROUNDS / 1000,
    )


def _filled(all_objects):
    filled = ConfigStore()
    filled.merge(all_objects)
    return filled


def flows(number: int) -> tuple[float, ...]:
    """Measure the flow table: memory, a pass of the sweep, and records on the wire."""
    site = Site(9, objects(100))
    site.run(2)
    engine = next(iter(site.engines.values()))
    _none, held = trace_allocation(lambda: _insert_flows(engine, number))
    engine.node.ring_changed_at = float("-inf")
    steps = []
    for _ in range(2 * SETTLING_STEPS):
        site.clock.advance(0.25)
        now = site.clock.seconds()
        steps.append(time_call(lambda n=now: engine._sweeper.step(n)))
    records = [flow.record for flow in list(engine.node.flows.flows.values())[:40]]
    batch_bytes = len(sealed_datagram("entry-00000", RecordBatch(tuple(records))))
    settling_s, settled_s = median(steps[:4]), median(steps[SETTLING_STEPS:])
    return (
        number,
        held / number,
        1e3 * settling_s,
        400 * settling_s,
        1e3 * settled_s,
        400 * settled_s,
        batch_bytes / len(records),
    )


def _insert_flows(engine, number):
    node = engine.node
    now = node.clock.seconds()
    targets = sorted(node.store.targets)
    for caller in range(number):
        key = flow_key(packet_of(caller))
        record = Record(key, targets[caller % len(targets)], 1, int(now * 1000))
        flow = node.flows.put(record, bucket_of(key), now)
        flow.holders = node.members.ring.holders(flow.bucket)
        flow.replicated_at = now
        flow.fully_replicated = True


def openings(number: int) -> tuple[float, ...]:
    """Measure opening flows over all hops: ingress, primary and two standbys."""
    site = Site(9, objects(100))
    site.run(2)
    for engine in site.engines.values():
        engine.node.ring_changed_at = float("-inf")
    first = next(iter(site.engines))
    hops, sent_bytes = [0], [0]

    def forward(name, actions):
        for action in actions:
            if not isinstance(action, SendPeer):
                continue
            datagram = sealed_datagram(name, action.message)
            hops[0] += 1
            sent_bytes[0] += len(datagram)
            sender, message = decode(SEALER.open(datagram))
            forward(action.peer, site.engines[action.peer].message(sender, message))

    def open_all():
        for caller in range(number):
            forward(first, site.engines[first].packet(packet_of(caller)))

    elapsed_s = time_call(open_all)
    relay = Relay(packet_of(1), 0, "", (), (first,))
    sealed = sealed_datagram(first, relay)
    return (
        number,
        1e6 * elapsed_s / number,
        hops[0] / number,
        sent_bytes[0] / number,
        1e6
        * time_call(lambda: [sealed_datagram(first, relay) for _ in range(number)])
        / number,
        1e6
        * time_call(lambda: [decode(SEALER.open(sealed)) for _ in range(number)])
        / number,
    )


TABLES = {
    "beats": (
        heartbeats,
        MEMBERS,
        "members|bytes a beat|KB/s sent|ms/s send|ms/s take|ms a tick|% of a core",
    ),
    "store": (
        store,
        OBJECTS,
        "objects|B an object|MB|ms a merge|ms a change|JSON B|sync objects|sync KB",
    ),
    "flows": (
        flows,
        FLOWS,
        "flows|B a flow|ms quick|% of a core|ms calm|% of a core|wire B a copy",
    ),
    "openings": (
        openings,
        OPENINGS,
        "openings|us an opening|messages|wire B|us a seal|us an open",
    ),
}


def rows(name: str) -> Iterator[tuple[float, ...]]:
    """Measure one table, and yield its rows."""
    measure, sizes, _headers = TABLES[name]
    for size in sizes:
        yield measure(size)


def main(names: list[str]) -> None:
    """Measure and print the tables with these names, or all tables."""
    for name in names or TABLES:
        headers = TABLES[name][2].split("|")
        print(f"\n{name}\n{tabulate(rows(name), headers, floatfmt='.4g')}", flush=True)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"\npeak memory of this process {peak_mb:.0f} MB, digest {DIGEST_BYTES} B")


if __name__ == "__main__":
    main(sys.argv[1:])
