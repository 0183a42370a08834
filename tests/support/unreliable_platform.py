"""In-memory platform that loses and delays answers at random."""

from returns.result import Failure as Failed
from twisted.internet.defer import Deferred

from kumquatshift.codec import body_to_json, kind_of, object_from_json
from kumquatshift.engine.objects import Kind
from kumquatshift.errors import ErrorKind, Failure
from kumquatshift.platform_port import Conflict, Progress
from kumquatshift.standins.platform_store import Refused, Store

CALL_LIMIT_S = 5
MAX_DELAY_S = 8
ANSWER_LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "the answer was lost")
UNREACHABLE = Failure(ErrorKind.UNAVAILABLE, "the platform is unreachable")


class UnreliablePlatform:
    """Implements the platform port on the real store, with random faults.

    A write takes effect after a random delay, possibly long after its caller has
    timed out. Its answer may be lost, and reads may be up to two versions stale.
    """

    def __init__(self, clock, rng, fault_probability):
        self.clock = clock
        self.rng = rng
        self.fault_probability = fault_probability
        self.store = Store()

    def write_object(self, body, version, operation):
        key = (kind_of(body).value, body.name)
        value = body_to_json(body)
        return self._change(lambda: self.store.put(key, version, operation, value))

    def delete_object(self, kind, name, version, operation):
        key = (kind.value, name)
        return self._change(lambda: self.store.delete(key, version, operation))

    def read_object(self, kind, name):
        return self._answer(lambda: self._read(kind, name), UNREACHABLE)

    def watch_objects(self, since, on_event, on_end):
        watch = MemoryWatch(since, on_event, on_end)
        self.clock.callLater(self._delay_s(), self._send_events, watch)
        return watch

    def _change(self, call):
        done, delay_s = Deferred(), self._delay_s()
        if self._draw_fault():
            # The answer is lost. The request is lost too, or arrives late.
            if self._draw_fault():
                delay_s = self.rng.uniform(0, MAX_DELAY_S)
                self.clock.callLater(delay_s, self._apply, call)
            wait_s = self.rng.uniform(0, CALL_LIMIT_S)
            self.clock.callLater(wait_s, done.callback, Failed(ANSWER_LOST))
        else:
            self.clock.callLater(delay_s, lambda: done.callback(self._apply(call)))
        return done

    def _answer(self, call, failure):
        done = Deferred()
        failed = Failed(failure) if self._draw_fault() else None
        self.clock.callLater(self._delay_s(), lambda: done.callback(failed or call()))
        return done

    def _apply(self, call):
        try:
            return object_from_json(call())
        except Refused as exc:
            current = object_from_json(exc.answer).value_or(None)
            conflict = Conflict(ErrorKind.CONFLICT, "refused", "", current)
            return Failed(conflict)

    def _read(self, kind, name):
        stale = self.rng.randrange(3) if self._draw_fault() else 0
        version = max(0, self.store.version - stale)
        found = self.store.at(version).get((kind.value, name))
        if found is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, "no such object"))
        return object_from_json(found)

    def _send_events(self, watch):
        if self._draw_fault():
            return watch.end()
        for change in self.store.since(watch.since):
            watch.send(object_from_json(change).unwrap())
        return watch.send(Progress(self.store.version))

    def _draw_fault(self):
        return self.rng.random() < self.fault_probability

    def _delay_s(self):
        return self.rng.uniform(0.001, 0.5)


class MemoryWatch:
    def __init__(self, since, on_event, on_end):
        self.since = since
        self.on_event = on_event
        self.on_end = on_end
        self.stopped = False

    def stop(self):
        self.stopped = True

    def send(self, event):
        if not self.stopped:
            self.on_event(event)

    def end(self):
        if not self.stopped:
            self.on_end(UNREACHABLE)


class NaiveWriter:
    """Baseline that treats a write without an answer as not applied."""

    def __init__(self, platform, clock, make_operation):
        self.platform = platform
        self.make_operation = make_operation

    async def write(self, change):
        operation = self.make_operation()
        if change.after is None:
            return await self.platform.delete_object(
                Kind(change.kind), change.name, change.version, operation
            )
        return await self.platform.write_object(change.after, change.version, operation)
