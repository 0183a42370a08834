"""Entries that find each other on a simulated network, with the real wire formats.

Peer services, members and heartbeat ports use the real code on a fake clock; their
datagrams arrive after one millisecond, or not at all between addresses that are cut off
from each other.
"""

from collections import deque
from unittest import mock

from twisted.internet.task import Clock

from kumquatshift.adapters import peer_service, peers
from kumquatshift.direct.lifecycle import Lifecycle
from kumquatshift.direct.members import Member, Members
from kumquatshift.direct.warmup import Warmup, WarmupBounds
from tests.support.direct_site import Recorder

DELAY_S = 0.001
PORT = 8166


class NetworkClock(Clock):
    """Clock that takes the place of the reactor of entries that are never suspended."""

    def addReader(self, reader):  # noqa: N802
        reader._sock.reader = reader

    def suspended_s(self):
        return 0.0


class FakeUdpSocket:
    """Socket whose datagrams go through a `PeerNetwork`."""

    def __init__(self, network):
        self._network = network
        self._received = deque()
        self.address = None
        self.reader = None

    def setblocking(self, blocks):
        pass

    def bind(self, address):
        self.address = address
        self._network.sockets[address] = self

    def sendto(self, data, address):
        self._network.send(data, self.address, address)

    def recvfrom(self, size):
        if not self._received:
            raise BlockingIOError
        return self._received.popleft()

    def receive(self, data, sender):
        self._received.append((data, sender))
        self.reader.doRead()


class PeerNetwork:
    """All entries of a site, by name, and the datagrams between them."""

    def __init__(self, seeds=()):
        self.clock = NetworkClock()
        self.clock.advance(100)
        self.entries = {}
        self.sockets = {}
        self.cuts = set()
        self._seeds = list(seeds)

    def address(self, name):
        """Return the address of an entry, which it keeps when it starts again."""
        return f"10.0.{ord(name[0])}.{name[2:]}", PORT

    def start(self, name):
        """Start the entry of a name such as ``b-2``, in the domain ``b``."""
        self.end(name)
        seeds = [self.address(seed) for seed in self._seeds]
        with (
            mock.patch.multiple(
                peers, socket=mock.Mock(socket=lambda *_: FakeUdpSocket(self))
            ),
            mock.patch.object(peer_service, "PageServer"),
        ):
            self.entries[name] = PeerEntry(self, name, seeds)

    def end(self, name):
        """End an entry, as if it was killed."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            entry.end()

    def cut(self, name, other):
        """Let no datagrams through between two entries until `heal`."""
        self.cuts |= {
            (self.address(name), self.address(other)),
            (self.address(other), self.address(name)),
        }

    def heal(self):
        self.cuts.clear()

    def run(self, seconds):
        """Run from one call that is due to the next, for so many seconds."""
        clock = self.clock
        end = clock.seconds() + seconds
        while clock.calls and clock.calls[0].getTime() <= end:
            clock.advance(max(0.0, clock.calls[0].getTime() - clock.seconds()))
        clock.advance(end - clock.seconds())

    def send(self, data, sender, receiver):
        if (sender, receiver) not in self.cuts:
            self.clock.callLater(DELAY_S, self._deliver, data, sender, receiver)

    def _deliver(self, data, sender, receiver):
        sock = self.sockets.get(receiver)
        if sock is not None:
            sock.receive(data, sender)


class PeerEntry:
    """The part of an entry that finds others and shares the limits of cold targets."""

    def __init__(self, network, name, seeds):
        domain = name.partition("-")[0]
        me = Member(name, domain, network.address(name))
        self.events = Recorder()
        self.warmup = Warmup(WarmupBounds(1.5, 5), domain)
        self._network = network
        self._address = me.address
        self._clock = EntryClock(network.clock)
        self.service = peer_service.PeerService(
            self._clock,
            Members(me, seeds, self.events),
            mock.Mock(suspects=lambda now: (), refutations=lambda now: ()),
            {},
            self.warmup,
            Lifecycle(6.0),
            mock.Mock(),
        )
        self.service.start()

    def names(self):
        return set(self.service.names())

    def end(self):
        self._clock.is_over = True
        del self._network.sockets[self._address]


class EntryClock:
    """The network's clock for one entry, whose calls end with it."""

    def __init__(self, clock):
        self.is_over = False
        self._clock = clock
        self.seconds = clock.seconds
        self.suspended_s = clock.suspended_s
        self.addReader = clock.addReader

    def callLater(self, delay, call, *args):  # noqa: N802
        return self._clock.callLater(delay, self._call, call, args)

    def _call(self, call, args):
        if not self.is_over:
            call(*args)
