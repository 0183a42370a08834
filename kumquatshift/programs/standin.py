"""`kumquat-standin`: stand-ins for external systems, for tests and the demo."""

import sys
from dataclasses import asdict

import fire
from returns.pipeline import is_successful
from twisted.internet.error import CannotListenError

from .. import logs
from ..context import Environment
from ..settings import (
    FabricStandinSettings,
    PlatformStandinSettings,
    TargetStandinSettings,
)
from ..settings.check import check as check_settings, print_problems
from ..standins import fabric, platform, target
from ..status import ExitStatus
from .loop import install_reactor

log = logs.logger_for(logs.Part.STANDIN)


class Commands:
    """Stand-ins for the systems around kumquatshift; each takes an INI file.

    With --check, the settings are only validated, and every error in the file is
    printed.
    """

    def __init__(self, env: Environment):
        self._env = env
        self._status = ExitStatus.SUCCESS

    def platform(self, settings, check=False):
        """Run the platform's object API, until SIGTERM or SIGINT."""
        return self._run(PlatformStandinSettings, settings, check, serve_platform)

    def fabric(self, settings, check=False):
        """Run the fabric that delivers packets to entries, until SIGTERM or SIGINT."""
        return self._run(FabricStandinSettings, settings, check, fabric.serve)

    def target(self, settings, check=False):
        """Run one target, until SIGTERM or SIGINT."""
        return self._run(TargetStandinSettings, settings, check, self._serve_target)

    def _run(self, program, path, check, serve):
        if check:
            return check_settings(program, path, self._env)
        loaded = program.load(path)
        if not is_successful(loaded):
            return print_problems(path, loaded, self._env)
        cfg = loaded.unwrap()
        logs.setup(cfg.log.level, cfg.log.format, self._env.stderr)
        reactor = install_reactor()
        try:
            serve(cfg, reactor)
        except CannotListenError as exc:
            log.error("Cannot start: {}.", exc)
            return ExitStatus.UNAVAILABLE
        reactor.run()
        return self._status

    def _serve_target(self, cfg, reactor):
        def fail(failure):
            log.error("Cannot start: {}.", failure.getErrorMessage())
            self._status = ExitStatus.UNAVAILABLE
            reactor.stop()

        target.serve(cfg, reactor).addErrback(fail)


def serve_platform(cfg: PlatformStandinSettings, reactor):
    """Start the platform's object API with the VMs of the settings."""
    rows = tuple(platform.VmRow(**asdict(vm)) for vm in cfg.vms.members)
    settings = platform.PlatformSettings(**asdict(cfg.platform), vms=rows)
    return platform.serve(settings, reactor)


def main(args, env: Environment) -> ExitStatus:
    """Run one stand-in until it is stopped."""
    return fire.Fire(
        Commands(env), command=args, name="kumquat-standin", serialize=lambda _: None
    )


def run() -> None:
    """Run with the arguments of the process; entry point of the console script."""
    sys.exit(main(sys.argv[1:], Environment()))
