"""Client of the platform's object API over HTTP."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote

from returns import result
from treq.client import HTTPClient
from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError

from ..codec import body_to_json, kind_of
from ..engine.objects import Body, Kind
from ..eras import era_and_number
from ..errors import ErrorKind, Failure
from ..logs import Part, logger_for
from ..settings.common import PlatformSection
from ..tls import platform_agent
from .http import describe_failure, with_timeout
from .platform_answers import (
    ERA_HEADER,
    Reply,
    era_of,
    parse,
    read_listing,
    read_object,
    read_vms,
    read_written,
)
from .platform_stream import HttpWatch

CALL_TIMEOUT_S = 5.0
DEFAULT_URL = "http://127.0.0.10:8400"

log = logger_for(Part.PLATFORM)


@dataclass(frozen=True)
class PlatformConfig:
    """URL of the platform, and the PEM file of the CA of its certificate."""

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

    @classmethod
    def from_section(cls, section: PlatformSection) -> "PlatformConfig":
        """Read the section ``[platform]`` of a program's settings."""
        return cls(section.url, section.ca)


class PlatformClient:
    """Implements `kumquatshift.platform_port.Platform` over HTTP.

    Calls are not retried: a write whose answer is lost results in
    OUTCOME_UNKNOWN, and the caller checks the outcome with `read_object`.
    """

    def __init__(self, cfg: PlatformConfig, reactor):
        self._cfg = cfg
        self._reactor = reactor
        # This agent has no connection pool. With one, Twisted resends a request,
        # even a write, if the pooled connection turns out to be closed.
        self._http = HTTPClient(platform_agent(reactor, cfg.ca))

    @classmethod
    def from_config(cls, cfg: Mapping[str, str], reactor) -> "PlatformClient":
        """Return a client for the keys of an INI section."""
        return cls(PlatformConfig.from_config(cfg), reactor)

    def list_objects(self, kind: Kind | None = None) -> Deferred:
        """List all objects, or those of one kind."""
        query = f"?kind={kind}" if kind else ""
        fut = self._call("GET", "/v1/objects" + query)
        return self._read_result(fut, read_listing)

    def read_object(self, kind: Kind, name: str) -> Deferred:
        """Read one object: result is the object, its tombstone or NOT_FOUND."""
        fut = self._call("GET", _path(kind, name))
        return self._read_result(fut, read_object, kind, name)

    def write_object(self, body: Body, version: int, operation: str) -> Deferred:
        """Write one object if ``version`` is still its current version."""
        kind = kind_of(body)
        value = {
            "kind": kind.value,
            "name": body.name,
            "operation": operation,
            "body": body_to_json(body),
        }
        fut = self._call("PUT", _path(kind, body.name), version, json=value)
        return self._write_result(fut, kind, body.name, version)

    def delete_object(
        self, kind: Kind, name: str, version: int, operation: str
    ) -> Deferred:
        """Delete one object if ``version`` is still its current version."""
        fut = self._call("DELETE", _path(kind, name), version, operation=operation)
        return self._write_result(fut, kind, name, version)

    def watch_objects(self, since: int, on_event, on_end) -> "HttpWatch":
        """Open a watch; `watcher.PlatformWatch` reopens it when it ends."""
        era, number = era_and_number(since)
        url = f"{self._cfg.url}/v1/watch?since={number}"
        fut = self._http.get(url, unbuffered=True, reactor=self._reactor)
        return HttpWatch(fut, era, on_event, on_end)

    def list_vms(self) -> Deferred:
        """List the VMs of the platform."""
        fut = self._call("GET", "/v1/vms")
        return self._read_result(fut, read_vms)

    def _call(self, method, path, version=None, operation=None, json=None):
        headers = {}
        if version is not None:
            era, number = era_and_number(version)
            headers["if-match"] = str(number)
            headers[ERA_HEADER] = str(era)
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
        fut.addCallback(_read_reply)
        return with_timeout(fut, self._cfg.timeout_s, self._reactor)

    def _read_result(self, fut, read, *args):
        """Convert the reply, or its absence, to a result; never fires an errback."""
        fut.addCallbacks(read, self._read_failed, args)
        return fut.addErrback(_unreadable_reply, ErrorKind.UNAVAILABLE)

    def _write_result(self, fut, kind, name, version):
        """As `_read_result`, but after an unreadable reply the outcome is unknown."""
        fut.addCallbacks(read_written, self._write_failed, (kind, name, version))
        return fut.addErrback(_unreadable_reply, ErrorKind.OUTCOME_UNKNOWN)

    def _read_failed(self, reason):
        if reason.check(defer.TimeoutError):
            text = f"the platform did not answer within {self._cfg.timeout_s:g} s"
            return result.Failure(Failure(ErrorKind.TIMEOUT, text, self._remedy()))
        text = f"the platform is unreachable: {describe_failure(reason)}"
        return result.Failure(Failure(ErrorKind.UNAVAILABLE, text, self._remedy()))

    def _write_failed(self, reason):
        if reason.check(ConnectError):
            return self._read_failed(reason)
        text = f"the answer to the write was lost: {describe_failure(reason)}"
        remedy = "read the object back and compare its operation id"
        return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, text, remedy))

    def _remedy(self):
        return f"check that {self._cfg.url} is the platform, and try again later"


def _read_reply(response):
    fut = response.content()
    era = era_of(response)
    return fut.addCallback(lambda data: Reply(response.code, parse(data), era))


def _unreadable_reply(reason, kind):
    log.warning("Cannot read an answer of the platform: {!r}.", reason.value)
    text = f"cannot read the platform's answer: {reason.value!r}"
    return result.Failure(Failure(kind, text, "try again later"))


def _path(kind, name):
    return f"/v1/objects/{kind}/{quote(name, safe='')}"
