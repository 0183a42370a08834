"""Entry point of all programs."""

from collections.abc import Sequence
from importlib import import_module

from .context import Environment
from .status import ExitStatus

PROGRAMS = {
    "entry": "kumquatshift.programs.entry",
    "ctl": "kumquatshift.programs.ctl",
    "bench": "kumquatshift.programs.bench",
    "standin": "kumquatshift.programs.standin",
}


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program that the first argument names, with the other arguments.

    Only that program is imported: each needs libraries that the others do not.
    """
    if not args or args[0] not in PROGRAMS:
        names = ", ".join(PROGRAMS)
        env.stderr.write(f"usage: python -m kumquatshift PROGRAM ...; one of {names}\n")
        return ExitStatus.USAGE
    program = import_module(PROGRAMS[args[0]])
    return program.main(list(args[1:]), env)
