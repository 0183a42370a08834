"""Simulated site with direct return: real entry code, fake clock, no sockets.

Entries use the real packet port, steering and site. Targets and callers are the
flow endpoints of the stand-ins. A packet is delivered after one millisecond, or
lost with the probability ``loss``.
"""

import random
from collections import Counter

from twisted.internet.task import Clock

from kumquatshift.direct.placement import Placement
from kumquatshift.direct.routes import Configuration, Route, ServiceLimits, Share
from kumquatshift.direct.site import Site
from kumquatshift.direct.steering import Steering
from kumquatshift.direct.targets import Report
from kumquatshift.direct.warmup import Warmup, WarmupBounds
from kumquatshift.platform.packets import SYN, caller_host, encode_destination
from kumquatshift.platform.port import PacketPort
from kumquatshift.standins.direct_flows import FlowCaller, FlowTarget, PacketHeader

PACKET_DELAY_S = 0.001
LOST_FLOWS_INTERVAL_S = 0.1
STEP_S = 0.005
DESTINATION = ("198.18.0.1", 443)
SERVICE = "tills"
PORT = 6080


class Recorder:
    """Event sink that keeps events in memory."""

    def __init__(self):
        self.lines = []

    def emit(self, event, **inputs):
        self.lines.append((event, inputs))

    def count(self, event):
        return sum(1 for each, _ in self.lines if each is event)

    def first(self, event):
        return next((inputs for each, inputs in self.lines if each is event), None)


class FakeSocket:
    """Socket of a packet port that passes sent packets to a function."""

    def __init__(self, send):
        self._send = send

    def getsockname(self):
        return "10.0.0.1", PORT

    def sendto(self, data, address):
        self._send(data, address)


class DirectEntry:
    """One entry of the simulated site."""

    def __init__(self, net, domain, knows_all=True):
        self.events = Recorder()
        self.domain = domain
        warmup = Warmup(WarmupBounds(1.5, 5), domain)
        self.warmup = warmup
        placement = Placement(domain, warmup)
        self.site = Site(placement, self.events)
        self.steering = Steering(
            self.site.routes, self.site.targets, placement, self.events
        )
        self.steering.knows_all_routes = lambda now: knows_all
        offset_s = 0.0 if knows_all else float("-inf")
        self.steering.targets_known_until = lambda now: now + offset_s
        self.is_up = True
        sock = FakeSocket(net.from_entry)
        self.port = PacketPort(net.clock, sock, self.steering, self.events)
        self._clock = net.clock
        self._end_lost_flows()

    def _end_lost_flows(self):
        self._clock.callLater(LOST_FLOWS_INTERVAL_S, self._end_lost_flows)
        self.port.end_lost_flows()

    def receive(self, data):
        if self.is_up:
            self.port.handle(data, self.port.now())


class DirectSite:
    """Entries, targets and callers, and the network between them."""

    def __init__(self, seed=1):
        self.clock = Clock()
        self.clock.advance(1000)
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.entries = []
        self.targets = {}
        self.reports = {}
        self.callers = {}
        self.unreachable_domains = set()
        self.across = Counter()
        self.cfg = None
        self.configure()

    def configure(
        self, service=SERVICE, version=1, cold_per_s=0.0, destinations=(DESTINATION,)
    ):
        routes = tuple(
            Route(f"r{n}", encode_destination(*destination), (Share(service, 1),))
            for n, destination in enumerate(destinations)
        )
        limits = (ServiceLimits(service, cold_per_s, 2000),)
        self.cfg = Configuration(version, routes, 15.0, limits)
        for entry in self.entries:
            entry.site.put_configuration(self.cfg, 1)

    def add_entry(self, domain, knows_all=True):
        entry = DirectEntry(self, domain, knows_all)
        self.entries.append(entry)
        self.apply_store_state(entry)
        return entry

    def apply_store_state(self, entry):
        """Give an entry the current contents of the store."""
        entry.site.put_configuration(self.cfg, 1)
        now = self.clock.seconds()
        entry.site.list_targets(self.reports.values(), now)
        entry.site.list_evacuations(())

    def add_target(self, name, domain, service=SERVICE, cold_s=0.0, work_s=0.02):
        number = len(self.targets) + 1
        address = (f"10.9.0.{number}", 8000)
        key = number.to_bytes(8, "big")
        report = Report(
            name, key, number, service, domain, address, 2, warmup_left_s=cold_s
        )
        target = FlowTarget(self.clock, key, self.to_caller, work_s)
        target.domain = domain
        self.targets[address] = target
        self.reports[name] = report
        for entry in self.entries:
            entry.site.put_target(report, self.clock.seconds())
        return target

    def unlist(self, name):
        """Remove a target from the store's list."""
        del self.reports[name]
        for entry in self.entries:
            entry.site.remove_target(name, self.clock.seconds())

    def drain(self, name):
        self.reports[name] = self.reports[name]._replace(drains=True)
        for entry in self.entries:
            entry.site.put_target(self.reports[name], self.clock.seconds())

    def target(self, name):
        return self.targets[self.reports[name].address]

    def add_caller(self, entries=None, destination=DESTINATION, **options):
        """Add a caller whose packets are routed to one of ``entries``."""
        number = len(self.callers) + 1
        source = encode_destination(f"100.64.{number >> 8}.{number & 255}", 0)[:4]
        packed = encode_destination(*destination)
        endpoints = (source, 1000, packed[:4], destination[1])
        caller = FlowCaller(
            self.clock, endpoints, self._packet_sender(entries), **options
        )
        self.callers[source] = caller
        return caller

    def run(self, seconds, step_s=0.001):
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)

    def _packet_sender(self, entries):
        def send(data):
            running = [e for e in entries or self.entries if e.is_up]
            if running:
                # Routers hash each flow over the entries that are up.
                header = PacketHeader.unpack(data)
                number = header.source_port + sum(header.source)
                self._deliver(running[number % len(running)].receive, data)

        return send

    def from_entry(self, data, endpoint):
        _host, port = endpoint
        if port == PORT:
            self.to_caller(data)
            return
        target = self.targets.get(endpoint)
        if target is not None and target.domain not in self.unreachable_domains:
            self._deliver(target.receive, data)

    def to_caller(self, data):
        caller = self.callers.get(PacketHeader.unpack(data).destination)
        if caller is not None:
            self._deliver(caller.receive, data)

    def _deliver(self, receive, data):
        if self.rng.random() >= self.loss:
            self.clock.callLater(PACKET_DELAY_S, receive, data)


def opening_packet(number, copy=0):
    """Return the opening packet, or a copy of it, of a flow of no caller here."""
    source = encode_destination(f"100.127.{number >> 8}.{number & 255}", 0)[:4]
    host = encode_destination(*DESTINATION)[:4]
    port = DESTINATION[1]
    return PacketHeader(SYN, source, 2000, host, port, seq=number, ack=copy).pack()


def load(site, callers, per_s, seconds):
    """Send requests from the callers in turn and return the requests.

    ``per_s`` is the rate of all callers together.
    """
    start = {caller: len(caller.requests) for caller in callers}
    gap_s = 1 / per_s
    for number in range(round(seconds * per_s)):
        caller = callers[number % len(callers)]
        if all(r.outcome is not None for r in caller.requests[-1:]):
            caller.ask(f"{id(caller) & 0xFFFF}-{number}".encode())
        site.run(gap_s, min(gap_s, STEP_S))
    site.run(3.0, STEP_S)
    return [r for caller in callers for r in caller.requests[start[caller] :]]


__all__ = [
    "DESTINATION",
    "SERVICE",
    "DirectSite",
    "caller_host",
    "load",
    "opening_packet",
]
