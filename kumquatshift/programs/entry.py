"""`kumquat-entry`: receives packets from the fabric and forwards them."""

import asyncio
import random
import sys

import fire
import grpc
from returns.pipeline import is_successful
from twisted.internet.defer import Deferred

from .. import logs, tls
from ..adapters.admin import listen_admin
from ..adapters.control import ControlClient, serve
from ..adapters.driver import EntryDriver, new_incarnation
from ..adapters.platform import PlatformClient
from ..context import Environment
from ..engine.entry import EntryConfig, EntryEngine
from ..engine.members import MemberTimers, Vm
from ..engine.node import Limits
from ..keys import Sealer
from ..settings import EntrySettings
from ..settings.check import check as check_settings, print_problems
from ..status import ExitStatus
from .loop import install_reactor

# Fraction of `control_bytes_per_s` available to the background copy of records.
COPY_BUDGET_SHARE = 0.6

log = logs.logger_for(logs.Part.ENTRY)


class EntryCommand:
    """Receives packets from the fabric, selects a target per flow, and forwards."""

    def __init__(self, env: Environment):
        self._env = env

    def run(self, settings, check=False):
        """Run one entry until SIGTERM or SIGINT, then hand over its flows.

        With --check, the settings are only validated, and every error in the file
        is printed.
        """
        if check:
            return check_settings(EntrySettings, settings, self._env)
        loaded = EntrySettings.load(settings)
        if not is_successful(loaded):
            return print_problems(settings, loaded, self._env)
        cfg = loaded.unwrap()
        secrets = (cfg.keys.current, cfg.keys.previous)
        logs.setup(cfg.log.level, cfg.log.format, self._env.stderr, secrets)
        return run_entry(cfg)


def run_entry(cfg: EntrySettings) -> ExitStatus:
    """Run one entry until it is stopped and has left the cluster.

    The status is UNAVAILABLE if a port cannot be opened.
    """
    reactor = install_reactor()
    engine = EntryEngine.from_config(
        engine_config(cfg), reactor, random.SystemRandom(), new_incarnation()
    )
    control = ControlClient(tls.channel_opener(cfg.tls))
    driver = EntryDriver(cfg, engine, reactor, Sealer.from_config(cfg.keys), control)
    if cfg.platform.url:
        driver.use_platform(_platform(cfg, reactor))
    starting = asyncio.ensure_future(_open_ports(cfg, driver, reactor))
    failures = []

    def started(fut):
        if fut.exception() is None:
            reactor.addSystemEventTrigger("before", "shutdown", driver.drain)
            reactor.addSystemEventTrigger(
                "during", "shutdown", _stop, control, fut.result()
            )
            return
        log.error("Cannot start: {}.", fut.exception())
        failures.append(fut.exception())
        reactor.callWhenRunning(reactor.stop)

    starting.add_done_callback(started)
    reactor.run()
    return ExitStatus.UNAVAILABLE if failures else ExitStatus.SUCCESS


async def _open_ports(cfg, driver, reactor):
    """Open all ports: control first, since peers call as soon as they hear from us.

    The admin port is opened last, so once it answers, all others are open.
    """
    entry = cfg.entry
    control_endpoint = f"{entry.address}:{entry.control_port}"
    server = await serve(
        driver.servicer(), control_endpoint, tls.server_credentials(cfg.tls)
    )
    driver.start()
    context = tls.admin_context(cfg.tls)
    listen_admin(reactor, entry.address, entry.admin_port, driver, context)
    return server


def engine_config(cfg: EntrySettings) -> EntryConfig:
    """Return the engine's configuration from the settings of an entry."""
    own_vm = Vm(cfg.entry.name, cfg.entry.domain, cfg.entry.address)
    peers = [Vm(peer.name, peer.domain, peer.address) for peer in cfg.peers.members]
    timers = MemberTimers(
        cfg.timers.heartbeat_s, cfg.timers.suspect_s, cfg.timers.forget_s
    )
    copy_bytes_per_s = cfg.limits.control_bytes_per_s * COPY_BUDGET_SHARE
    limits = Limits(copy_bytes_per_s, cfg.limits.max_flows)
    return EntryConfig(own_vm, tuple(peers), timers, limits)


def _platform(cfg, reactor):
    section = {"platform": cfg.platform.url, "ca": cfg.platform.ca}
    return PlatformClient.from_config(section, reactor)


def _stop(control: ControlClient, server: grpc.aio.Server) -> Deferred:
    async def stop():
        await control.close()
        await server.stop(grace=0.5)

    return Deferred.fromFuture(asyncio.ensure_future(stop()))


def main(args: list[str], env: Environment) -> ExitStatus:
    """Run the program with the given command-line arguments."""
    command = EntryCommand(env)
    return fire.Fire(
        command.run, command=args, name="kumquat-entry", serialize=lambda _: None
    )


def run() -> None:
    """Run with the arguments of the process; entry point of the console script."""
    sys.exit(main(sys.argv[1:], Environment()))
