"""A fake entry: it forwards each flow by a hash over the platform's targets.

Started like the real one, with its settings file. It keeps no state but the
list of objects, so it does not keep flows when that list changes.
"""

import sys
from configparser import ConfigParser

import xxhash
from twisted.internet import defer
from twisted.internet.task import LoopingCall

from kumquatshift.bench.site import fetch_objects
from kumquatshift.programs.loop import install_reactor
from kumquatshift.standins.admin import JsonPage, admin_site, stop_ports
from kumquatshift.standins.fabric import Receiver
from kumquatshift.standins.packets import unpack

PACKET_PORT = 6080
POLL_PERIOD_S = 0.3


def weight(caller, target):
    return xxhash.xxh64_intdigest(f"{caller}{target}".encode())


class FakeEntry:
    """Forwards by rendezvous hash over the targets of domains that are in."""

    def __init__(self, address, fabric, platform, reactor):
        self.address = address
        self.fabric = fabric
        self.platform = platform
        self.reactor = reactor
        self.targets = {}
        self.versions = {}
        self.receiver = Receiver(self.receive)
        self.counters = {"forwarded": 0, "returned": 0, "dropped": 0}

    def start(self):
        reactor, host = self.reactor, self.address
        pages = {b"versions": JsonPage(lambda: self.versions)}
        self.ports = [
            reactor.listenUDP(PACKET_PORT, self.receiver, host, 65536),
            reactor.listenTCP(7300, admin_site(self.dump, pages), interface=host),
        ]

    def stop(self):
        return stop_ports(self.ports)

    def dump(self):
        return {"counters": self.counters}

    def poll(self):
        polling = defer.ensureDeferred(fetch_objects(self.platform, self.reactor))
        return polling.addCallbacks(self.take_in, lambda _: None)

    def take_in(self, items):
        bodies = {"service": {}, "target": {}, "domain": {}, "profile": {}}
        self.versions = {f"{it['kind']}/{it['name']}": it["version"] for it in items}
        for item in items:
            bodies[item["kind"]][item["name"]] = item["body"]
        out = {n for n, d in bodies["domain"].items() if d.get("state") == "out"}
        self.targets = {
            f"{service['address']}:{service['port']}": [
                (target["host"], target["port"])
                for target in bodies["target"].values()
                if target["service"] == name and target["domain"] not in out
            ]
            for name, service in bodies["service"].items()
        }

    def receive(self, data, address):
        packet = unpack(data)
        if packet is None:
            self.counters["dropped"] += 1
            return
        write = self.receiver.transport.write
        if str(packet.src) in self.targets:
            self.counters["returned"] += 1
            write(data, (self.fabric, PACKET_PORT))
            return
        choices = self.targets.get(str(packet.dst), ())
        if not choices:
            self.counters["dropped"] += 1
            return
        self.counters["forwarded"] += 1
        write(data, max(choices, key=lambda it: weight(packet.src, it)))


def main(path):
    reactor = install_reactor()
    cfg = ConfigParser()
    cfg.read(path)
    entry = FakeEntry(
        cfg["entry"]["address"],
        cfg["fabric"]["address"],
        cfg["platform"]["url"],
        reactor,
    )
    reactor.callWhenRunning(entry.start)
    reactor.callWhenRunning(LoopingCall(entry.poll).start, POLL_PERIOD_S)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[-1])
