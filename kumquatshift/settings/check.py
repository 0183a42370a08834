"""Validation of a settings file, offered by every program."""

from typing import Any

from returns.result import Result, Success

from ..context import Environment
from ..status import ExitStatus
from .problems import Problem
from .read import ProgramSettings


def check(program: type[ProgramSettings], path: str, env: Environment) -> ExitStatus:
    """Validate the file at ``path`` and print every problem; start nothing."""
    match program.load(path):
        case Success(_):
            print(f"{path}: settings are valid", file=env.stdout)
            return ExitStatus.SUCCESS
        case failed:
            return print_problems(path, failed, env)


def print_problems(
    path: str, failed: Result[Any, tuple[Problem, ...]], env: Environment
) -> ExitStatus:
    """Print the problems of a file that did not load, one per line."""
    problems = failed.failure()
    for problem in problems:
        print(f"{path}: {problem}", file=env.stderr)
    noun = "error" if len(problems) == 1 else "errors"
    print(f"{path}: {len(problems)} {noun}; nothing was started", file=env.stderr)
    return ExitStatus.BAD_SETTINGS
