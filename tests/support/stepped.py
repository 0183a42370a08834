"""A platform whose calls wait until the test lets each one through."""

from twisted.internet.defer import Deferred, succeed


class SteppedPlatform:
    """Passes calls on to another platform, each when `step` is called."""

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
        """Let the next call through; gives once its answer was handed over."""
        if self.finished:
            return succeed(None)
        if not self.waiting:
            self.arrival = Deferred()
            return self.arrival.addCallback(lambda _: self.step())
        turn, done = self.waiting.pop(0)
        turn.callback(None)
        return done

    def finish(self, value):
        """Let steps pass: the caller has ended, and makes no more calls."""
        self.finished = True
        self._arrived()
        return value

    def _arrived(self):
        if self.arrival is not None:
            arrival, self.arrival = self.arrival, None
            arrival.callback(None)

    def _gated(self, call):
        def gated(*args):
            turn, done = Deferred(), Deferred()
            turn.addCallback(lambda _: call(*args))
            answer = Deferred()
            turn.addCallback(answer.callback)
            turn.addCallback(done.callback)
            turn.addErrback(done.errback)
            self.waiting.append((turn, done))
            self._arrived()
            return answer

        return gated
