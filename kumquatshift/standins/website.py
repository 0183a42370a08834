"""The HTTP server of a target: an ordinary twisted.web site."""

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


def argument(request, name, default=""):
    """Return one argument of the query."""
    return request.args.get(name, [default.encode()])[0].decode(errors="replace")


class EchoPage(Resource):
    """Answers the request's id at once."""

    isLeaf = True  # noqa: N815

    def __init__(self, app: Application):
        super().__init__()
        self.app = app

    def render_GET(self, request):  # noqa: N802
        """Answer; doing it twice does no harm."""
        ident = argument(request, b"id")
        self.app.gets.add(ident)
        return self.app.answer(id=ident)

    def render_POST(self, request):  # noqa: N802
        """Count one run of the id, and answer."""
        ident = argument(request, b"id")
        self.app.posts.add(ident)
        return self.app.answer(id=ident)


class WorkPage(EchoPage):
    """Answers after ``ms`` milliseconds in a slot, or refuses at once."""

    def render_GET(self, request):  # noqa: N802
        """Work, then answer."""
        defer.ensureDeferred(self._work(request, super().render_GET))
        return NOT_DONE_YET

    def render_POST(self, request):  # noqa: N802
        """Work, count one run of the id, and answer."""
        defer.ensureDeferred(self._work(request, super().render_POST))
        return NOT_DONE_YET

    async def _work(self, request, render):
        gone = []
        request.notifyFinish().addErrback(gone.append)
        work_s = float(argument(request, b"ms", "0")) / MS_PER_S
        try:
            await self.app.capacity.run(work_s)
            body = render(request)
        except OverloadError:
            body = self._refuse(request)
        if not gone:
            request.write(body)
            request.finish()

    def _refuse(self, request):
        request.setResponseCode(HTTP_UNAVAILABLE)
        retry_s = self.app.settings.capacity.retry_s
        request.setHeader("Retry-After", str(retry_s))
        return b"not run"


class BigPage(Resource):
    """Answers with ``size`` bytes that are made from the id."""

    isLeaf = True  # noqa: N815

    def __init__(self, app: Application):
        super().__init__()
        self.app = app

    def render_GET(self, request):  # noqa: N802
        """Answer with the whole of it."""
        size = int(argument(request, b"size", str(BIG_BYTES)))
        ident = argument(request, b"id")
        return big_payload(self.app.settings.service, ident, size)
