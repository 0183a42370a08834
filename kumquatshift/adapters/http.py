"""What the HTTP clients of the system share."""

from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import ResponseFailed


def limit(fut: Deferred, seconds: float, reactor) -> Deferred:
    """Make a call fail with `twisted.internet.defer.TimeoutError` in time.

    The agent wraps the cancellation in errors of its own; a plain time-out is
    what callers look for.
    """

    def late(value, _):
        if isinstance(value, Failure):
            raise defer.TimeoutError(f"no answer in {seconds:g} s")
        return value

    return fut.addTimeout(seconds, reactor, late)


def told(reason: Failure) -> str:
    """Return what went wrong with a call, in a few words."""
    exc = reason.value
    if reason.check(defer.CancelledError):
        return "given up"
    if isinstance(exc, ResponseFailed) and exc.reasons:
        exc = exc.reasons[0].value
    return str(exc).rstrip(".") or type(exc).__name__
