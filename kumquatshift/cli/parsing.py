"""Parses a command line into a request and its settings."""

import contextlib
import io
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

import fire
from returns import result
from returns.pipeline import is_successful
from returns.result import Result, Success

from ..adapters.platform import DEFAULT_URL
from ..context import Environment
from ..errors import ErrorKind, Failure
from ..settings.ctl import CtlSettings
from ..settings.values import Url
from .constants import GLOBAL_FLAGS, PROGRAM, SETTINGS_VARIABLE, STDIN, SWITCHES
from .definition import Commands, UsageError
from .requests import Request

LOCAL_SETTINGS = f"[platform]\nurl = {DEFAULT_URL}\n"
COMMAND_WORDS = {
    *("profile", "service", "target", "domain"),
    *("list", "show", "apply", "remove", "admit", "retire", "out", "in", "into"),
    *("diff", "status", "dump", "wait", "check", "explain"),
}


@dataclass(frozen=True)
class CommandLine:
    """A command line, split into arguments for fire and the global flags."""

    words: tuple[str, ...]
    flags: Mapping[str, str]


def parse(args: Sequence[str], env: Environment) -> Result[Request, Failure] | None:
    """Return the request of a command line; None after help was shown."""
    try:
        words = split(args).words
        return Success(_run_fire(words, env))
    except UsageError as exc:
        remedy = f"see: {PROGRAM} --help"
        return result.Failure(Failure(ErrorKind.BAD_INPUT, str(exc), remedy))
    except _HelpShown:
        return None


def split(args: Sequence[str]) -> CommandLine:
    """Separate the global flags, and make the other arguments unambiguous to fire.

    Fire parses arguments as Python literals and takes the argument after a switch
    as its value. Arguments are therefore quoted, and switches get a value.
    """
    words, flags, remaining = [], {}, list(args)
    while remaining:
        word = remaining.pop(0)
        flag, equals, value = word.partition("=")
        if word == "--":
            raise UsageError("--: not supported")
        if flag in GLOBAL_FLAGS:
            if not equals and not remaining:
                raise UsageError(f"{flag}: missing value")
            flags[flag] = value if equals else remaining.pop(0)
        elif word in SWITCHES:
            words.append(f"{word}='True'")
        elif word == "-":
            words.append(repr(STDIN))
        elif word.startswith("-"):
            words.append(f"{flag}={value!r}" if equals else word)
        else:
            words.append(word if word in COMMAND_WORDS else repr(word))
    return CommandLine(tuple(words), flags)


def load_settings(
    args: Sequence[str], env: Environment
) -> Result[CtlSettings, Failure]:
    """Return the settings, as given by flags, environment and file.

    The file is taken from ``--settings``, or else from the environment. Without a
    file, the platform is that of a local site, as started by `make site`.
    ``--platform`` takes precedence over both.
    """
    flags = split(args).flags
    path = flags.get("--settings") or env.variables.get(SETTINGS_VARIABLE)
    loaded = CtlSettings.load(path) if path else CtlSettings.from_text(LOCAL_SETTINGS)
    if not is_successful(loaded):
        lines = [f"{path}: {problem}" for problem in loaded.failure()]
        return result.Failure(_bad_settings("\n".join(lines), f"fix {path}"))
    return _with_platform(loaded.unwrap(), flags.get("--platform"))


def _with_platform(cfg, url):
    if url is not None:
        try:
            section = replace(cfg.platform, url=Url().parse(url))
        except ValueError:
            message = f"--platform: found {url!r}; allowed: {Url.allowed}"
            return result.Failure(_bad_settings(message, "fix --platform"))
        cfg = replace(cfg, platform=section)
    if not cfg.platform.url:
        remedy = "give --platform URL, or set url in the section [platform]"
        return result.Failure(_bad_settings("no platform URL is configured", remedy))
    return Success(cfg)


def _bad_settings(message, remedy):
    return Failure(ErrorKind.BAD_SETTINGS, message, remedy)


class _HelpShown(Exception):  # noqa: N818
    """Fire has shown help, and there is no command to run."""


def _run_fire(words, env):
    out = io.StringIO()
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            request = fire.Fire(
                Commands(), list(words), name=PROGRAM, serialize=lambda _: ""
            )
    except fire.core.FireExit as exc:
        if exc.code == 0:
            env.stdout.write(_without_info(out.getvalue()))
            raise _HelpShown from exc
        raise UsageError(_first_error(out.getvalue())) from exc
    if not isinstance(request, Request):
        message = " ".join(words) or PROGRAM
        raise UsageError(f"{message}: a command is missing")
    return request


def _without_info(text):
    lines = text.splitlines(keepends=True)
    return "".join(ln for ln in lines if not ln.startswith("INFO:")).lstrip("\n")


def _first_error(text):
    lines = [ln for ln in text.splitlines() if ln.startswith("ERROR:")]
    return lines[0].removeprefix("ERROR:").strip() if lines else text.strip()
