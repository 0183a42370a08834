"""Stand-in for the platform: its object API, its VM list, and fault injection.

The API is specified in docs/CONVENTIONS.md. ``POST /faults`` switches faults on
and off; omitted fields keep their values::

    curl -d '{"outage": true}' http://127.0.0.10:8400/faults

State is kept in memory only and is lost on restart.
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
from .platform_watch import WatchStream, abort

MAX_BODY_BYTES = 1024 * 1024

# Rises by one each time that the store comes back from an older copy.
ERA_HEADER = "store-era"

log = logger_for(Part.STANDIN)


class Api(Resource):
    """HTTP API of the stand-in."""

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
        """Route a request; faults apply to paths under ``/v1`` only."""
        self._set_era(request)
        path = [part.decode() for part in request.postpath if part]
        if path[:1] != ["v1"]:
            return self._render_admin(request, path)
        if path == ["v1", "vms"] and request.method == b"POST":
            return self._respond(request, self._post_vms, request)
        self.calls[_call_name(request.method, path)] += 1
        if self.faults.latency_s:
            connection = _ConnectionState(request)
            self.reactor.callLater(
                self.faults.latency_s, self._finish_late, connection, request, path
            )
            return NOT_DONE_YET
        return self._render_api(request, path)

    def _set_era(self, request):
        request.setHeader(ERA_HEADER, str(self.store.era))

    def restore(self, copy):
        """Return to a copy of the store, and abort the watches."""
        self.store.restore(copy)
        for watch in list(self.watches):
            watch.abort()
        log.info("Restored version {} from a copy.", copy.version)

    def _finish_late(self, connection, request, path):
        if not connection.connected:
            return
        self._set_era(request)
        answer = self._render_api(request, path)
        if answer is not NOT_DONE_YET:
            request.write(answer)
            request.finish()

    def _render_api(self, request, path):
        if self.faults.outage:
            return _json(request, {"error": "outage"}, 503)
        return self._respond(request, self._answer, request, path)

    def _respond(self, request, call, *args):
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

    def _visible_version(self):
        return max(0, self.store.version - self.faults.stale_versions)

    def _list(self, request):
        version = self._visible_version()
        kind = request.args.get(b"kind", [b""])[0].decode()
        items = [
            obj
            for obj in self.store.at(version).values()
            if not obj["deleted"] and kind in ("", obj["kind"])
        ]
        return {"version": version, "items": items}

    def _read(self, kind, name):
        key = (kind, name)
        version = self._visible_version()
        found = self.store.live(key, version)
        if found is None:
            tombstone = self.store.at(version).get(key)
            raise Refused(404, tombstone or NO_OBJECT)
        return found

    def _change(self, request, key):
        expected = _expected_version(request)
        if request.method == b"PUT":
            value = _parse_object(request, key)
        if expected and _expected_era(request) != self.store.era:
            raise Refused(409, self.store.objects.get(key) or NO_OBJECT)
        if self.faults.lose_requests:
            self._decrement_fault("lose_requests")
            abort(request)
            return NOT_DONE_YET
        if request.method == b"PUT":
            operation = value.get("operation", "")
            obj = self.store.put(key, expected, operation, value["body"])
        else:
            operation = request.getHeader("operation") or ""
            obj = self.store.delete(key, expected, operation)
        self._publish()
        if self.faults.lose_answers:
            self._decrement_fault("lose_answers")
            abort(request)
            return NOT_DONE_YET
        if self.faults.garble_answers:
            self._decrement_fault("garble_answers")
            return {"kind": key[0]}
        return obj

    def _decrement_fault(self, name):
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
            watch.send_changes()

    def _post_vms(self, request):
        value = _parse(request)
        if not isinstance(value, dict) or not isinstance(value.get("items"), list):
            raise ValueError('allowed: {"items": [{"name", "domain", ...}]}')
        self.change_vms(tuple(VmRow.from_json(item) for item in value["items"]))
        return {"lag_s": self.lag_s}

    def change_vms(self, rows):
        """Replace the VM list, after its configured lag."""
        if self.lag_s:
            self.reactor.callLater(self.lag_s, setattr, self, "vms", rows)
        else:
            self.vms = rows

    def _render_admin(self, request, path):
        match request.method, path:
            case b"GET", ["ready"]:
                return _json(request, {"ready": True})
            case b"GET", ["dump"]:
                return _json(request, self.dump())
            case b"POST", ["faults"]:
                return self._respond(request, self._change_faults, request)
        return _json(request, {"error": "no such path"}, 404)

    def _change_faults(self, request):
        self.faults = self.faults.changed(_parse(request))
        log.info("Injected faults changed to {}.", self.faults)
        if self.faults.outage:
            for watch in list(self.watches):
                watch.abort()
        return asdict(self.faults)

    def dump(self):
        """Return the state as shown by ``GET /dump``."""
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


class _ConnectionState:
    """Tracks whether the connection of a request is still open."""

    def __init__(self, request):
        self.connected = True
        request.notifyFinish().addBoth(self._end)

    def _end(self, _):
        self.connected = False


@dataclass(frozen=True)
class PlatformServer:
    """A running stand-in."""

    api: Api
    port: object

    def stop(self):
        """Abort the watches and stop listening; return a Deferred."""
        for watch in list(self.api.watches):
            watch.abort()
        return self.port.stopListening()


def serve(settings: PlatformSettings, reactor) -> PlatformServer:
    """Start to listen; raise CannotListenError if the address is in use."""
    api = Api(settings, reactor)
    site = Site(api)
    if settings.certificate:
        context = ssl.DefaultOpenSSLContextFactory(settings.key, settings.certificate)
        port = reactor.listenSSL(
            settings.port, site, context, interface=settings.address
        )
    else:
        port = reactor.listenTCP(settings.port, site, interface=settings.address)
    log.info("Platform stand-in listening on {}:{}.", settings.address, settings.port)
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


def _expected_version(request):
    text = request.getHeader("if-match")
    try:
        version = int(text or "")
    except ValueError as exc:
        raise ValueError("If-Match: allowed: a version, 0 if none exists") from exc
    if version < 0:
        raise ValueError("If-Match: allowed: a version, 0 if none exists")
    return version


def _expected_era(request):
    """Return the era in which the caller read the version, 0 if it names none."""
    try:
        return int(request.getHeader(ERA_HEADER) or 0)
    except ValueError as exc:
        raise ValueError("Store-Era: allowed: an era") from exc


def _parse(request):
    data = request.content.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise ValueError("allowed: at most a megabyte")
    return json.loads(data)


def _parse_object(request, key):
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
