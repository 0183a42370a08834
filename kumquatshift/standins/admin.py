"""The admin port of a stand-in: that of every process, and pages of its own."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import defer
from twisted.web.resource import Resource
from twisted.web.server import Site

from ..adapters.admin import admin_root


class StandinState:
    """What a stand-in shows; all of it is in its dump.

    ``take_dump`` is called at each request. The ``counters`` of the dump, a flat
    mapping, give the page of metrics.
    """

    def __init__(self, take_dump: Callable[[], Mapping[str, Any]]):
        self.dump = take_dump

    def ready(self) -> bool:
        """A stand-in that answers is ready."""
        return True

    def metrics(self) -> str:
        """Return the counters, one ``name value`` a line."""
        counters = sorted(self.dump()["counters"].items())
        return "".join(f"{name} {value}\n" for name, value in counters)

    def versions(self) -> Mapping[str, int]:
        """A stand-in holds no objects."""
        return {}


class JsonPage(Resource):
    """A page that shows what ``read`` returns at each request."""

    isLeaf = True  # noqa: N815

    def __init__(self, read: Callable[[], Any]):
        super().__init__()
        self.read = read

    def render_GET(self, request):  # noqa: N802
        """Answer with the page as it is now."""
        request.setHeader("Content-Type", "application/json")
        return json.dumps(self.read()).encode()


class Button(Resource):
    """A page that does one thing when it is posted to."""

    isLeaf = True  # noqa: N815

    def __init__(self, press: Callable[[], None]):
        super().__init__()
        self.press = press

    def render_POST(self, request):  # noqa: N802
        """Do it, and answer with an empty object."""
        self.press()
        request.setHeader("Content-Type", "application/json")
        return b"{}"


def stop_ports(ports) -> defer.Deferred:
    """Close ports; the Deferred fires when all of them are closed."""
    return defer.gatherResults(
        [defer.maybeDeferred(port.stopListening) for port in ports]
    )


def admin_site(take_dump, pages: Mapping[bytes, Resource] | None = None) -> Site:
    """Return the HTTP site of a stand-in's admin port."""
    root = admin_root(StandinState(take_dump))
    for name, page in (pages or {}).items():
        root.putChild(name, page)
    return Site(root)
