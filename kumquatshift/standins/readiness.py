"""Readiness checks by which the fabric finds entries that accept packets."""

from twisted.internet import defer
from twisted.internet.task import LoopingCall

CHECK_INTERVAL_S = 0.5
TIMEOUT_S = 1.0
MAX_MISSES = 2
HTTP_OK = 200


class ReadyChecks:
    """Polls the readiness of every entry.

    ``fetch(host)`` returns a Deferred with the HTTP status of ``/ready`` of the
    entry, or fails. An entry is ready after a 200, not ready immediately after any
    other status, and not ready after two consecutive failures.
    """

    def __init__(self, spray, fetch, clock):
        self.spray = spray
        self.fetch = fetch
        self.misses = dict.fromkeys(spray.entries, 0)
        self.pending = set()
        self.loop = LoopingCall(self.check_all)
        self.loop.clock = clock

    def start(self):
        """Check now, and then every half second."""
        self.loop.start(CHECK_INTERVAL_S)

    def stop(self):
        """Stop the checks."""
        if self.loop.running:
            self.loop.stop()

    def check_all(self):
        """Check each entry that has no check in progress."""
        for name in self.spray.entries:
            if name not in self.pending:
                self.pending.add(name)
                defer.ensureDeferred(self._check(name))

    async def _check(self, name):
        try:
            status = await self.fetch(self.spray.entries[name])
        except Exception:
            self._record_miss(name)
        else:
            self.misses[name] = 0
            self.spray.set_ready(name, status == HTTP_OK)
        finally:
            self.pending.discard(name)

    def _record_miss(self, name):
        self.misses[name] += 1
        if self.misses[name] >= MAX_MISSES:
            self.spray.set_ready(name, False)
