"""Connections of simulated entries to the store and to each other, on a fake clock."""

from urllib.parse import parse_qs, urlsplit

from kumquatshift.adapters.http_client import IDLE_TIMEOUT_S, CallFailure, Response
from kumquatshift.adapters.http_server import BUSY_STATUS
from kumquatshift.direct.calls import Failure
from kumquatshift.standins.metadata_store import encode

STORE_ADDRESS = ("10.0.1.1", 1)
CALL_DELAY_S = 0.004
STEP_S = 0.01
PAUSE_POLL_S = 0.1
WAIT = object()


class SimulatedConnection:
    """Takes the place of `HttpConnection`; once silent, nothing on it arrives.

    A call that is not answered times out, and the next one opens a new connection.
    """

    def __init__(self, node, address):
        self.address = address
        self.is_open = False
        self.is_silent = False
        self._node = node
        self._clock = node.clock
        self._used_at = None
        self._on_done = None
        self._number = 0

    def call(self, method, path, body, timeout_s, on_done):
        now = self._clock.seconds()
        if self._used_at is not None and now - self._used_at > IDLE_TIMEOUT_S:
            self.close()
        if self.address == STORE_ADDRESS:
            self._node.calls.append((now, path))
        self.is_open = True
        self._number += 1
        self._on_done = on_done
        failure = CallFailure(Failure.TIMEOUT, "no response in time")
        self._clock.callLater(timeout_s, self._fail, self._number, failure)
        request = Request(path, now, self._node.domain.store.era)
        self._clock.callLater(CALL_DELAY_S, self._serve, self._number, request)

    def close(self):
        self._on_done = None
        self._used_at = None
        self.is_open = self.is_silent = False

    def _serve(self, number, request):
        """Answer a call unless it is over; a watch may wait for its answer."""
        if not self._is_pending(number) or self.is_silent:
            return
        if self._node.is_paused:
            self._clock.callLater(PAUSE_POLL_S, self._serve, number, request)
            return
        serve = self._serve_store if self.address == STORE_ADDRESS else self._serve_peer
        answer = serve(request)
        if answer is WAIT:
            self._clock.callLater(STEP_S, self._serve, number, request)
        elif isinstance(answer, CallFailure):
            self._fail(number, answer)
        elif answer is not None:
            self._used_at = self._clock.seconds()
            on_done, self._on_done = self._on_done, None
            on_done(answer)

    def _fail(self, number, failure):
        if not self._is_pending(number):
            return
        if self._node.is_paused:
            self._clock.callLater(PAUSE_POLL_S, self._fail, number, failure)
            return
        on_done = self._on_done
        self.close()
        on_done(failure)

    def _is_pending(self, number):
        return number == self._number and self._on_done is not None and self._node.is_up

    def _serve_store(self, request):
        domain = self._node.domain
        store = domain.store
        fault = self._node.own_store_fault or domain.trouble
        is_new = not request.is_open
        request.is_open = True
        if fault == "refuses" and is_new:
            return Response(503, b"", {})
        is_restored = store.era != request.era
        if is_restored and domain.breaks_watches:
            return CallFailure(Failure.BROKEN, "closed")
        if fault or (is_restored and not is_new):
            return None  # An open watch receives nothing more.
        if not request.is_watch:
            return response(store.page(request.kind, request.after), store.era)
        if not store.has_history_since(request.since):
            return Response(410, b"", {})
        events = store.since(request.kind, request.since)
        if not events and self._clock.seconds() < request.until:
            return WAIT
        changes = {"events": events, "currentRev": store.revision}
        return response(changes, store.era)

    def _serve_peer(self, request):
        domain = self._node.domain
        peer = next(n for n in domain.nodes if n.me.address == self.address)
        domain.peer_update_calls += 1
        now = peer.clock.seconds()
        _, since = peer.codec.parse_query(request.query.encode())
        update = peer.feed.updates_since(since, now) if peer.is_up else None
        if update is None:
            return CallFailure(Failure.BROKEN, "closed")
        if not peer.transfer_limiter.admits(domain.answer_bytes, now):
            return Response(BUSY_STATUS, b"", {})
        peer.long_answers.append(now)
        if update.is_snapshot:
            domain.snapshots_sent += 1
        return Response(200, peer.codec.encode(update, since), {})


class Request:
    """The path of a call, taken apart."""

    def __init__(self, path, called_at, era):
        url = urlsplit(path)
        query = parse_qs(url.query)
        self.query = url.query
        self.kind = url.path.rpartition("/")[2]
        self.after = query.get("after", [""])[0]
        self.is_watch = "watch" in query
        self.since = int(query.get("watch", ["0"])[0])
        self.until = called_at + int(query.get("waitMs", ["0"])[0]) / 1000
        self.era = era
        self.is_open = False


def response(value, era):
    """Return the store's response with a JSON body."""
    return Response(200, encode(value), {b"store-era": b"%d" % era})
