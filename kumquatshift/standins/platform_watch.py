"""Watch streams of the platform stand-in."""

import json

HEARTBEAT_INTERVAL_S = 5.0


class WatchStream:
    """One open watch: sends changes as they occur, and the version every 5 s."""

    def __init__(self, api, request, since: int):
        self.api = api
        self.request = request
        self.since = since
        self.heartbeat_timer = None
        request.notifyFinish().addBoth(lambda _: self.stop())

    def start(self):
        """Send the headers and the changes since the requested version."""
        self.request.setHeader("content-type", "application/x-ndjson")
        self.request.write(b"")
        self.send_changes()
        self._send_heartbeat()

    def send_changes(self):
        """Send the changes that have not been sent yet."""
        if self.api.faults.hang_watches:
            return
        for obj in self.api.store.since(self.since):
            self._write(obj)
        self.since = self.api.store.version

    def stop(self):
        """Remove the watch and cancel its heartbeat."""
        self.api.watches.discard(self)
        if self.heartbeat_timer is not None and self.heartbeat_timer.active():
            self.heartbeat_timer.cancel()

    def abort(self):
        """Stop the watch and abort its connection."""
        self.stop()
        abort(self.request)

    def _send_heartbeat(self):
        if not self.api.faults.hang_watches:
            self.send_changes()
            self._write({"version": self.api.store.version})
        self.heartbeat_timer = self.api.reactor.callLater(
            HEARTBEAT_INTERVAL_S, self._send_heartbeat
        )

    def _write(self, value):
        self.request.write(json.dumps(value).encode() + b"\n")


def abort(request):
    """Abort the connection of a request."""
    request.transport.abortConnection()
