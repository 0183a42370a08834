"""From the words of a command line to a request and its settings."""

import configparser
import contextlib
import io
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path

import fire
from returns import result
from returns.result import Result, Success

from ..adapters.platform import DEFAULT_URL, PlatformConfig
from ..context import Environment
from ..errors import ErrorKind, Failure
from ..fields import Invalid, Mistake, Whole, nearest
from .constants import (
    ADMIN_PORT,
    GLOBAL_FLAGS,
    PROGRAM,
    SETTINGS_VARIABLE,
    STDIN,
    SWITCHES,
)
from .definition import Commands, UsageError
from .requests import Request

WORDS = {
    *("profile", "service", "target", "domain"),
    *("list", "show", "apply", "remove", "admit", "retire", "out", "in", "into"),
    *("diff", "status", "dump", "wait"),
}
SETTINGS_KEYS = ("platform", "ca", "admin_port", "entries")


@dataclass(frozen=True)
class CtlConfig:
    """Where the platform is, and the entries if the platform cannot tell.

    ``entries`` are the IP addresses to ask when the platform's list of VMs is
    out of reach.
    """

    platform: PlatformConfig = PlatformConfig()
    admin_port: int = ADMIN_PORT
    entries: tuple[str, ...] = ()

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> "CtlConfig":
        """Read the ``[ctl]`` section; raise ValueError that lists all mistakes."""
        mistakes = [
            Mistake("[ctl]", key, repr(cfg[key]), "no such key; " + hint)
            for key in cfg
            if key not in SETTINGS_KEYS
            for hint in [nearest(key, SETTINGS_KEYS)]
        ]
        url = cfg.get("platform", DEFAULT_URL)
        if not url.startswith(("http://", "https://")):
            allowed = f"allowed: an HTTP address such as {DEFAULT_URL}"
            mistakes.append(Mistake("[ctl]", "platform", repr(url), allowed))
        ports, text = Whole(1, 65535), cfg.get("admin_port", str(ADMIN_PORT))
        try:
            ports.read(ports.from_text(text))
        except Invalid:
            mistakes.append(Mistake("[ctl]", "admin_port", repr(text), ports.allowed))
        entries = [part.strip() for part in cfg.get("entries", "").split(",")]
        entries = [part for part in entries if part]
        for part in entries:
            if not _is_address(part):
                allowed = "allowed: IPv4 addresses with commas between them"
                mistakes.append(Mistake("[ctl]", "entries", repr(part), allowed))
        if cfg.get("ca") and not Path(cfg["ca"]).is_file():
            allowed = "allowed: a PEM file that can be read"
            mistakes.append(Mistake("[ctl]", "ca", repr(cfg["ca"]), allowed))
        if mistakes:
            raise ValueError("\n".join(str(mistake) for mistake in mistakes))
        return cls(PlatformConfig.from_config(cfg), int(text), tuple(entries))


@dataclass(frozen=True)
class Line:
    """A command line split into fire's part and the flags of every command."""

    words: tuple[str, ...]
    flags: Mapping[str, str]


def parse(args: Sequence[str], env: Environment) -> Result[Request, Failure] | None:
    """Return the request of a command line; None after help was shown."""
    try:
        words = split(args).words
        return Success(_ask_fire(words, env))
    except UsageError as exc:
        remedy = f"see: {PROGRAM} --help"
        return result.Failure(Failure(ErrorKind.BAD_INPUT, str(exc), remedy))
    except _HelpShown:
        return None


def split(args: Sequence[str]) -> Line:
    """Take out the flags of every command, and make the rest plain to fire.

    Fire reads words as Python values and takes the word after a switch for its
    value; here each word is quoted and each switch closed.
    """
    words, flags, rest = [], {}, list(args)
    while rest:
        word = rest.pop(0)
        flag, equals, value = word.partition("=")
        if word == "--":
            raise UsageError("--: no arguments of that kind")
        if flag in GLOBAL_FLAGS:
            if not equals and not rest:
                raise UsageError(f"{flag}: nothing after it")
            flags[flag] = value if equals else rest.pop(0)
        elif word in SWITCHES:
            words.append(f"{word}='True'")
        elif word == "-":
            words.append(repr(STDIN))
        elif word.startswith("-"):
            words.append(f"{flag}={value!r}" if equals else word)
        else:
            words.append(word if word in WORDS else repr(word))
    return Line(tuple(words), flags)


def load_settings(args: Sequence[str], env: Environment) -> Result:
    """Return the `CtlConfig` that flags, environment and settings give."""
    flags = split(args).flags
    path = flags.get("--settings") or env.variables.get(SETTINGS_VARIABLE)
    try:
        cfg = CtlConfig.from_config(_read_section(path) if path else {})
        if "--platform" in flags:
            url = CtlConfig.from_config({"platform": flags["--platform"]})
            cfg = replace(cfg, platform=replace(cfg.platform, url=url.platform.url))
    except (OSError, UnicodeDecodeError, configparser.Error, ValueError) as exc:
        remedy = f"mend {path or '--platform'} and try again"
        return result.Failure(Failure(ErrorKind.BAD_SETTINGS, str(exc), remedy))
    return Success(cfg)


class _HelpShown(Exception):  # noqa: N818
    """Fire has shown help; there is nothing to do."""


def _ask_fire(words, env):
    out = io.StringIO()
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            asked = fire.Fire(
                Commands(), list(words), name=PROGRAM, serialize=lambda _: ""
            )
    except fire.core.FireExit as exc:
        if exc.code == 0:
            env.stdout.write(_without_info(out.getvalue()))
            raise _HelpShown from exc
        raise UsageError(_first_error(out.getvalue())) from exc
    if not isinstance(asked, Request):
        told = " ".join(words) or PROGRAM
        raise UsageError(f"{told}: a command is missing")
    return asked


def _without_info(text):
    lines = text.splitlines(keepends=True)
    return "".join(ln for ln in lines if not ln.startswith("INFO:")).lstrip("\n")


def _first_error(text):
    lines = [ln for ln in text.splitlines() if ln.startswith("ERROR:")]
    return lines[0].removeprefix("ERROR:").strip() if lines else text.strip()


def _read_section(path):
    parser = configparser.ConfigParser(interpolation=None)
    with open(path, encoding="utf-8") as file:
        parser.read_file(file)
    strange = [name for name in parser.sections() if name != "ctl"]
    if strange:
        raise ValueError(f"{path}: [{strange[0]}]: no such section; known: ctl")
    if not parser.has_section("ctl"):
        raise ValueError(f"{path}: there is no section [ctl]")
    return parser["ctl"]


def _is_address(text):
    try:
        return bool(IPv4Address(text))
    except AddressValueError:
        return False
