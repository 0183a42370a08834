"""The admin port of a stand-in: readiness, dump and counters over HTTP."""

import json

from twisted.web.resource import Resource
from twisted.web.server import Site


class Page(Resource):
    """A page whose bytes come from calling ``render_body`` at each request."""

    isLeaf = True  # noqa: N815

    def __init__(self, render_body, content_type="application/json"):
        super().__init__()
        self.render_body = render_body
        self.content_type = content_type

    def render_GET(self, request):  # noqa: N802
        """Answer with the page as it is now."""
        request.setHeader("Content-Type", self.content_type)
        return self.render_body()


class Button(Resource):
    """A page that does one thing when it is posted to."""

    isLeaf = True  # noqa: N815

    def __init__(self, press):
        super().__init__()
        self.press = press

    def render_POST(self, request):  # noqa: N802
        """Do it, and answer with an empty object."""
        self.press()
        request.setHeader("Content-Type", "application/json")
        return b"{}"


def as_json(value):
    """Return ``value`` as the bytes of a JSON document."""
    return json.dumps(value, default=str).encode()


def admin_site(dump, pages=()):
    """Return the HTTP site with /ready, /dump, /metrics and ``pages``.

    ``dump`` is called at each request and returns what is turned into JSON;
    its ``counters`` entry, a flat mapping, gives the lines of /metrics.
    """
    root = Resource()
    root.putChild(b"ready", Page(lambda: b"{}"))
    root.putChild(b"dump", Page(lambda: as_json(dump())))
    root.putChild(b"metrics", Page(lambda: metrics_text(dump()), "text/plain"))
    for name, page in pages:
        root.putChild(name, page)
    return Site(root)


def metrics_text(dump):
    """Return the counters of a dump, one ``name value`` a line."""
    lines = [f"{name} {value}\n" for name, value in sorted(dump["counters"].items())]
    return "".join(lines).encode()
