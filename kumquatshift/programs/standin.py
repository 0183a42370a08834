"""`kumquat-standin`: the outside systems, for tests and the demo."""

import configparser
import sys
from importlib import import_module

import fire
from loguru import logger

from kumquatshift.context import Environment
from kumquatshift.status import ExitStatus

from .inifile import read_sections
from .loop import install_reactor

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


class Standins:
    """Stand-ins for the systems around kumquatshift; each takes an INI file."""

    def __init__(self, env: Environment):
        self._env = env

    def platform(self, file):
        """Run the platform's object API."""
        return self._run("platform", "PlatformSettings", file, platform_section)

    def fabric(self, file):
        """Run the fabric that hands packets to entries."""
        return self._run("fabric", "FabricSettings", file)

    def target(self, file):
        """Run one target."""
        return self._run("target", "TargetSettings", file)

    def _run(self, kind, settings_name, file, choose=dict):
        start_log(self._env)
        reactor = install_reactor()
        module = import_module(f"kumquatshift.standins.{kind}")
        try:
            cfg = read_sections(file)
            settings = getattr(module, settings_name).from_config(choose(cfg))
        except (OSError, configparser.Error, KeyError, ValueError) as exc:
            logger.error("{}: {} cannot be used, {!r}.", kind, file, exc)
            return ExitStatus.BAD_SETTINGS
        module.serve(settings, reactor)
        reactor.run()
        return ExitStatus.SUCCESS


def platform_section(cfg):
    """Return the platform's section, with the list of VMs as one of its keys."""
    rows = [f"{name} {text}" for name, text in cfg.get("vms", {}).items()]
    return {**cfg["platform"], "vms": "\n".join(rows)}


def start_log(env):
    """Send the log to the standard error stream of ``env``."""
    logger.remove()
    logger.add(env.stderr, format=LOG_FORMAT, level="INFO")


def main(args, env=None):
    """Run one stand-in until it is told to end."""
    standins = Standins(env or Environment())
    return fire.Fire(
        standins, command=args, name="kumquat-standin", serialize=lambda _: None
    )


def run():
    """Run with the arguments of the command line."""
    sys.exit(main(sys.argv[1:]))
