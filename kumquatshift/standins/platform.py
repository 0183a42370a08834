"""Stand-in for the platform: its object API, its list of VMs, and its faults.

The API is that of docs/CONVENTIONS.md. ``POST /faults`` switches faults on and
off; a field that is left out keeps its value::

    curl -d '{"outage": true}' http://127.0.0.10:8400/faults

Nothing is kept: a stand-in that starts again is empty.
"""

import json
from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields, replace

from loguru import logger
from twisted.internet import ssl
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from ..fields import NAME_PATTERN, Invalid, Number, Whole, shown

BEAT_S = 5.0
MAX_BODY_BYTES = 1024 * 1024
VM_STATES = ("live", "leaving")
MAX_DELAY_S = 3600.0
NO_OBJECT = {"error": "no such object"}

log = logger.bind(part="platform")


@dataclass(frozen=True)
class VmRow:
    """One VM as the platform lists it."""

    name: str
    domain: str
    role: str
    address: str
    state: str = "live"

    @classmethod
    def from_text(cls, text: str) -> "VmRow":
        """Read ``NAME DOMAIN ROLE ADDRESS [live|leaving]``."""
        words = text.split()
        if len(words) not in (4, 5):
            raise ValueError(f"{text!r}; allowed: NAME DOMAIN ROLE ADDRESS [STATE]")
        return cls.checked(cls(*words))

    @classmethod
    def from_json(cls, value: Mapping) -> "VmRow":
        """Read one item of the list."""
        try:
            return cls.checked(cls(**value))
        except TypeError as exc:
            raise ValueError(f"{shown(value)}; {exc}") from exc

    @staticmethod
    def checked(row: "VmRow") -> "VmRow":
        """Return the row if all its fields are text and its state is known."""
        if not all(isinstance(text, str) for text in asdict(row).values()):
            raise ValueError(f"{shown(asdict(row))}; allowed: text in every field")
        if row.state not in VM_STATES:
            raise ValueError(f"state {row.state!r}; allowed: {', '.join(VM_STATES)}")
        return row


@dataclass(frozen=True)
class PlatformSettings:
    """Where the stand-in listens and what it starts with; times in seconds."""

    address: str = "127.0.0.10"
    port: int = 8400
    vms_lag_s: float = 2.0
    history: int = 10_000
    certificate: str = ""
    key: str = ""
    vms: tuple[VmRow, ...] = ()

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> "PlatformSettings":
        """Read the ``[platform]`` section; ``vms`` holds one VM a line."""
        rows = [line for line in cfg.get("vms", "").splitlines() if line.strip()]
        return cls(
            address=cfg.get("address", cls.address),
            port=int(cfg.get("port", cls.port)),
            vms_lag_s=float(cfg.get("vms_lag_s", cls.vms_lag_s)),
            history=int(cfg.get("history", cls.history)),
            certificate=cfg.get("certificate", ""),
            key=cfg.get("key", ""),
            vms=tuple(VmRow.from_text(row) for row in rows),
        )


@dataclass(frozen=True)
class Faults:
    """What goes wrong at present.

    ``outage`` answers every call with 503 and cuts the watches. ``latency_s``
    delays every answer. The next ``lose_answers`` writes take effect and their
    connection is cut; the next ``lose_requests`` ones are cut without effect.
    Reads are ``stale_versions`` behind. ``hang_watches`` keeps watches open
    and says nothing on them.
    """

    outage: bool = False
    latency_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    stale_versions: int = 0
    hang_watches: bool = False

    def changed(self, value: object) -> "Faults":
        """Return the faults with the fields of a JSON object changed."""
        if not isinstance(value, dict):
            raise ValueError("allowed: an object")
        checks = {
            bool: None,
            float: Number(0, MAX_DELAY_S, "seconds"),
            int: Whole(0, 1_000_000),
        }
        types = {item.name: item.type for item in fields(self)}
        for key, found in value.items():
            if key not in types:
                raise ValueError(f"{key}: allowed fields: {', '.join(types)}")
            check = checks[types[key]]
            try:
                good = isinstance(found, bool) if check is None else check.read(found)
            except Invalid as exc:
                raise ValueError(f"{key}: {check.allowed}") from exc
            if good is False:
                raise ValueError(f"{key}: allowed: true, false")
        return replace(self, **value)


class Refused(Exception):  # noqa: N818
    """The store does not do what was asked; ``answer`` says why."""

    def __init__(self, code: int, answer: Mapping):
        super().__init__(code, answer)
        self.code = code
        self.answer = answer


@dataclass
class Store:
    """Objects, their one version counter, and the log of their changes."""

    history: int = 10_000
    version: int = 0
    objects: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)

    def put(self, key, expected, operation, body):
        """Write one object if version ``expected`` stands (0: none does)."""
        standing = self.live(key)
        self._match(key, expected)
        created = standing["created"] if standing else self.version + 1
        return self._append(key, created, operation, False, body)

    def delete(self, key, expected, operation):
        """Delete one object if version ``expected`` stands."""
        standing = self.live(key)
        if standing is None:
            raise Refused(404, self.objects.get(key) or NO_OBJECT)
        self._match(key, expected)
        return self._append(key, standing["created"], operation, True, None)

    def live(self, key, version=None):
        """Return the object as it stood at a version, None if it did not."""
        found = self.at(version).get(key)
        return None if found is None or found["deleted"] else found

    def at(self, version=None):
        """Return all objects, tombstones included, at a version."""
        if version is None or version >= self.version:
            return self.objects
        past = [obj for obj in self.changes if obj["version"] <= version]
        return {(obj["kind"], obj["name"]): obj for obj in past}

    def since(self, version):
        """Return the changes after a version; refuse one that is too old."""
        if version < self.version - self.history:
            raise Refused(410, {"error": f"version {version} is too old"})
        return [obj for obj in self.changes if obj["version"] > version]

    def _match(self, key, expected):
        standing = self.live(key)
        found = standing["version"] if standing else 0
        if found != expected:
            raise Refused(409, self.objects.get(key) or NO_OBJECT)

    def _append(self, key, created, operation, deleted, body):
        self.version += 1
        kind, name = key
        obj = {
            "kind": kind,
            "name": name,
            "version": self.version,
            "created": created,
            "operation": operation,
            "deleted": deleted,
            "body": body,
        }
        self.objects[key] = obj
        self.changes.append(obj)
        return obj


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
            return _cut(request)
        if request.method == b"PUT":
            operation = value.get("operation", "")
            obj = self.store.put(key, expected, operation, value["body"])
        else:
            operation = request.getHeader("operation") or ""
            obj = self.store.delete(key, expected, operation)
        self._publish()
        if self.faults.lose_answers:
            self._lose("lose_answers")
            return _cut(request)
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
        log.info("faults are now {}", self.faults)
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


class WatchStream:
    """One open watch: changes as they come, and the version every 5 s."""

    def __init__(self, api: Api, request, since: int):
        self.api = api
        self.request = request
        self.since = since
        self.beat = None
        request.notifyFinish().addBoth(lambda _: self.stop())

    def start(self):
        """Send the headers and what has happened since."""
        self.request.setHeader("content-type", "application/x-ndjson")
        self.request.write(b"")
        self.tell()
        self._beat()

    def tell(self):
        """Send the changes that were not sent yet."""
        if self.api.faults.hang_watches:
            return
        for obj in self.api.store.since(self.since):
            self._write(obj)
        self.since = self.api.store.version

    def stop(self):
        """Forget the watch."""
        self.api.watches.discard(self)
        if self.beat is not None and self.beat.active():
            self.beat.cancel()

    def cut(self):
        """Cut the connection."""
        self.stop()
        _cut(self.request)

    def _beat(self):
        if not self.api.faults.hang_watches:
            self.tell()
            self._write({"version": self.api.store.version})
        self.beat = self.api.reactor.callLater(BEAT_S, self._beat)

    def _write(self, value):
        self.request.write(json.dumps(value).encode() + b"\n")


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
    log.info("listening on {} port {}", settings.address, settings.port)
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


def _cut(request):
    request.transport.abortConnection()
    return NOT_DONE_YET


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
