"""What the HTTP clients of the system share."""

from treq.client import HTTPClient
from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed


def new_client(reactor, connect_timeout_s: float, policy=None) -> HTTPClient:
    """Return a client that sends each request once, on a connection of its own.

    On kept connections Twisted sends a request again by itself if the first
    connection turns out to be closed, even a write.
    """
    pool = HTTPConnectionPool(reactor, persistent=False)
    options = {} if policy is None else {"contextFactory": policy}
    agent = Agent(reactor, connectTimeout=connect_timeout_s, pool=pool, **options)
    return HTTPClient(agent)


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
        exc = exc.reasons[-1].value
    return str(exc).rstrip(".") or type(exc).__name__
