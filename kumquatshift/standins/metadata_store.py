"""Stand-in for the metadata store of the users' platform, with fault injection.

It keeps objects by kind and name, increments a single revision with each change,
and serves paged lists and long-polling watches. `StoreFaults` defines the injected
faults, for all callers or for those at some addresses only.
"""

import json
from copy import deepcopy
from dataclasses import dataclass, field

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

MAX_WAIT_MS = 30_000

# Marks the place of a `Raw` content in a response that is being encoded.
RAW_MARK = "raw content "
PAGE_SIZE = 50

# A response over a slow link is sent in this many chunks.
BODY_CHUNKS = 8


@dataclass
class StoreFaults:
    """Faults that are currently injected.

    ``refuse`` is an HTTP status with which all calls fail, 0 for none. ``silent``
    accepts calls and never responds; ``reset`` aborts the connection at once. A
    response starts after ``latency_s`` and is sent in chunks over ``sending_s``.
    The next ``cut_answers`` responses are truncated and the connection closed; the
    next ``garble_answers`` ones are invalid JSON. If ``only`` is not empty, the
    faults apply only to callers at these addresses.
    """

    refuse: int = 0
    silent: bool = False
    reset: bool = False
    latency_s: float = 0.0
    sending_s: float = 0.0
    cut_answers: int = 0
    garble_answers: int = 0
    only: frozenset[str] = frozenset()


class Raw(bytes):
    """Content of an object that is sent as it is, whether it can be read or not."""


@dataclass(frozen=True)
class StoreCopy:
    """State of a store at one moment, from which it can be restored."""

    revision: int
    oldest: int
    objects: dict[tuple[str, str], dict]
    history: list[tuple[int, str, dict, bool]]


@dataclass
class MetadataStore:
    """Objects, their revisions, and the history of recent changes.

    ``era`` rises each time that the store is restored from a copy.
    """

    era: int = 1
    revision: int = 1
    oldest: int = 0
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: list[tuple[int, str, dict, bool]] = field(default_factory=list)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object; do nothing if its spec is unchanged."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "createRevision": old["meta"]["createRevision"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        obj = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = obj
        self.history.append((self.revision, kind, obj, False))

    def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self.history.append((self.revision, kind, obj, True))

    def compact(self) -> None:
        """Drop the history; watches from older revisions then fail."""
        self.history.clear()
        self.oldest = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            self.revision, self.oldest, deepcopy(self.objects), list(self.history)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to the state of a copy: all later changes are lost.

        Their revisions are given out again.
        """
        self.era += 1
        self.revision = copy.revision
        self.oldest = copy.oldest
        self.objects = deepcopy(copy.objects)
        self.history = list(copy.history)

    def has_history_since(self, revision: int) -> bool:
        """Return whether all changes since ``revision`` are known."""
        return self.oldest <= revision <= self.revision

    def page(self, kind: str, after: str) -> dict:
        """Return one page of the objects of a kind whose names sort after ``after``."""
        found = sorted(
            (name, obj)
            for (each, name), obj in self.objects.items()
            if each == kind and name > after
        )
        items = [obj for _, obj in found[:PAGE_SIZE]]
        more = len(found) > PAGE_SIZE
        return {"items": items, "more": more, "currentRev": self.revision}

    def since(self, kind: str, revision: int) -> list[dict]:
        """Return the events for a kind since ``revision``."""
        return [
            {"object": obj, "deleted": deleted}
            for at, each, obj, deleted in self.history
            if each == kind and at > revision
        ]


def encode(value: object) -> bytes:
    """Return a response as JSON, with `Raw` contents as they are."""
    raws: list[bytes] = []

    def mark(raw: Raw) -> str:
        raws.append(raw)
        return f"{RAW_MARK}{len(raws) - 1}"

    body = json.dumps(value, default=mark).encode()
    for number, raw in enumerate(raws):
        body = body.replace(json.dumps(f"{RAW_MARK}{number}").encode(), raw)
    return body


class StoreApi(Resource):
    """HTTP API of the store."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor):
        super().__init__()
        self.store = MetadataStore()
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.callers: list[str] = []
        self._reactor = reactor
        self._watches: list[_PendingWatch] = []

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, and notify the watches."""
        self.store.put(kind, name, spec)
        self._notify_watches()

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, and notify the watches."""
        self.store.delete(kind, name)
        self._notify_watches()

    def compact(self) -> None:
        """Drop the history, and abort the connections of all watches."""
        self.store.compact()
        for watch in list(self._watches):
            watch.request.transport.abortConnection()

    def restore(self, copy: StoreCopy) -> None:
        """Return to the state of a copy, and abort the connections of all watches."""
        self.store.restore(copy)
        for watch in list(self._watches):
            watch.request.transport.abortConnection()

    def silence(self) -> None:
        """Stop all open watches from ever responding; keep their connections open."""
        for watch in list(self._watches):
            watch.silence()

    def render_GET(self, request):  # noqa: N802
        """Respond to a list or watch call, or inject a fault."""
        request.setHeader("store-era", str(self.store.era))
        caller = request.transport.getPeer().host
        self.calls.append(request.uri.decode())
        self.callers.append(caller)
        faults = self.faults
        if faults.only and caller not in faults.only:
            faults = StoreFaults()
        if faults.reset:
            request.transport.abortConnection()
            return NOT_DONE_YET
        if faults.silent:
            return NOT_DONE_YET
        if faults.refuse:
            request.setResponseCode(faults.refuse)
            return b""
        if faults.latency_s:
            self._reactor.callLater(faults.latency_s, self._answer, request)
        else:
            self._answer(request)
        return NOT_DONE_YET

    def _answer(self, request):
        request.setHeader("store-era", str(self.store.era))
        kind = request.path.decode().rpartition("/")[2]
        args = {k.decode(): v[0].decode() for k, v in request.args.items()}
        if "watch" not in args:
            self._send(request, self.store.page(kind, args.get("after", "")))
            return
        revision = int(args["watch"])
        if not self.store.has_history_since(revision):
            request.setResponseCode(410)
            self._send(request, {})
            return
        wait_ms = min(int(args.get("waitMs", "0")), MAX_WAIT_MS)
        watch = _PendingWatch(self, request, kind, revision)
        if not watch.send_events():
            self._watches.append(watch)
            watch.timeout = self._reactor.callLater(wait_ms / 1000, watch.expire)

    def _notify_watches(self):
        if self.faults.silent and not self.faults.only:
            return
        for watch in list(self._watches):
            watch.send_events()

    def discard(self, watch):
        """Remove a finished watch."""
        if watch in self._watches:
            self._watches.remove(watch)

    def _send(self, request, value):
        body = encode(value)
        if request.channel is None:
            return  # The caller has disconnected.
        if self.faults.cut_answers:
            self.faults.cut_answers -= 1
            request.setHeader("content-length", str(len(body)))
            request.write(body[: len(body) // 2])
            request.transport.loseConnection()
            return
        if self.faults.garble_answers:
            self.faults.garble_answers -= 1
            body = body[: len(body) // 2]
        request.setHeader("content-type", "application/json")
        request.setHeader("content-length", str(len(body)))
        if self.faults.sending_s:
            self._send_chunks(request, body)
            return
        request.write(body)
        request.finish()

    def _send_chunks(self, request, body):
        size = -(-len(body) // BODY_CHUNKS)
        interval_s = self.faults.sending_s / BODY_CHUNKS
        later = self._reactor.callLater
        calls = [
            later(n * interval_s, request.write, body[n * size : (n + 1) * size])
            for n in range(BODY_CHUNKS)
        ]
        calls.append(later(BODY_CHUNKS * interval_s, request.finish))
        request.notifyFinish().addErrback(lambda _: _cancel(calls))

    def send(self, request, value):
        """Send ``value`` as the response to a call."""
        self._send(request, value)


class _PendingWatch:
    """A long-polling watch that waits for a change."""

    def __init__(self, api, request, kind, revision):
        self.api = api
        self.request = request
        self.kind = kind
        self.revision = revision
        self.timeout = None
        request.notifyFinish().addBoth(lambda _: self.discard())

    def send_events(self):
        events = self.api.store.since(self.kind, self.revision)
        if events:
            self._send(events)
        return bool(events)

    def expire(self):
        if not self.api.faults.silent:
            self._send(self.api.store.since(self.kind, self.revision))

    def silence(self):
        """Never respond, and keep the connection open."""
        self.discard()

    def discard(self):
        self.api.discard(self)
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()

    def _send(self, events):
        self.discard()
        self.request.setHeader("store-era", str(self.api.store.era))
        value = {"events": events, "currentRev": self.api.store.revision}
        self.api.send(self.request, value)


def _cancel(calls):
    for call in calls:
        if call.active():
            call.cancel()


def serve(reactor, address: str, port: int) -> tuple[StoreApi, object]:
    """Serve an empty store; return its API and the listening port."""
    api = StoreApi(reactor)
    return api, reactor.listenTCP(port, Site(api), interface=address)
