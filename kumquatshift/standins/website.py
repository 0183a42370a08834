"""HTTP server of a target: a plain twisted.web site."""

from twisted.internet import defer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from .application import BIG_BYTES, MS_PER_S, Application, big_payload
from .capacity import OverloadError

HTTP_UNAVAILABLE = 503


def make_website(app: Application):
    """Return the site with the resources of ``app``."""
    root = Resource()
    root.putChild(b"echo", EchoPage(app))
    root.putChild(b"work", WorkPage(app))
    root.putChild(b"big", BigPage(app))
    return Site(root)


def query_argument(request, name, default=""):
    """Return the first value of a query argument."""
    return request.args.get(name, [default.encode()])[0].decode(errors="replace")


class EchoPage(Resource):
    """Responds with the id of the request at once."""

    isLeaf = True  # noqa: N815

    def __init__(self, app: Application):
        super().__init__()
        self.app = app

    def render_GET(self, request):  # noqa: N802
        """Respond; the request is idempotent."""
        ident = query_argument(request, b"id")
        self.app.gets.add(ident)
        return self.app.answer(id=ident)

    def render_POST(self, request):  # noqa: N802
        """Count one run of the id, and respond."""
        ident = query_argument(request, b"id")
        self.app.posts.add(ident)
        return self.app.answer(id=ident)


class WorkPage(EchoPage):
    """Responds after ``ms`` milliseconds in a slot, or refuses at once."""

    def render_GET(self, request):  # noqa: N802
        """Work, then respond."""
        defer.ensureDeferred(self._work(request, super().render_GET))
        return NOT_DONE_YET

    def render_POST(self, request):  # noqa: N802
        """Work, count one run of the id, and respond."""
        defer.ensureDeferred(self._work(request, super().render_POST))
        return NOT_DONE_YET

    async def _work(self, request, render):
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        work_s = float(query_argument(request, b"ms", "0")) / MS_PER_S
        try:
            await self.app.capacity.run(work_s)
            body = render(request)
        except OverloadError:
            body = self._refuse(request)
        if not disconnects:
            request.write(body)
            request.finish()

    def _refuse(self, request):
        request.setResponseCode(HTTP_UNAVAILABLE)
        retry_s = self.app.settings.capacity.retry_s
        request.setHeader("Retry-After", str(retry_s))
        return b"not run"


class BigPage(Resource):
    """Responds with ``size`` bytes derived from the id."""

    isLeaf = True  # noqa: N815

    def __init__(self, app: Application):
        super().__init__()
        self.app = app

    def render_GET(self, request):  # noqa: N802
        """Respond with the complete payload."""
        size = int(query_argument(request, b"size", str(BIG_BYTES)))
        ident = query_argument(request, b"id")
        return big_payload(self.app.settings.service, ident, size)
