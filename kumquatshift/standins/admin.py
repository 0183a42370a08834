"""Admin port of a stand-in: the pages common to all processes, and its own."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import defer
from twisted.web.resource import Resource
from twisted.web.server import Site

from ..adapters.admin import admin_root


class StandinState:
    """State that a stand-in exposes on its admin port, taken from its dump.

    ``get_dump`` is called on each request. The metrics page is built from the
    ``counters`` of the dump, a flat mapping.
    """

    def __init__(self, get_dump: Callable[[], Mapping[str, Any]]):
        self.dump = get_dump

    def ready(self) -> bool:
        """Return True: a stand-in that responds is ready."""
        return True

    def metrics(self) -> str:
        """Return the counters, one ``name value`` per line."""
        counters = sorted(self.dump()["counters"].items())
        return "".join(f"{name} {value}\n" for name, value in counters)

    def versions(self) -> Mapping[str, int]:
        """Return no versions: a stand-in holds no objects."""
        return {}


class JsonPage(Resource):
    """Page that calls ``read`` on each request and serves the result as JSON."""

    isLeaf = True  # noqa: N815

    def __init__(self, read: Callable[[], Any]):
        super().__init__()
        self.read = read

    def render_GET(self, request):  # noqa: N802
        """Respond with the current value of ``read``."""
        request.setHeader("Content-Type", "application/json")
        return json.dumps(self.read()).encode()


class ActionPage(Resource):
    """Page that calls ``action`` on each POST request."""

    isLeaf = True  # noqa: N815

    def __init__(self, action: Callable[[], None]):
        super().__init__()
        self.action = action

    def render_POST(self, request):  # noqa: N802
        """Call the action, and respond with an empty JSON object."""
        self.action()
        request.setHeader("Content-Type", "application/json")
        return b"{}"


def stop_ports(ports) -> defer.Deferred:
    """Close ports; the returned Deferred fires when all of them are closed."""
    return defer.gatherResults(
        [defer.maybeDeferred(port.stopListening) for port in ports]
    )


def admin_site(get_dump, pages: Mapping[bytes, Resource] | None = None) -> Site:
    """Return the HTTP site of a stand-in's admin port."""
    root = admin_root(StandinState(get_dump))
    for name, page in (pages or {}).items():
        root.putChild(name, page)
    return Site(root)
