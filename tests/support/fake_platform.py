"""A platform in memory whose answers a test gives by hand."""

from returns.result import Failure as Failed, Success
from twisted.internet.defer import Deferred, succeed

from kumquatshift.errors import ErrorKind, Failure
from kumquatshift.platform_port import Listing

OUT = Failure(ErrorKind.UNAVAILABLE, "the platform is out of reach")


class FakeWatch:
    def __init__(self, since, on_event, on_end):
        self.since = since
        self.on_event = on_event
        self.on_end = on_end
        self.stopped = False

    def stop(self):
        self.stopped = True


class FakePlatform:
    """Answers lists at once with ``listing``, unless told to hold or refuse them."""

    def __init__(self, version=0):
        self.listing = Listing(version, ())
        self.refusing = False
        self.holding = False
        self.lists = 0
        self.refused = 0
        self.held = []
        self.watches = []
        self.vms = ()

    def list_objects(self, kind=None):
        if self.holding:
            self.held.append(Deferred(lambda fut: fut.callback(Failed(OUT))))
            return self.held[-1]
        if self.refusing:
            self.refused += 1
            return succeed(Failed(OUT))
        self.lists += 1
        return succeed(Success(self.listing))

    def watch_objects(self, since, on_event, on_end):
        self.watches.append(FakeWatch(since, on_event, on_end))
        return self.watches[-1]

    def list_vms(self):
        return succeed(Failed(OUT) if self.refusing else Success(self.vms))
