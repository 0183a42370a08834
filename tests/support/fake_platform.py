"""In-memory platform whose answers are set by the test."""

from returns.result import Failure as Failed, Success
from twisted.internet.defer import Deferred, succeed

from kumquatshift.errors import ErrorKind, Failure
from kumquatshift.platform_port import Listing

UNREACHABLE = Failure(ErrorKind.UNAVAILABLE, "the platform is unreachable")


class FakeWatch:
    def __init__(self, since, on_event, on_end):
        self.since = since
        self.on_event = on_event
        self.on_end = on_end
        self.stopped = False

    def stop(self):
        self.stopped = True


class FakePlatform:
    """Answers list calls with ``listing``.

    While ``holding`` is set, list calls stay open; while ``refusing`` is set, list
    calls fail. New watches deliver ``changes``; open ones have no connection to do so.
    """

    def __init__(self, version=0):
        self.listing = Listing(version, ())
        self.refusing = False
        self.holding = False
        self.lists = 0
        self.refused = 0
        self.held = []
        self.watches = []
        self.changes = ()
        self.vms = ()

    def list_objects(self, kind=None):
        if self.holding:
            self.held.append(Deferred(lambda fut: fut.callback(Failed(UNREACHABLE))))
            return self.held[-1]
        if self.refusing:
            self.refused += 1
            return succeed(Failed(UNREACHABLE))
        self.lists += 1
        return succeed(Success(self.listing))

    def watch_objects(self, since, on_event, on_end):
        watch = FakeWatch(since, on_event, on_end)
        self.watches.append(watch)
        for obj in self.changes:
            if obj.version > since:
                on_event(obj)
        return watch

    def list_vms(self):
        return succeed(Failed(UNREACHABLE) if self.refusing else Success(self.vms))
