"""Stand-in for the metadata store of the users' platform, with its faults.

It keeps objects by kind and name, counts one revision up with each change, and
answers lists in pages and watches that wait. `StoreFaults` says what goes wrong
at present, for all callers or for some addresses only.
"""

import json
from dataclasses import dataclass, field

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

LONGEST_WAIT_MS = 30_000
PAGE_ITEMS = 50

# An answer over a slow link comes in so many pieces.
PIECES = 8


@dataclass
class StoreFaults:
    """What goes wrong at present.

    ``refuse`` is the status given in place of an answer, 0 for none. ``silent``
    takes calls and never answers; ``reset`` cuts the connection at once. An
    answer begins after ``latency_s`` and comes in pieces over ``sending_s``.
    ``cut_answers`` of the next answers are broken off midway, ``garble_answers``
    are no JSON. ``only`` limits all of them to callers at these addresses.
    """

    refuse: int = 0
    silent: bool = False
    reset: bool = False
    latency_s: float = 0.0
    sending_s: float = 0.0
    cut_answers: int = 0
    garble_answers: int = 0
    only: frozenset[str] = frozenset()


@dataclass
class MetadataStore:
    """The objects, their revisions, and what has changed lately."""

    revision: int = 1
    oldest: int = 0
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: list[tuple[int, str, dict, bool]] = field(default_factory=list)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object; nothing happens if that changes nothing."""
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
        """Delete an object, if there is one."""
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self.history.append((self.revision, kind, obj, True))

    def compact(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.oldest = self.revision

    def page(self, kind: str, after: str) -> dict:
        """Return a page of the objects of a kind with names after ``after``."""
        found = sorted(
            (name, obj)
            for (each, name), obj in self.objects.items()
            if each == kind and name > after
        )
        items = [obj for _, obj in found[:PAGE_ITEMS]]
        more = len(found) > PAGE_ITEMS
        return {"items": items, "more": more, "currentRev": self.revision}

    def since(self, kind: str, revision: int) -> list[dict]:
        """Return the events of a kind after ``revision``."""
        return [
            {"object": obj, "deleted": deleted}
            for at, each, obj, deleted in self.history
            if each == kind and at > revision
        ]


class StoreApi(Resource):
    """The HTTP face of the store."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor):
        super().__init__()
        self.store = MetadataStore()
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.callers: list[str] = []
        self._reactor = reactor
        self._watches: list[_Waiting] = []

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, and tell those who watch."""
        self.store.put(kind, name, spec)
        self._tell()

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, and tell those who watch."""
        self.store.delete(kind, name)
        self._tell()

    def compact(self) -> None:
        """Forget the history, and cut those who watch."""
        self.store.compact()
        for waiting in list(self._watches):
            waiting.request.transport.abortConnection()

    def hush(self) -> None:
        """Let all open watches go silent for good."""
        for waiting in list(self._watches):
            waiting.hush()

    def render_GET(self, request):  # noqa: N802
        """Answer a list or a watch, or fail as told."""
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
        kind = request.path.decode().rpartition("/")[2]
        args = {k.decode(): v[0].decode() for k, v in request.args.items()}
        if "watch" not in args:
            self._send(request, self.store.page(kind, args.get("after", "")))
            return
        revision = int(args["watch"])
        if revision < self.store.oldest:
            request.setResponseCode(410)
            self._send(request, {})
            return
        wait_ms = min(int(args.get("waitMs", "0")), LONGEST_WAIT_MS)
        waiting = _Waiting(self, request, kind, revision)
        if not waiting.tell():
            self._watches.append(waiting)
            waiting.limit = self._reactor.callLater(wait_ms / 1000, waiting.end)

    def _tell(self):
        if self.faults.silent and not self.faults.only:
            return
        for waiting in list(self._watches):
            waiting.tell()

    def forget(self, waiting):
        """Drop a watch that is over."""
        if waiting in self._watches:
            self._watches.remove(waiting)

    def _send(self, request, value):
        body = json.dumps(value).encode()
        if request.channel is None:
            return  # The caller has given up.
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
            self._send_pieces(request, body)
            return
        request.write(body)
        request.finish()

    def _send_pieces(self, request, body):
        size = -(-len(body) // PIECES)
        gap_s = self.faults.sending_s / PIECES
        later = self._reactor.callLater
        calls = [
            later(n * gap_s, request.write, body[n * size : (n + 1) * size])
            for n in range(PIECES)
        ]
        calls.append(later(PIECES * gap_s, request.finish))
        request.notifyFinish().addErrback(lambda _: _cancel(calls))

    def send(self, request, value):
        """Answer a call."""
        self._send(request, value)


class _Waiting:
    """One watch that waits for a change."""

    def __init__(self, api, request, kind, revision):
        self.api = api
        self.request = request
        self.kind = kind
        self.revision = revision
        self.limit = None
        request.notifyFinish().addBoth(lambda _: self.forget())

    def tell(self):
        events = self.api.store.since(self.kind, self.revision)
        if events:
            self._send(events)
        return bool(events)

    def end(self):
        if not self.api.faults.silent:
            self._send(self.api.store.since(self.kind, self.revision))

    def hush(self):
        """Say nothing any more, and keep the connection open."""
        self.forget()

    def forget(self):
        self.api.forget(self)
        if self.limit is not None and self.limit.active():
            self.limit.cancel()

    def _send(self, events):
        self.forget()
        value = {"events": events, "currentRev": self.api.store.revision}
        self.api.send(self.request, value)


def _cancel(calls):
    for call in calls:
        if call.active():
            call.cancel()


def serve(reactor, address: str, port: int) -> tuple[StoreApi, object]:
    """Serve an empty store; return its face and the listening port."""
    api = StoreApi(reactor)
    return api, reactor.listenTCP(port, Site(api), interface=address)
