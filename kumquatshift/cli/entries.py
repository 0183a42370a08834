"""Queries the admin ports of entries for versions and state dumps."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns import result
from returns.result import Success
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, gatherResults

from ..adapters.http import describe_failure, with_timeout
from ..errors import ErrorKind, Failure
from ..settings.common import TlsSection
from ..tls import entry_agent
from .constants import ADMIN_PORT, CALL_TIMEOUT_S

NO_TLS = TlsSection("", "", "")


@dataclass(frozen=True)
class Entry:
    """An entry listed by the platform; ``name`` is the address of an unlisted one."""

    name: str
    domain: str
    address: str
    state: str = "live"


class EntryClient:
    """Fetches JSON from entries; every request ends within two seconds."""

    def __init__(self, reactor, port: int = ADMIN_PORT, tls: TlsSection = NO_TLS):
        self._reactor = reactor
        self._port = port
        self._scheme = "https" if tls.enabled else "http"
        self._http = HTTPClient(entry_agent(reactor, tls))

    def versions(self, entry: Entry) -> Deferred:
        """Return ``Result[Mapping[str, int], Failure]``, the versions in force."""
        return self._get(entry, "/versions")

    def dump(self, entry: Entry) -> Deferred:
        """Return ``Result[Mapping[str, object], Failure]``, the whole state."""
        return self._get(entry, "/dump")

    def _get(self, entry, path):
        url = f"{self._scheme}://{entry.address}:{self._port}{path}"
        fut = self._http.get(url, reactor=self._reactor)
        fut.addCallback(_read)
        with_timeout(fut, CALL_TIMEOUT_S, self._reactor)
        return fut.addErrback(_unreachable, entry, url)


def query_all(entries, call) -> Deferred:
    """Return ``{name: Result}`` of one call made to all entries concurrently."""
    fut = gatherResults([call(entry) for entry in entries])
    names = [entry.name for entry in entries]
    return fut.addCallback(lambda answers: dict(zip(names, answers, strict=True)))


def _read(response):
    if response.code != 200:
        raise ValueError(f"HTTP status {response.code}")
    return response.json().addCallback(_check)


def _check(value):
    if not isinstance(value, Mapping):
        raise ValueError("the response is not a JSON object")
    return Success(value)


def _unreachable(reason, entry, url):
    text = f"entry {entry.name} is unreachable at {url}: {describe_failure(reason)}"
    remedy = "check that its VM is running and that its domain is reachable"
    return result.Failure(Failure(ErrorKind.UNAVAILABLE, text, remedy))
