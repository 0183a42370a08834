"""The check of a settings file that every program offers."""

from typing import Any

from returns.result import Result, Success

from ..context import Environment
from ..status import ExitStatus
from .problems import Problem
from .read import ProgramSettings


def check(program: type[ProgramSettings], path: str, env: Environment) -> ExitStatus:
    """Check the file at ``path`` and tell every mistake; starts nothing."""
    match program.load(path):
        case Success(_):
            print(f"{path}: settings are good", file=env.stdout)
            return ExitStatus.SUCCESS
        case failed:
            return tell_problems(path, failed, env)


def tell_problems(
    path: str, failed: Result[Any, tuple[Problem, ...]], env: Environment
) -> ExitStatus:
    """Print the mistakes of a file that did not load, one a line."""
    problems = failed.failure()
    for problem in problems:
        print(f"{path}: {problem}", file=env.stderr)
    noun = "mistake" if len(problems) == 1 else "mistakes"
    print(f"{path}: {len(problems)} {noun}; nothing was started", file=env.stderr)
    return ExitStatus.BAD_SETTINGS
