"""Admin port of every process: readiness, dump, metrics and versions.

HTTP, read only. Pages are rendered on the thread of the event loop, so a dump is
written in chunks, and packets are handled between them.
"""

import json
from collections.abc import Iterator, Mapping
from typing import Any, Protocol

from twisted.internet.interfaces import IListeningPort, IPullProducer, IReactorTCP
from twisted.internet.ssl import CertificateOptions
from twisted.web.http import INTERNAL_SERVER_ERROR, SERVICE_UNAVAILABLE, Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site
from zope.interface import implementer

from ..logs import Part, logger_for

ITEMS_PER_CHUNK = 200
IDLE_TIMEOUT_S = 30
PAGES = ("ready", "dump", "metrics", "versions")

log = logger_for(Part.ADMIN)


class AdminSource(Protocol):
    """The content of a process's admin pages."""

    def ready(self) -> bool:
        """Whether the process takes traffic."""
        ...

    def dump(self) -> Mapping[str, Any]:
        """Return the whole state, with values that JSON can represent."""
        ...

    def metrics(self) -> str:
        """Return the metrics as a plain-text page."""
        ...

    def versions(self) -> Mapping[str, int]:
        """Return the current version of each object, by ``KIND/NAME``."""
        ...


def listen_admin(
    reactor: IReactorTCP,
    address: str,
    port: int,
    source: AdminSource,
    context: CertificateOptions | None = None,
) -> IListeningPort:
    """Open the admin port; raises `CannotListenError` if it is in use.

    With ``context``, from `tls.admin_context`, it serves HTTPS, and only to
    clients with a certificate.
    """
    site = Site(admin_root(source), timeout=IDLE_TIMEOUT_S)
    site.displayTracebacks = False
    if context is None:
        return reactor.listenTCP(port, site, interface=address)
    return reactor.listenSSL(port, site, context, interface=address)


def admin_root(source: AdminSource) -> Resource:
    """Return the resource with all pages of ``source``."""
    root = _Index()
    root.putChild(b"ready", _Page(lambda: _ready(source)))
    root.putChild(b"metrics", _Page(lambda: _Text(source.metrics())))
    root.putChild(b"versions", _JsonPage(source.versions))
    root.putChild(b"dump", _JsonPage(source.dump))
    return root


class _Text:
    """A plain-text response and its status."""

    def __init__(self, text: str, status: int = 200):
        self.text = text
        self.status = status


def _ready(source: AdminSource) -> _Text:
    if source.ready():
        return _Text("ready\n")
    return _Text("not ready\n", SERVICE_UNAVAILABLE)


class _Index(Resource):
    """Lists the pages at the root, and answers unknown paths with 404."""

    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        return self if not path else _Page(_not_found)

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        return _respond(request, _Text("".join(f"/{page}\n" for page in PAGES)))


def _not_found() -> _Text:
    known = ", ".join(f"/{page}" for page in PAGES)
    return _Text(f"no such page; there are {known}\n", 404)


class _Leaf(Resource):
    """A page without subpages."""

    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        return self if not path else _Page(_not_found)


class _Page(_Leaf):
    """A page of plain text."""

    def __init__(self, make):
        super().__init__()
        self._make = make

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        try:
            return _respond(request, self._make())
        except Exception:
            return _respond_error(request)


class _JsonPage(_Leaf):
    """A JSON object, written in chunks."""

    def __init__(self, make):
        super().__init__()
        self._make = make

    def render_GET(self, request: Request) -> bytes | int:  # noqa: N802
        try:
            chunks = json_chunks(self._make())
        except Exception:
            return _respond_error(request)
        request.setHeader(b"content-type", b"application/json")
        request.registerProducer(_ChunkProducer(request, chunks), False)
        return NOT_DONE_YET


@implementer(IPullProducer)
class _ChunkProducer:
    """Writes the next chunk whenever the connection can take it."""

    def __init__(self, request: Request, chunks: Iterator[str]):
        self._request = request
        self._chunks = chunks

    def resumeProducing(self) -> None:  # noqa: N802
        """Write one chunk, or finish the response."""
        try:
            chunk = next(self._chunks, None)
        except Exception:
            self._abort()
            return
        if chunk is not None:
            self._request.write(chunk.encode())
            return
        self._request.unregisterProducer()
        self._request.finish()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the remaining chunks: the client has disconnected."""
        self._chunks = iter(())

    def _abort(self) -> None:
        """Abort the connection, so that a partial dump does not look complete."""
        log.exception("Aborted the page {}.", self._request.path.decode())
        self._request.unregisterProducer()
        self._request.transport.abortConnection()


def json_chunks(value: Mapping[str, Any]) -> Iterator[str]:
    """Yield the JSON text of an object in chunks that each take little time."""
    separator = "{"
    for name, part in value.items():
        yield separator + json.dumps(str(name)) + ": "
        yield from _value_chunks(part)
        separator = ",\n"
    yield "{}\n" if separator == "{" else "}\n"


def _value_chunks(value: Any) -> Iterator[str]:
    if isinstance(value, Mapping) and len(value) > ITEMS_PER_CHUNK:
        yield from _batched(list(value.items()), dict, "{", "}")
    elif isinstance(value, list | tuple) and len(value) > ITEMS_PER_CHUNK:
        yield from _batched(value, list, "[", "]")
    else:
        yield json.dumps(value, default=str)


def _batched(items, form, opening: str, closing: str) -> Iterator[str]:
    separator = opening
    for start in range(0, len(items), ITEMS_PER_CHUNK):
        batch = form(items[start : start + ITEMS_PER_CHUNK])
        yield separator + json.dumps(batch, default=str)[1:-1]
        separator = ", "
    yield closing


def _respond(request: Request, answer: _Text) -> bytes:
    request.setResponseCode(answer.status)
    request.setHeader(b"content-type", b"text/plain; charset=utf-8")
    return answer.text.encode()


def _respond_error(request: Request) -> bytes:
    log.exception("Cannot render {}.", request.path.decode(errors="replace"))
    return _respond(request, _Text("the page failed\n", INTERNAL_SERVER_ERROR))
