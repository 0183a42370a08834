"""Shared helpers of the Twisted HTTP clients."""

from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import ResponseFailed


def with_timeout(fut: Deferred, seconds: float, reactor) -> Deferred:
    """Make a call fail with `twisted.internet.defer.TimeoutError` after a time.

    The agent wraps the cancellation in errors of its own, which this replaces:
    the code that makes the call checks for a plain timeout.
    """

    def late(value, _):
        if isinstance(value, Failure):
            raise defer.TimeoutError(f"no answer within {seconds:g} s")
        return value

    return fut.addTimeout(seconds, reactor, late)


def describe_failure(reason: Failure) -> str:
    """Return a short text for the failure of a call."""
    exc = reason.value
    if reason.check(defer.CancelledError):
        return "cancelled"
    if isinstance(exc, ResponseFailed) and exc.reasons:
        exc = exc.reasons[0].value
    return str(exc).rstrip(".") or type(exc).__name__
