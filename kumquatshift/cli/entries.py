"""Asking entries, at their admin ports, what they hold."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns import result
from returns.result import Success
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, gatherResults

from ..adapters.http import limit, told
from ..errors import ErrorKind, Failure
from ..settings.common import TlsSection
from ..tls import entry_agent
from .constants import ADMIN_PORT, CALL_TIMEOUT_S

NO_TLS = TlsSection("", "", "")


@dataclass(frozen=True)
class Entry:
    """An entry as the platform lists it; ``name`` is its address if it does not."""

    name: str
    domain: str
    address: str
    state: str = "live"


class EntryClient:
    """Fetches JSON from entries; every answer arrives within two seconds."""

    def __init__(self, reactor, port: int = ADMIN_PORT, tls: TlsSection = NO_TLS):
        self._reactor = reactor
        self._port = port
        self._scheme = "https" if tls.enabled else "http"
        self._http = HTTPClient(entry_agent(reactor, tls))

    def versions(self, entry: Entry) -> Deferred:
        """Give ``Result[Mapping[str, int], Failure]``, versions in force."""
        return self._get(entry, "/versions")

    def dump(self, entry: Entry) -> Deferred:
        """Give ``Result[Mapping[str, object], Failure]``, the whole state."""
        return self._get(entry, "/dump")

    def _get(self, entry, path):
        url = f"{self._scheme}://{entry.address}:{self._port}{path}"
        fut = self._http.get(url, reactor=self._reactor)
        fut.addCallback(_read)
        limit(fut, CALL_TIMEOUT_S, self._reactor)
        return fut.addErrback(_unreachable, entry, url)


def query_all(entries, call) -> Deferred:
    """Give ``{name: Result}`` of one call to every entry at once."""
    fut = gatherResults([call(entry) for entry in entries])
    names = [entry.name for entry in entries]
    return fut.addCallback(lambda answers: dict(zip(names, answers, strict=True)))


def _read(response):
    if response.code != 200:
        raise ValueError(f"it answered {response.code}")
    return response.json().addCallback(_check)


def _check(value):
    if not isinstance(value, Mapping):
        raise ValueError("its answer is no JSON object")
    return Success(value)


def _unreachable(reason, entry, url):
    text = f"entry {entry.name} is out of reach at {url}: {told(reason)}"
    remedy = "see whether its VM runs, and whether its domain is cut off"
    return result.Failure(Failure(ErrorKind.UNAVAILABLE, text, remedy))
