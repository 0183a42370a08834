"""Which entries take packets, as the fabric finds out by asking them."""

from twisted.internet import defer
from twisted.internet.task import LoopingCall

PERIOD_S = 0.5
TIMEOUT_S = 1.0
MISSES = 2
HTTP_OK = 200


class ReadyChecks:
    """Asks every entry in turn whether it takes packets.

    ``fetch(host)`` returns a Deferred of the HTTP status of the entry's
    ``/ready``, or fails. An entry is ready after a 200, not ready at once
    after any other answer, and not ready after two misses in a row.
    """

    def __init__(self, spray, fetch, clock):
        self.spray = spray
        self.fetch = fetch
        self.misses = dict.fromkeys(spray.entries, 0)
        self.asking = set()
        self.loop = LoopingCall(self.ask_all)
        self.loop.clock = clock

    def start(self):
        """Ask now, and then every half second."""
        self.loop.start(PERIOD_S)

    def stop(self):
        """Ask no more."""
        if self.loop.running:
            self.loop.stop()

    def ask_all(self):
        """Ask each entry that has no question open."""
        for name in self.spray.entries:
            if name not in self.asking:
                self.asking.add(name)
                defer.ensureDeferred(self._ask(name))

    async def _ask(self, name):
        try:
            status = await self.fetch(self.spray.entries[name])
        except Exception:
            self._missed(name)
        else:
            self.misses[name] = 0
            self.spray.set_ready(name, status == HTTP_OK)
        finally:
            self.asking.discard(name)

    def _missed(self, name):
        self.misses[name] += 1
        if self.misses[name] >= MISSES:
            self.spray.set_ready(name, False)
