"""Fabric, targets and fake entries on loopback, all in one reactor."""

import asyncio

import aiocoap
from returns.pipeline import is_successful
from twisted.internet.defer import ensureDeferred

from kumquatshift.bench.exchange import client_context
from kumquatshift.settings import FabricStandinSettings, TargetStandinSettings
from kumquatshift.standins.fabric import Fabric
from kumquatshift.standins.target import Target
from tests.support.fake_entry import FakeEntry
from tests.support.waiting import result_of, wait_until

FEATURES = ("fabric", "target", "bench")
FIRST_NET = 100
NETS_PER_FEATURE = 20
FABRIC_INI = """
[fabric]
address = {address}
seed = 3
loss = {loss}
reorder = {reorder}
duplicate = {duplicate}
[entries]
{entries}
[services]
{services}
"""
TARGET_INI = """
[target]
name = {name}
service = {service}
address = {address}
fabric_address = {fabric}
{more}
[services]
{services}
"""


async def send_coap(code, uri, timeout_s=15):
    context = await client_context()
    try:
        message = aiocoap.Message(code=code, uri=uri)
        response = await asyncio.wait_for(context.request(message).response, timeout_s)
    finally:
        await context.shutdown()
    return response


def load_settings(program, text):
    loaded = program.from_text(text)
    assert is_successful(loaded), loaded
    return loaded.unwrap()


class SmallSite:
    """Starts components on request and stops all of them in `stop`.

    Features run concurrently, so each has loopback addresses of its own.
    """

    def __init__(self, reactor, feature):
        self.reactor = reactor
        self.first_net = FIRST_NET + FEATURES.index(feature) * NETS_PER_FEATURE
        self.fabric_host = self.host(3, 1)
        self.services = {
            "tills": (self.host(9, 1), 5683, "udp"),
            "web": (self.host(9, 3), 8080, "tcp"),
        }
        self.tills = "coap://{}:{}".format(*self.services["tills"][:2])
        self.web = "http://{}:{}".format(*self.services["web"][:2])
        self.entries = {}
        self.targets = {}
        self.fabric = None

    def host(self, net, number):
        return f"127.12.{self.first_net + net}.{number}"

    def service_lines(self):
        return "\n".join(
            f"{name} = {host} {port} {protocol}"
            for name, (host, port, protocol) in self.services.items()
        )

    def start_fabric(self, entries, loss=0, reorder=0, duplicate=0):
        lines = [
            f"e{n} = north-a entry {self.host(1, n)}" for n in range(1, entries + 1)
        ]
        text = FABRIC_INI.format(
            address=self.fabric_host,
            loss=loss,
            reorder=reorder,
            duplicate=duplicate,
            entries="\n".join(lines),
            services=self.service_lines(),
        )
        self.fabric = Fabric(load_settings(FabricStandinSettings, text), self.reactor)
        self.fabric.start()

    def start_entry(self, number):
        entry = FakeEntry(self.host(1, number), self.fabric_host, "", self.reactor)
        entry.start()
        entry.targets = self.routes()
        self.entries[number] = entry

    def routes(self):
        """Return the addresses of the targets by service address."""
        return {
            f"{host}:{port}": [
                (target.settings.address, 6080)
                for target in self.targets.values()
                if target.settings.service == name
            ]
            for name, (host, port, _) in self.services.items()
        }

    def stop_entry(self, number):
        result_of(self.entries.pop(number).stop())

    def start_target(self, name, service, number, **more):
        text = TARGET_INI.format(
            name=name,
            service=service,
            address=self.host(2, number),
            fabric=self.fabric_host,
            services=self.service_lines(),
            more="\n".join(f"{key} = {value}" for key, value in more.items()),
        )
        target = Target(load_settings(TargetStandinSettings, text), self.reactor)
        result_of(ensureDeferred(target.start()))
        self.targets[name] = target

    def wait_ready(self, numbers):
        names = tuple(f"e{number}" for number in numbers)
        wait_until(lambda: self.fabric.spray.ready == names)

    def stop(self):
        for target in self.targets.values():
            result_of(ensureDeferred(target.stop()))
        for entry in self.entries.values():
            result_of(entry.stop())
        if self.fabric is not None:
            result_of(self.fabric.stop())
