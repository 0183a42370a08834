"""The platform's store: one connection for each kind of object.

A feed decides which call is next; this makes it and hands the answer over.
"""

from __future__ import annotations

from ..adapters.http_call import CallFailure, HttpCaller, Response
from ..direct.feed import Failure, Feed, ListCall, WatchCall
from .objects import UnreadableError, changes_from, page_from

FAILURES = {410: Failure.EXPIRED, 429: Failure.OVERLOADED}


class StoreReader:
    """Keeps one feed up to date."""

    def __init__(self, reactor, address: tuple[str, int], feed: Feed):
        self._reactor = reactor
        self._caller = HttpCaller(reactor, address)
        self._feed = feed
        self._next = None
        self._is_stopped = False

    def start(self) -> None:
        """Make the feed's next call as soon as it is due."""
        wait_s = self._feed.wait_s(self._reactor.seconds())
        self._next = self._reactor.callLater(wait_s, self._call)

    def stop(self) -> None:
        """Make no more calls, and close the connection."""
        self._is_stopped = True
        if self._next is not None and self._next.active():
            self._next.cancel()
        self._caller.close()

    def _call(self) -> None:
        call = self._feed.next_call()
        done = self._listed if isinstance(call, ListCall) else self._watched
        self._caller.call("GET", path_of(call), b"", call.timeout_s, done)

    def _listed(self, answer: Response | CallFailure) -> None:
        self._take(answer, page_from, self._feed.take_page)

    def _watched(self, answer: Response | CallFailure) -> None:
        self._take(answer, changes_from, self._feed.take_changes)

    def _take(self, answer, decode, take) -> None:
        now = self._reactor.seconds()
        if isinstance(answer, CallFailure):
            self._feed.take_failure(answer.failure, answer.detail, now)
        elif answer.status != 200:
            failure = FAILURES.get(answer.status, Failure.UNAVAILABLE)
            self._feed.take_failure(failure, f"status {answer.status}", now)
        else:
            try:
                take(decode(answer.body), now)
            except UnreadableError as exc:
                self._feed.take_failure(Failure.UNREADABLE, str(exc), now)
        if not self._is_stopped:
            self.start()


def path_of(call: ListCall | WatchCall) -> str:
    """Return the path and query of a call."""
    path = f"/api/objects/{call.kind}"
    if isinstance(call, WatchCall):
        return f"{path}?watch={call.revision}&waitMs={int(call.wait_s * 1000)}"
    return f"{path}?after={_quoted(call.after)}" if call.after else path


def _quoted(name: str) -> str:
    """Escape a name for a query (RFC 3986, section 2.1).

    ``urllib.parse`` does the same, and is most of a list's time to import.
    """
    safe = [
        char if char.isascii() and (char.isalnum() or char in "-._~") else None
        for char in name
    ]
    return "".join(
        kept or "".join(f"%{byte:02X}" for byte in char.encode())
        for kept, char in zip(safe, name, strict=True)
    )
