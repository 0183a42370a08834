"""Fake entry that selects a target by a hash over the platform's targets.

It is started with a settings file, like the real entry. It has no flow table, so
flows may move to other targets when the list of objects changes.
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
    """Forwards by rendezvous hashing over targets in domains that are in service."""

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
        return polling.addCallbacks(self.apply_objects, lambda _: None)

    def apply_objects(self, items):
        objects_by_kind = {"service": {}, "target": {}, "domain": {}, "profile": {}}
        self.versions = {f"{it['kind']}/{it['name']}": it["version"] for it in items}
        for item in items:
            objects_by_kind[item["kind"]][item["name"]] = item["body"]
        evacuated = {
            n for n, d in objects_by_kind["domain"].items() if d.get("state") == "out"
        }
        self.targets = {
            f"{service['address']}:{service['port']}": [
                (target["host"], target["port"])
                for target in objects_by_kind["target"].values()
                if target["service"] == name and target["domain"] not in evacuated
            ]
            for name, service in objects_by_kind["service"].items()
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
        candidates = self.targets.get(str(packet.dst), ())
        if not candidates:
            self.counters["dropped"] += 1
            return
        self.counters["forwarded"] += 1
        write(data, max(candidates, key=lambda it: weight(packet.src, it)))


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
