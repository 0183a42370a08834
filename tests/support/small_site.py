"""A fabric, targets and fake entries on loopback, all in one reactor."""

from returns.pipeline import is_successful
from twisted.internet.defer import ensureDeferred

from kumquatshift.settings import FabricStandinSettings, TargetStandinSettings
from kumquatshift.standins.fabric import Fabric
from kumquatshift.standins.target import Target
from tests.support.fake_entry import FakeEntry
from tests.support.waiting import result_of, wait_until

FABRIC = "127.12.3.1"
PLATFORM = "http://127.12.0.10:1"
SERVICES = {"tills": ("127.12.9.1", 5683, "udp"), "web": ("127.12.9.3", 8080, "tcp")}
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


def service_lines():
    return "\n".join(
        f"{name} = {host} {port} {protocol}"
        for name, (host, port, protocol) in SERVICES.items()
    )


def load(program, text):
    loaded = program.from_text(text)
    assert is_successful(loaded), loaded
    return loaded.unwrap()


class SmallSite:
    """Starts what it is asked for, and ends all of it in `stop`."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.entries = {}
        self.targets = {}
        self.fabric = None

    def start_fabric(self, entries, loss=0, reorder=0, duplicate=0):
        lines = [f"e{n} = north-a entry {self.host(n)}" for n in range(1, entries + 1)]
        text = FABRIC_INI.format(
            address=FABRIC,
            loss=loss,
            reorder=reorder,
            duplicate=duplicate,
            entries="\n".join(lines),
            services=service_lines(),
        )
        self.fabric = Fabric(load(FabricStandinSettings, text), self.reactor)
        self.fabric.start()

    @staticmethod
    def host(number):
        return f"127.12.1.{number}"

    def start_entry(self, number):
        entry = FakeEntry(self.host(number), FABRIC, PLATFORM, self.reactor)
        entry.start()
        entry.targets = self.routes()
        self.entries[number] = entry

    def routes(self):
        """Return the hosts of the targets of each service address."""
        return {
            f"{host}:{port}": [
                (target.settings.address, 6080)
                for target in self.targets.values()
                if target.settings.service == name
            ]
            for name, (host, port, _) in SERVICES.items()
        }

    def stop_entry(self, number):
        result_of(self.entries.pop(number).stop())

    def start_target(self, name, service, number, **more):
        text = TARGET_INI.format(
            name=name,
            service=service,
            address=f"127.12.2.{number}",
            fabric=FABRIC,
            services=service_lines(),
            more="\n".join(f"{key} = {value}" for key, value in more.items()),
        )
        target = Target(load(TargetStandinSettings, text), self.reactor)
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
