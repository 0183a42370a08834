"""An open watch of the platform over HTTP."""

import json

from twisted.internet.protocol import Protocol
from twisted.protocols.basic import LineOnlyReceiver

from ..errors import ErrorKind, Failure
from ..platform_port import Expired, Progress
from .http import told
from .platform_answers import decoded

MAX_LINE_BYTES = 2 * 1024 * 1024


class HttpWatch(LineOnlyReceiver):
    """One open watch: a JSON value a line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, fut, on_event, on_end):
        self._fut = fut
        self._on_event = on_event
        self._on_end = on_end
        self._stopped = False
        fut.addCallbacks(self._opened, self._failed)

    def stop(self):
        """Close the watch; nothing is told any more."""
        self._stopped = True
        self._fut.cancel()
        if self.transport is not None:
            self.transport.loseConnection()

    def lineReceived(self, line):  # noqa: N802
        """Tell one change, or how far the platform has come."""
        if self._stopped or not line.strip():
            return
        try:
            value = json.loads(line)
        except ValueError:
            self._end(Failure(ErrorKind.UNAVAILABLE, "a line of the watch is no JSON"))
            self.transport.loseConnection()
            return
        event = _event(value)
        if event is not None:
            self._on_event(event)

    def connectionLost(self, reason):  # noqa: N802
        """Tell that the watch has ended."""
        self._end(Failure(ErrorKind.UNAVAILABLE, f"the watch ended: {told(reason)}"))

    def _opened(self, response):
        if self._stopped:
            response.deliverBody(_Abort())
        elif response.code == 200:
            response.deliverBody(self)
        else:
            response.deliverBody(_Abort())
            self._end(_refused_watch(response.code))

    def _failed(self, reason):
        self._end(Failure(ErrorKind.UNAVAILABLE, f"no watch: {told(reason)}"))

    def _end(self, failure):
        if not self._stopped:
            self._stopped = True
            self._on_end(failure)


class _Abort(Protocol):
    """Closes a connection whose body nobody wants."""

    def connectionMade(self):  # noqa: N802
        """Close it."""
        self.transport.loseConnection()


def _refused_watch(code):
    if code == 410:
        return Expired(ErrorKind.NOT_FOUND, "the version to watch from is too old")
    return Failure(ErrorKind.UNAVAILABLE, f"the platform refused the watch: {code}")


def _event(value):
    if isinstance(value, dict) and set(value) == {"version"}:
        return Progress(value["version"]) if isinstance(value["version"], int) else None
    return decoded(value)
