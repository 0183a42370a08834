"""Platform whose calls block until the test releases each of them."""

from twisted.internet.defer import Deferred, succeed


class SteppedPlatform:
    """Forwards calls to another platform, one for each call of `step`."""

    STEPPED = ("list_objects", "read_object", "write_object", "delete_object")

    def __init__(self, inner):
        self.inner = inner
        self.waiting = []
        self.arrival = None
        self.finished = False

    def __getattr__(self, name):
        call = getattr(self.inner, name)
        return self._gated(call) if name in self.STEPPED else call

    def step(self):
        """Release the next call; the Deferred fires once its answer was delivered."""
        if self.finished:
            return succeed(None)
        if not self.waiting:
            self.arrival = Deferred()
            return self.arrival.addCallback(lambda _: self.step())
        gate, done = self.waiting.pop(0)
        gate.callback(None)
        return done

    def finish(self, value):
        """Make further steps return at once: the caller has ended."""
        self.finished = True
        self._notify_arrival()
        return value

    def _notify_arrival(self):
        if self.arrival is not None:
            arrival, self.arrival = self.arrival, None
            arrival.callback(None)

    def _gated(self, call):
        def gated(*args):
            gate, done = Deferred(), Deferred()
            gate.addCallback(lambda _: call(*args))
            answer = Deferred()
            gate.addCallback(answer.callback)
            gate.addCallback(done.callback)
            gate.addErrback(done.errback)
            self.waiting.append((gate, done))
            self._notify_arrival()
            return answer

        return gated
