"""Stand-in for the platform: its object API, its list of VMs, and its faults.

The API is that of docs/CONVENTIONS.md. ``POST /faults`` switches faults on and
off; a field that is left out keeps its value::

    curl -d '{"outage": true}' http://127.0.0.10:8400/faults

Nothing is kept: a stand-in that starts again is empty.
"""

import json
from collections import Counter
from dataclasses import asdict, dataclass, replace

from twisted.internet import ssl
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from ..fields import NAME_PATTERN
from ..logs import Part, logger_for
from .platform_faults import Faults
from .platform_settings import PlatformSettings, VmRow
from .platform_store import NO_OBJECT, Refused, Store
from .platform_watch import WatchStream, cut

MAX_BODY_BYTES = 1024 * 1024

log = logger_for(Part.STANDIN)


class Api(Resource):
    """The whole HTTP face of the stand-in."""

    isLeaf = True  # noqa: N815

    def __init__(self, settings: PlatformSettings, reactor):
        super().__init__()
        self.reactor = reactor
        self.lag_s = settings.vms_lag_s
        self.store = Store(settings.history)
        self.vms = settings.vms
        self.faults = Faults()
        self.calls = Counter()
        self.watches = set()

    def render(self, request):
        """Route a request; faults apply to the API but not to their switches."""
        path = [part.decode() for part in request.postpath if part]
        if path[:1] != ["v1"]:
            return self._render_own(request, path)
        if path == ["v1", "vms"] and request.method == b"POST":
            return self._guard(request, self._post_vms, request)
        self.calls[_call_name(request.method, path)] += 1
        if self.faults.latency_s:
            alive = _Alive(request)
            self.reactor.callLater(
                self.faults.latency_s, self._finish_late, alive, request, path
            )
            return NOT_DONE_YET
        return self._render_api(request, path)

    def _finish_late(self, alive, request, path):
        if not alive.connected:
            return
        answer = self._render_api(request, path)
        if answer is not NOT_DONE_YET:
            request.write(answer)
            request.finish()

    def _render_api(self, request, path):
        if self.faults.outage:
            return _json(request, {"error": "outage"}, 503)
        return self._guard(request, self._answer, request, path)

    def _guard(self, request, call, *args):
        try:
            answer = call(*args)
        except Refused as exc:
            return _json(request, exc.answer, exc.code)
        except ValueError as exc:
            return _json(request, {"error": str(exc)}, 400)
        if answer is NOT_DONE_YET:
            return answer
        return _json(request, answer)

    def _answer(self, request, path):
        match request.method, path:
            case b"GET", ["v1", "objects"]:
                return self._list(request)
            case b"GET", ["v1", "objects", kind, name]:
                return self._read(kind, name)
            case b"PUT" | b"DELETE", ["v1", "objects", kind, name]:
                return self._change(request, (kind, name))
            case b"GET", ["v1", "watch"]:
                return self._watch(request)
            case b"GET", ["v1", "vms"]:
                return {"items": [asdict(row) for row in self.vms]}
        raise Refused(404, {"error": "no such path"})

    def _seen_version(self):
        return max(0, self.store.version - self.faults.stale_versions)

    def _list(self, request):
        version = self._seen_version()
        kind = request.args.get(b"kind", [b""])[0].decode()
        items = [
            obj
            for obj in self.store.at(version).values()
            if not obj["deleted"] and kind in ("", obj["kind"])
        ]
        return {"version": version, "items": items}

    def _read(self, kind, name):
        key = (kind, name)
        version = self._seen_version()
        found = self.store.live(key, version)
        if found is None:
            gone = self.store.at(version).get(key)
            raise Refused(404, gone or NO_OBJECT)
        return found

    def _change(self, request, key):
        expected = _expected(request)
        if request.method == b"PUT":
            value = _object_of(request, key)
        if self.faults.lose_requests:
            self._lose("lose_requests")
            cut(request)
            return NOT_DONE_YET
        if request.method == b"PUT":
            operation = value.get("operation", "")
            obj = self.store.put(key, expected, operation, value["body"])
        else:
            operation = request.getHeader("operation") or ""
            obj = self.store.delete(key, expected, operation)
        self._publish()
        if self.faults.lose_answers:
            self._lose("lose_answers")
            cut(request)
            return NOT_DONE_YET
        if self.faults.garble_answers:
            self._lose("garble_answers")
            return {"kind": key[0]}
        return obj

    def _lose(self, name):
        self.faults = replace(self.faults, **{name: getattr(self.faults, name) - 1})

    def _watch(self, request):
        try:
            since = int(request.args.get(b"since", [b""])[0])
        except ValueError as exc:
            raise ValueError("since: allowed: a version") from exc
        self.store.since(since)
        watch = WatchStream(self, request, since)
        self.watches.add(watch)
        watch.start()
        return NOT_DONE_YET

    def _publish(self):
        for watch in list(self.watches):
            watch.tell()

    def _post_vms(self, request):
        value = _parse(request)
        if not isinstance(value, dict) or not isinstance(value.get("items"), list):
            raise ValueError('allowed: {"items": [{"name", "domain", ...}]}')
        self.change_vms(tuple(VmRow.from_json(item) for item in value["items"]))
        return {"lag_s": self.lag_s}

    def change_vms(self, rows):
        """Show other VMs once the list's lag is over."""
        if self.lag_s:
            self.reactor.callLater(self.lag_s, setattr, self, "vms", rows)
        else:
            self.vms = rows

    def _render_own(self, request, path):
        match request.method, path:
            case b"GET", ["ready"]:
                return _json(request, {"ready": True})
            case b"GET", ["dump"]:
                return _json(request, self.dump())
            case b"POST", ["faults"]:
                return self._guard(request, self._change_faults, request)
        return _json(request, {"error": "no such path"}, 404)

    def _change_faults(self, request):
        self.faults = self.faults.changed(_parse(request))
        log.info("The faults are now {}.", self.faults)
        if self.faults.outage:
            for watch in list(self.watches):
                watch.cut()
        return asdict(self.faults)

    def dump(self):
        """Return the whole state in figures."""
        objects = self.store.objects.values()
        return {
            "version": self.store.version,
            "objects": sum(not obj["deleted"] for obj in objects),
            "tombstones": sum(obj["deleted"] for obj in objects),
            "calls": dict(self.calls),
            "watches": len(self.watches),
            "vms": [asdict(row) for row in self.vms],
            "faults": asdict(self.faults),
        }


class _Alive:
    """Whether a request's connection still stands."""

    def __init__(self, request):
        self.connected = True
        request.notifyFinish().addBoth(self._end)

    def _end(self, _):
        self.connected = False


@dataclass(frozen=True)
class PlatformServer:
    """A stand-in that runs."""

    api: Api
    port: object

    def stop(self):
        """Stop listening and cut the watches; returns a Deferred."""
        for watch in list(self.api.watches):
            watch.cut()
        return self.port.stopListening()


def serve(settings: PlatformSettings, reactor) -> PlatformServer:
    """Listen as the settings say; an address in use raises CannotListenError."""
    api = Api(settings, reactor)
    site = Site(api)
    if settings.certificate:
        context = ssl.DefaultOpenSSLContextFactory(settings.key, settings.certificate)
        port = reactor.listenSSL(
            settings.port, site, context, interface=settings.address
        )
    else:
        port = reactor.listenTCP(settings.port, site, interface=settings.address)
    log.info("The platform listens on {} port {}.", settings.address, settings.port)
    return PlatformServer(api, port)


def _call_name(method, path):
    match method, path:
        case b"GET", ["v1", "objects"]:
            return "list"
        case b"GET", ["v1", "objects", *_]:
            return "read"
        case b"PUT", _:
            return "write"
        case b"DELETE", _:
            return "delete"
        case b"GET", ["v1", "watch" | "vms" as name]:
            return name
    return "other"


def _json(request, value, code=200):
    request.setResponseCode(code)
    request.setHeader("content-type", "application/json")
    return json.dumps(value).encode()


def _expected(request):
    text = request.getHeader("if-match")
    try:
        version = int(text or "")
    except ValueError as exc:
        raise ValueError("If-Match: allowed: a version, 0 if none exists") from exc
    if version < 0:
        raise ValueError("If-Match: allowed: a version, 0 if none exists")
    return version


def _parse(request):
    data = request.content.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise ValueError("allowed: at most a megabyte")
    return json.loads(data)


def _object_of(request, key):
    value = _parse(request)
    if not isinstance(value, dict) or not isinstance(value.get("body"), dict):
        raise ValueError("body: allowed: an object")
    if not isinstance(value.get("operation", ""), str):
        raise ValueError("operation: allowed: text")
    for field_name, part in zip(("kind", "name"), key, strict=True):
        if value.get(field_name, part) != part:
            raise ValueError(f"{field_name}: allowed: {part}, as in the path")
        if not NAME_PATTERN.fullmatch(part):
            raise ValueError(f"{field_name}: not a name")
    return value
