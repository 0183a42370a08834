"""Watches of the platform stand-in."""

import json

BEAT_S = 5.0


class WatchStream:
    """One open watch: changes as they come, and the version every 5 s."""

    def __init__(self, api, request, since: int):
        self.api = api
        self.request = request
        self.since = since
        self.beat = None
        request.notifyFinish().addBoth(lambda _: self.stop())

    def start(self):
        """Send the headers and what has happened since."""
        self.request.setHeader("content-type", "application/x-ndjson")
        self.request.write(b"")
        self.tell()
        self._beat()

    def tell(self):
        """Send the changes that were not sent yet."""
        if self.api.faults.hang_watches:
            return
        for obj in self.api.store.since(self.since):
            self._write(obj)
        self.since = self.api.store.version

    def stop(self):
        """Forget the watch."""
        self.api.watches.discard(self)
        if self.beat is not None and self.beat.active():
            self.beat.cancel()

    def cut(self):
        """Cut the connection."""
        self.stop()
        cut(self.request)

    def _beat(self):
        if not self.api.faults.hang_watches:
            self.tell()
            self._write({"version": self.api.store.version})
        self.beat = self.api.reactor.callLater(BEAT_S, self._beat)

    def _write(self, value):
        self.request.write(json.dumps(value).encode() + b"\n")


def cut(request):
    """Cut the connection of a request."""
    request.transport.abortConnection()
