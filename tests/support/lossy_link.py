"""Both endpoints of a TCP connection on a fake clock, joined by a lossy link."""

import random
from dataclasses import dataclass

from twisted.internet.task import Clock

from kumquatshift.standins.bridge import StreamTable
from kumquatshift.standins.packets import Endpoint, unpack
from kumquatshift.standins.segments import State

CALLER = Endpoint("127.12.8.1", 40000)
SERVICE = Endpoint("127.12.9.1", 8080)
DELAY_S = 0.002
STEP_S = 0.01


@dataclass(frozen=True)
class LinkFaults:
    """Probability of each fault; `jitter_s` above 0 reorders packets."""

    loss: float = 0.0
    duplicate: float = 0.0
    jitter_s: float = 0.0
    seed: int = 0


class Owner:
    """Stream owner that records events; reads slowly if ``is_slow``."""

    def __init__(self, chunks=(), is_slow=False):
        self.chunks = list(chunks)
        self.is_slow = is_slow
        self.stream = None
        self.received = bytearray()
        self.events = []

    def attach(self, stream):
        self.stream = stream

    def stream_opened(self):
        self.events.append("opened")
        for chunk in self.chunks:
            self.stream.write(chunk)
        self.stream.close()

    def stream_received(self, data):
        self.received += data
        if self.is_slow:
            self.stream.pause()

    def stream_finished(self):
        self.events.append("finished")

    def stream_drained(self):
        pass

    def stream_lost(self, reason):
        self.events.append(f"lost: {reason}")


class Link:
    """A caller, a service and the link between them."""

    def __init__(self, faults, caller, service):
        self.clock = Clock()
        self.faults = faults
        self.rng = random.Random(faults.seed)
        self.is_cut = False
        self.max_buffered_bytes = 0
        self.caller, self.service = caller, service
        self.caller_table = StreamTable(
            self.clock, lambda seg: self.transmit(seg, self.service_table)
        )
        self.service_table = StreamTable(
            self.clock,
            lambda seg: self.transmit(seg, self.caller_table),
            lambda: service,
        )

    def open(self):
        self.caller.attach(self.caller_table.connect(CALLER, SERVICE, self.caller))

    def transmit(self, segment, table):
        packet = segment.pack()
        copies = 1 + (self.rng.random() < self.faults.duplicate)
        for _ in range(copies):
            if self.is_cut or self.rng.random() < self.faults.loss:
                continue
            delay_s = DELAY_S + self.faults.jitter_s * self.rng.random()
            self.clock.callLater(delay_s, self.deliver, packet, table)

    @staticmethod
    def deliver(packet, table):
        table.receive(unpack(packet))

    def run(self, limit_s):
        """Advance the clock until both endpoints are closed, at most ``limit_s``."""
        for _ in range(round(limit_s / STEP_S)):
            self.clock.advance(STEP_S)
            for owner in (self.caller, self.service):
                if owner.is_slow and owner.stream and owner.stream.receiver:
                    self.max_buffered_bytes = max(
                        self.max_buffered_bytes, len(owner.stream.receiver.undelivered)
                    )
                    owner.stream.resume()
            if not self.caller_table.streams and not self.service_table.streams:
                return

    @property
    def is_closed(self):
        done = (State.TIME_WAIT, State.CLOSED)
        return all(o.stream.state in done for o in (self.caller, self.service))
