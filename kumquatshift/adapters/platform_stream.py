"""The HTTP stream of a watch of the platform."""

from twisted.internet.protocol import Protocol
from twisted.protocols.basic import LineOnlyReceiver

from .. import tolerant_json
from ..eras import ordered
from ..errors import ErrorKind, Failure
from ..platform_port import Expired, Progress
from .http import describe_failure
from .platform_answers import decode_or_skip, era_of

MAX_LINE_BYTES = 2 * 1024 * 1024


class HttpWatch(LineOnlyReceiver):
    """One open watch from a version of ``era``; each line is a JSON value.

    If the platform is in another era, its changes do not follow on that version.
    """

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, fut, era, on_event, on_end):
        self._fut = fut
        self._on_event = on_event
        self._on_end = on_end
        self._stopped = False
        self._era = era
        fut.addCallbacks(self._on_response, self._on_request_failed)

    def stop(self):
        """Close the watch; no callback is called after this."""
        self._stopped = True
        self._fut.cancel()
        if self.transport is not None:
            self.transport.loseConnection()

    def lineReceived(self, line):  # noqa: N802
        """Report one event: a change, or progress of the platform's version."""
        if self._stopped or not line.strip():
            return
        try:
            value, _ = tolerant_json.loads(line)
        except ValueError:
            self._end(Failure(ErrorKind.UNAVAILABLE, "a line of the watch is not JSON"))
            self.transport.loseConnection()
            return
        event = _parse_event(value, self._era)
        if event is not None:
            self._on_event(event)

    def connectionLost(self, reason):  # noqa: N802
        """Report the end of the watch."""
        self._end(
            Failure(
                ErrorKind.UNAVAILABLE, f"the watch ended: {describe_failure(reason)}"
            )
        )

    def _on_response(self, response):
        if self._stopped:
            response.deliverBody(_Abort())
        elif response.code == 200 and era_of(response) == self._era:
            response.deliverBody(self)
        elif response.code == 200:
            response.deliverBody(_Abort())
            self._end(Expired(ErrorKind.NOT_FOUND, "the platform has been restored"))
        else:
            response.deliverBody(_Abort())
            self._end(_watch_refused(response.code))

    def _on_request_failed(self, reason):
        self._end(
            Failure(
                ErrorKind.UNAVAILABLE,
                f"cannot open the watch: {describe_failure(reason)}",
            )
        )

    def _end(self, failure):
        if not self._stopped:
            self._stopped = True
            self._on_end(failure)


class _Abort(Protocol):
    """Closes a connection instead of reading its body."""

    def connectionMade(self):  # noqa: N802
        """Close the connection."""
        self.transport.loseConnection()


def _watch_refused(code):
    if code == 410:
        return Expired(ErrorKind.NOT_FOUND, "the version to watch from is too old")
    return Failure(
        ErrorKind.UNAVAILABLE, f"the platform refused the watch with status {code}"
    )


def _parse_event(value, era):
    if isinstance(value, dict) and set(value) == {"version"}:
        version = value["version"]
        return Progress(ordered(era, version)) if isinstance(version, int) else None
    return decode_or_skip(value, era)
