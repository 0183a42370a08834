"""Client of the platform's object API over HTTP."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote

from loguru import logger
from returns import result
from returns.pipeline import is_successful
from twisted.internet import defer, ssl
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import BrowserLikePolicyForHTTPS

from ..codec import body_to_json, kind_of, object_from_json
from ..engine.objects import Body, Kind
from ..errors import ErrorKind, Failure
from ..platform_port import Conflict, Expired, Listing, Progress, Vm, VmState
from .http import limit, new_client, told

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 5.0
MAX_LINE_BYTES = 2 * 1024 * 1024
DEFAULT_URL = "http://127.0.0.10:8400"

log = logger.bind(part="platform")


@dataclass(frozen=True)
class PlatformConfig:
    """Where the platform is; ``ca`` is a PEM file that signs its certificate."""

    url: str = DEFAULT_URL
    ca: str = ""
    timeout_s: float = CALL_TIMEOUT_S

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> "PlatformConfig":
        """Read the keys ``platform``, ``ca`` and ``timeout_s``."""
        return cls(
            url=cfg.get("platform", DEFAULT_URL).rstrip("/"),
            ca=cfg.get("ca", ""),
            timeout_s=float(cfg.get("timeout_s", CALL_TIMEOUT_S)),
        )


@dataclass(frozen=True)
class Reply:
    """The code and the JSON value of one answer."""

    code: int
    value: object


class PlatformClient:
    """The port `kumquatshift.platform_port.Platform` over HTTP.

    No call is tried again by itself: a write whose answer is lost ends in
    OUTCOME_UNKNOWN, and the caller finds out with `read_object`.
    """

    def __init__(self, cfg: PlatformConfig, reactor):
        self._cfg = cfg
        self._reactor = reactor
        self._http = new_client(reactor, CONNECT_TIMEOUT_S, _policy(cfg))

    @classmethod
    def from_config(cls, cfg: Mapping[str, str], reactor) -> "PlatformClient":
        """Return a client for an INI section."""
        return cls(PlatformConfig.from_config(cfg), reactor)

    def list_objects(self, kind: Kind | None = None) -> Deferred:
        """Give all objects, or those of one kind."""
        query = f"?kind={kind}" if kind else ""
        fut = self._call("GET", "/v1/objects" + query)
        return _read(fut, _read_listing, self._read_failed)

    def read_object(self, kind: Kind, name: str) -> Deferred:
        """Give one object, its tombstone, or NOT_FOUND."""
        fut = self._call("GET", _path(kind, name))
        return _read(fut, _read_object, self._read_failed, kind, name)

    def write_object(self, body: Body, version: int, operation: str) -> Deferred:
        """Write one object if the version still stands."""
        kind = kind_of(body)
        value = {
            "kind": kind.value,
            "name": body.name,
            "operation": operation,
            "body": body_to_json(body),
        }
        fut = self._call("PUT", _path(kind, body.name), version, json=value)
        return _read(fut, _read_written, self._write_failed, kind, body.name, version)

    def delete_object(
        self, kind: Kind, name: str, version: int, operation: str
    ) -> Deferred:
        """Delete one object if the version still stands."""
        fut = self._call("DELETE", _path(kind, name), version, operation=operation)
        return _read(fut, _read_written, self._write_failed, kind, name, version)

    def watch_objects(self, since: int, on_event, on_end) -> "HttpWatch":
        """Open a watch; `watcher.PlatformWatch` keeps one open for good."""
        url = f"{self._cfg.url}/v1/watch?since={since}"
        fut = self._http.get(url, unbuffered=True, reactor=self._reactor)
        return HttpWatch(fut, on_event, on_end)

    def list_vms(self) -> Deferred:
        """Give the platform's list of VMs."""
        fut = self._call("GET", "/v1/vms")
        return _read(fut, _read_vms, self._read_failed)

    def _call(self, method, path, version=None, operation=None, json=None):
        headers = {}
        if version is not None:
            headers["if-match"] = str(version)
        if operation is not None:
            headers["operation"] = operation
        body = {} if json is None else {"json": json}
        fut = self._http.request(
            method,
            self._cfg.url + path,
            headers=headers,
            reactor=self._reactor,
            **body,
        )
        fut.addCallback(_collect)
        return limit(fut, self._cfg.timeout_s, self._reactor)

    def _read_failed(self, reason):
        if reason.check(defer.TimeoutError):
            text = f"the platform gave no answer in {self._cfg.timeout_s:g} s"
            return result.Failure(Failure(ErrorKind.TIMEOUT, text, self._remedy()))
        text = f"the platform is out of reach: {told(reason)}"
        return result.Failure(Failure(ErrorKind.UNAVAILABLE, text, self._remedy()))

    def _write_failed(self, reason):
        if reason.check(ConnectError):
            return self._read_failed(reason)
        text = f"the answer to the write was lost: {told(reason)}"
        remedy = "read the object back; its operation id tells"
        return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, text, remedy))

    def _remedy(self):
        return f"check that {self._cfg.url} is the platform, and try again later"


class HttpWatch(LineOnlyReceiver):
    """One open watch: a JSON value a line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, fut, on_event, on_end):
        self._fut = fut
        self._on_event = on_event
        self._on_end = on_end
        self._stopped = False
        fut.addCallbacks(self._opened, self._failed)

    def stop(self):
        """Close the watch; nothing is told any more."""
        self._stopped = True
        self._fut.cancel()
        if self.transport is not None:
            self.transport.loseConnection()

    def lineReceived(self, line):  # noqa: N802
        """Tell one change, or how far the platform has come."""
        if self._stopped or not line.strip():
            return
        try:
            value = json.loads(line)
        except ValueError:
            self._end(Failure(ErrorKind.UNAVAILABLE, "a line of the watch is no JSON"))
            self.transport.loseConnection()
            return
        event = _event(value)
        if event is not None:
            self._on_event(event)

    def connectionLost(self, reason):  # noqa: N802
        """Tell that the watch has ended."""
        self._end(Failure(ErrorKind.UNAVAILABLE, f"the watch ended: {told(reason)}"))

    def _opened(self, response):
        if self._stopped:
            response.deliverBody(_Abort())
        elif response.code == 200:
            response.deliverBody(self)
        else:
            response.deliverBody(_Abort())
            self._end(_refused_watch(response.code))

    def _failed(self, reason):
        self._end(Failure(ErrorKind.UNAVAILABLE, f"no watch: {told(reason)}"))

    def _end(self, failure):
        if not self._stopped:
            self._stopped = True
            self._on_end(failure)


class _Abort(Protocol):
    """Closes a connection whose body nobody wants."""

    def connectionMade(self):  # noqa: N802
        """Close it."""
        self.transport.loseConnection()


def _policy(cfg):
    if not cfg.ca:
        return None
    root = ssl.Certificate.loadPEM(Path(cfg.ca).read_bytes())
    return BrowserLikePolicyForHTTPS(ssl.trustRootFromCertificates([root]))


def _read(fut, read, failed, *args):
    """Turn an answer or its absence into a result; never fails otherwise."""
    fut.addCallbacks(read, failed, args)
    return fut.addErrback(_garbled)


def _garbled(reason):
    log.warning("could not read an answer of the platform: {!r}", reason.value)
    text = f"the platform's answer cannot be read: {reason.value!r}"
    return result.Failure(Failure(ErrorKind.UNAVAILABLE, text, "try again later"))


def _path(kind, name):
    return f"/v1/objects/{kind}/{quote(name, safe='')}"


def _collect(response):
    fut = response.content()
    return fut.addCallback(lambda data: Reply(response.code, _parse(data)))


def _parse(data):
    try:
        return json.loads(data)
    except ValueError:
        return None


def _refused_watch(code):
    if code == 410:
        return Expired(ErrorKind.NOT_FOUND, "the version to watch from is too old")
    return Failure(ErrorKind.UNAVAILABLE, f"the platform refused the watch: {code}")


def _unexpected(reply):
    why = reply.value.get("error", "") if isinstance(reply.value, dict) else ""
    kind = ErrorKind.BAD_INPUT if reply.code == 400 else ErrorKind.UNAVAILABLE
    return Failure(
        kind, f"the platform answered {reply.code} {why}".strip(), "try again later"
    )


def _event(value):
    if isinstance(value, dict) and set(value) == {"version"}:
        return Progress(value["version"]) if isinstance(value["version"], int) else None
    return _decoded(value)


def _decoded(value):
    """Return an object, None after a warning if it cannot be read."""
    obj = object_from_json(value)
    if is_successful(obj):
        return obj.unwrap()
    log.warning("skipped an object of the platform: {}", obj.failure().message)
    return None


def _read_listing(reply):
    value = reply.value
    if reply.code != 200 or not isinstance(value, dict):
        return result.Failure(_unexpected(reply))
    items, skipped = [], []
    for item in value.get("items", []):
        obj = _decoded(item)
        if obj is None:
            skipped.append((item.get("kind"), item.get("name")))
        else:
            items.append(obj)
    return result.Success(Listing(value["version"], tuple(items), tuple(skipped)))


def _read_object(reply, kind, name):
    if reply.code == 200:
        return object_from_json(reply.value)
    if reply.code == 404:
        return _standing_after_404(reply, kind, name)
    return result.Failure(_unexpected(reply))


def _standing_after_404(reply, kind, name):
    obj = object_from_json(reply.value)
    if is_successful(obj):
        return obj
    text = f"{kind}/{name} does not exist"
    return result.Failure(
        Failure(ErrorKind.NOT_FOUND, text, f"see: kumquat-ctl {kind} list")
    )


def _read_written(reply, kind, name, version):
    if reply.code == 200:
        return object_from_json(reply.value)
    if reply.code in (404, 409):
        return result.Failure(_conflict(reply, kind, name, version))
    if reply.code >= 500:
        failure = _unexpected(reply)
        return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, failure.message))
    return result.Failure(_unexpected(reply))


def _conflict(reply, kind, name, version):
    obj = object_from_json(reply.value)
    standing = obj.unwrap() if is_successful(obj) else None
    live = standing is not None and standing.body is not None
    found = f"version {standing.version}" if live else "nothing"
    text = f"{kind}/{name}: expected version {version}, but {found} stands"
    remedy = f"look at it with: kumquat-ctl {kind} show {name}"
    return Conflict(ErrorKind.CONFLICT, text, remedy, standing)


def _read_vms(reply):
    value = reply.value
    if reply.code != 200 or not isinstance(value, dict):
        return result.Failure(_unexpected(reply))
    vms = [_vm(item) for item in value.get("items", [])]
    return result.Success(tuple(vm for vm in vms if vm is not None))


def _vm(item):
    try:
        state = VmState(item["state"])
        return Vm(item["name"], item["domain"], item["role"], item["address"], state)
    except (KeyError, TypeError, ValueError) as exc:
        log.warning("skipped a VM of the platform's list: {!r}", exc)
        return None
