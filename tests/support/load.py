"""Production load on the control channel: prefilled flow tables, constant openings."""

import random
import struct

from kumquatshift.engine.messages import Record
from kumquatshift.engine.ring import bucket_of

from .network import udp_packet
from .site import TILLS, Site, address

HELD_FLOWS = 100_000
NEW_FLOWS_PER_S = 1000
CONTROL_KINDS = ("Heartbeat", "RecordBatch")
FIRST_PORT = 1024


def key_of(number):
    caller = bytes([10, 20, number >> 16 & 255, number >> 8 & 255])
    ports = struct.pack("!HH", FIRST_PORT + (number & 255), TILLS.port)
    return caller + address(TILLS.address) + ports + bytes([17])


class ControlLoad:
    """Site with full flow tables that counts the control traffic of its entries."""

    def __init__(self, seed=21, held=HELD_FLOWS, domains="aaabbccdd"):
        self.site = Site(seed=seed, domains=domains)
        self.net = self.site.net
        self.rng = random.Random(seed)
        self._fill(held)
        self.opened = held
        self.net.count_bytes = True

    def _fill(self, held):
        """Store records at primary and standbys, as packets of the flows would do."""
        now = self.net.now
        ring = next(iter(self.net.engines.values())).node.members.ring
        by_name = {name: engine.node for name, engine in self.net.engines.items()}
        created = by_name["e1"].store.by_name["tills"].created
        targets = [target.name for target in self.site.admitted(TILLS)]
        for number in range(held):
            key = key_of(number)
            bucket = bucket_of(key)
            born_ms = int((now - self.rng.random() * 300) * 1000)
            record = Record(key, targets[number % len(targets)], created, born_ms)
            for holder in ring.holders(bucket):
                flow = by_name[holder.name].flows.put(record, bucket, now)
                flow.holders = ring.holders(bucket)
                flow.replicated_at = now - 5 - self.rng.random() * 100
                flow.fully_replicated = True

    def run(self, seconds, new_per_s=NEW_FLOWS_PER_S):
        """Run the site; return bytes per second by entry and message type."""
        self.net.wire_bytes.clear()
        for step in range(int(seconds * new_per_s)):
            self.net.at(step / new_per_s, self._open)
        self.net.run(seconds)
        return {
            name: {kind: size / seconds for kind, size in kinds.items()}
            for name, kinds in self.net.wire_bytes.items()
        }

    def _open(self):
        key = key_of(self.opened)
        self.opened += 1
        sport, dport = struct.unpack("!HH", key[8:12])
        self.net.spray(udp_packet(key[:4], sport, key[4:8], dport))


def control_bytes_per_s(rates):
    """Return the control bytes per second of the entry that sends the most."""
    return max(
        sum(kinds.get(kind, 0) for kind in CONTROL_KINDS) for kinds in rates.values()
    )
