"""Platform stand-in and fake entries on loopback, with the reactor in a thread."""

import io
import json
import threading
from dataclasses import dataclass, field

from loguru import logger
from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.threads import blockingCallFromThread
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from kumquatshift.adapters.platform import PlatformClient
from kumquatshift.context import Environment
from kumquatshift.programs import ctl
from kumquatshift.standins.platform import PlatformSettings, VmRow, serve

PLATFORM_ADDRESS = "127.11.0.1"
ENTRY_ADDRESS = "127.11.1.{}"
CALL_LIMIT_S = 30


def in_reactor(call, *args):
    """Run a call in the reactor's thread and return the result of its Deferred."""
    if not reactor.running:
        ready = threading.Event()
        reactor.callWhenRunning(ready.set)
        run = threading.Thread(target=reactor.run, args=(False,), daemon=True)
        run.start()
        ready.wait()
    return blockingCallFromThread(
        reactor, lambda: maybeDeferred(call, *args).addTimeout(CALL_LIMIT_S, reactor)
    )


def in_coroutine(call, *args):
    """Run a coroutine function in the reactor's thread and return its result."""
    return in_reactor(lambda: Deferred.fromCoroutine(call(*args)))


class FakeEntry(Resource):
    """Admin port of an entry.

    With the ``mode`` "silent" it never answers, and with "stuck" it keeps reporting the
    first versions that it read.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, name, domain, mode, store):
        super().__init__()
        self.name = name
        self.domain = domain
        self.mode = mode
        self.store = store
        self.reported_versions = {}

    def render_GET(self, request):  # noqa: N802
        if self.mode == "silent":
            return NOT_DONE_YET
        if self.mode != "stuck" or not self.reported_versions:
            self.reported_versions = {
                f"{kind}/{name}": obj["version"]
                for (kind, name), obj in self.store.objects.items()
            }
        if request.path == b"/versions":
            return json.dumps(self.reported_versions).encode()
        return json.dumps(self.dump()).encode()

    def dump(self):
        return {
            "name": self.name,
            "domain": self.domain,
            "state": "live",
            "incarnation": 1,
            "flows": {"held": 9, "primary": 4},
            "targets": {"t1": {"flows": 3, "sent": 30}, "t2": {"flows": 1, "sent": 10}},
            "members": [],
            "versions": self.reported_versions,
            "counters": {},
        }


@dataclass
class LoopbackSite:
    """A running platform stand-in, its entries and its clients."""

    server: object
    url: str
    admin_port: int = 0
    ports: list = field(default_factory=list)

    @classmethod
    def start(cls, **settings):
        logger.disable("kumquatshift.standins.platform")
        settings = PlatformSettings(
            address=PLATFORM_ADDRESS, port=0, vms_lag_s=0, **settings
        )
        server = in_reactor(serve, settings, reactor)
        port = server.port.getHost().port
        return cls(server, f"http://{PLATFORM_ADDRESS}:{port}")

    @property
    def store(self):
        return self.server.api.store

    def add_entries(self, rows, context_for=lambda address: None):
        """Start an entry for each (name, domain, mode), all on the same port number.

        If ``context_for`` returns a TLS context for an entry's address, the entry
        serves HTTPS.
        """
        entries = [FakeEntry(*row, self.store) for row in rows]
        self.context_for = context_for
        in_reactor(self._listen, entries)
        self.server.api.vms = tuple(
            VmRow(one.name, one.domain, "entry", ENTRY_ADDRESS.format(number))
            for number, one in enumerate(entries, 1)
        )

    def _listen(self, entries):
        for _ in range(20):
            try:
                return self._listen_once(entries)
            except CannotListenError:
                for port in self.ports:
                    port.stopListening()
                self.ports, self.admin_port = [], 0
        raise AssertionError("found no port number that is free on all addresses")

    def _listen_once(self, entries):
        for number, entry in enumerate(entries, 1):
            if entry.mode == "down":
                continue
            address = ENTRY_ADDRESS.format(number)
            port = self._open(Site(entry), address, self.context_for(address))
            self.admin_port = port.getHost().port
            self.ports.append(port)

    def _open(self, site, address, context):
        if context is None:
            return reactor.listenTCP(self.admin_port, site, interface=address)
        return reactor.listenSSL(self.admin_port, site, context, interface=address)

    def client(self):
        return PlatformClient.from_config({"platform": self.url}, reactor)

    def faults(self, **values):
        api = self.server.api
        in_reactor(lambda: setattr(api, "faults", api.faults.changed(values)))

    def stop(self):
        for port in self.ports:
            in_reactor(port.stopListening)
        in_reactor(self.server.stop)


@dataclass(frozen=True)
class CommandResult:
    """Exit status and output of one command."""

    status: int
    out: str
    err: str


def run_ctl(site, line, settings="", stdin=""):
    """Run a kumquat-ctl command line against a site in this process."""
    env = environment("anna", stdin)
    args = ["--platform", site.url, *line.split()]
    if settings:
        args += ["--settings", settings]
    status = in_reactor(ctl.execute, args, env, reactor)
    return CommandResult(int(status), env.stdout.getvalue(), env.stderr.getvalue())


def environment(user, stdin=""):
    return Environment(io.StringIO(stdin), io.StringIO(), io.StringIO(), {"USER": user})
