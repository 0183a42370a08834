"""Admin port of every process: readiness, dump, metrics and versions.

HTTP, read only. A page is made on the loop's one thread, so a dump is
written piece by piece and packets go on between the pieces.
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

ITEMS_A_PIECE = 200
IDLE_TIMEOUT_S = 30
PAGES = ("ready", "dump", "metrics", "versions")

log = logger_for(Part.ADMIN)


class AdminSource(Protocol):
    """What a process shows on its admin port."""

    def ready(self) -> bool:
        """Whether the process takes traffic."""
        ...

    def dump(self) -> Mapping[str, Any]:
        """Return the whole state, as JSON can tell it."""
        ...

    def metrics(self) -> str:
        """Return the metrics as a plain-text page."""
        ...

    def versions(self) -> Mapping[str, int]:
        """Return the version in force of each object, by ``KIND/NAME``."""
        ...


def listen_admin(
    reactor: IReactorTCP,
    address: str,
    port: int,
    source: AdminSource,
    context: CertificateOptions | None = None,
) -> IListeningPort:
    """Open the admin port; raises `CannotListenError` if it is taken.

    With ``context``, of `tls.admin_context`, it takes HTTPS from the holders of
    a certificate only.
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
    """A text to answer with, and its status."""

    def __init__(self, text: str, status: int = 200):
        self.text = text
        self.status = status


def _ready(source: AdminSource) -> _Text:
    if source.ready():
        return _Text("ready\n")
    return _Text("not ready\n", SERVICE_UNAVAILABLE)


class _Index(Resource):
    """Names the pages, at the root and for an unknown path."""

    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        return self if not path else _Page(_unknown)

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        return _answer_text(request, _Text("".join(f"/{page}\n" for page in PAGES)))


def _unknown() -> _Text:
    known = ", ".join(f"/{page}" for page in PAGES)
    return _Text(f"no such page; there are {known}\n", 404)


class _Leaf(Resource):
    """A page without pages below it."""

    def getChild(self, path: bytes, request: Request) -> Resource:  # noqa: N802
        return self if not path else _Page(_unknown)


class _Page(_Leaf):
    """A page of plain text."""

    def __init__(self, make):
        super().__init__()
        self._make = make

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        try:
            return _answer_text(request, self._make())
        except Exception:
            return _answer_failed(request)


class _JsonPage(_Leaf):
    """A JSON object, written one piece at a time."""

    def __init__(self, make):
        super().__init__()
        self._make = make

    def render_GET(self, request: Request) -> bytes | int:  # noqa: N802
        try:
            pieces = json_pieces(self._make())
        except Exception:
            return _answer_failed(request)
        request.setHeader(b"content-type", b"application/json")
        request.registerProducer(_PieceProducer(request, pieces), False)
        return NOT_DONE_YET


@implementer(IPullProducer)
class _PieceProducer:
    """Writes the next piece whenever the connection has room for it."""

    def __init__(self, request: Request, pieces: Iterator[str]):
        self._request = request
        self._pieces = pieces

    def resumeProducing(self) -> None:  # noqa: N802
        """Write one piece, or end the answer."""
        try:
            piece = next(self._pieces, None)
        except Exception:
            self._break_off()
            return
        if piece is not None:
            self._request.write(piece.encode())
            return
        self._request.unregisterProducer()
        self._request.finish()

    def stopProducing(self) -> None:  # noqa: N802
        """Let the pieces go: the reader has left."""
        self._pieces = iter(())

    def _break_off(self) -> None:
        """Cut the connection: half a dump must not look like a whole one."""
        log.exception("The page {} broke off.", self._request.path.decode())
        self._request.unregisterProducer()
        self._request.transport.abortConnection()


def json_pieces(value: Mapping[str, Any]) -> Iterator[str]:
    """Yield the JSON text of an object in pieces that each take little time."""
    joint = "{"
    for name, part in value.items():
        yield joint + json.dumps(str(name)) + ": "
        yield from _value_pieces(part)
        joint = ",\n"
    yield "{}\n" if joint == "{" else "}\n"


def _value_pieces(value: Any) -> Iterator[str]:
    if isinstance(value, Mapping) and len(value) > ITEMS_A_PIECE:
        yield from _batched(list(value.items()), dict, "{", "}")
    elif isinstance(value, list | tuple) and len(value) > ITEMS_A_PIECE:
        yield from _batched(value, list, "[", "]")
    else:
        yield json.dumps(value, default=str)


def _batched(items, form, opening: str, closing: str) -> Iterator[str]:
    joint = opening
    for start in range(0, len(items), ITEMS_A_PIECE):
        batch = form(items[start : start + ITEMS_A_PIECE])
        yield joint + json.dumps(batch, default=str)[1:-1]
        joint = ", "
    yield closing


def _answer_text(request: Request, answer: _Text) -> bytes:
    request.setResponseCode(answer.status)
    request.setHeader(b"content-type", b"text/plain; charset=utf-8")
    return answer.text.encode()


def _answer_failed(request: Request) -> bytes:
    log.exception("The page {} failed.", request.path.decode(errors="replace"))
    return _answer_text(request, _Text("the page failed\n", INTERNAL_SERVER_ERROR))
