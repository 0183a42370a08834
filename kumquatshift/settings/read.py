"""Parsing and validation of settings files against the declarations."""

from collections.abc import Callable, Mapping
from configparser import (
    ConfigParser,
    DuplicateOptionError,
    DuplicateSectionError,
    Error,
    MissingSectionHeaderError,
    ParsingError,
)
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, ClassVar, Protocol, Self, runtime_checkable

from returns.result import Failure, Result, Success

from .declare import Key, Section, UserDefinedKeys, sections_of
from .problems import HIDDEN, Problem, unknown_key, unknown_section

NO_DEFAULT_SECTION = "\0"
MAX_SHOWN_CHARS = 60

Problems = tuple[Problem, ...]


@runtime_checkable
class SupportsConsistencyCheck(Protocol):
    """A section with constraints between its keys."""

    def check_consistency(self) -> list[Problem]:
        """Return the inconsistencies between keys."""
        ...


@dataclass(frozen=True)
class CrossCheck:
    """A check of constraints between sections.

    ``find_problems`` is called with the named sections if each of them could be
    parsed.
    """

    sections: tuple[str, ...]
    find_problems: Callable[..., list[Problem]]


class ProgramSettings:
    """Base class of the settings of each program."""

    cross_checks: ClassVar[tuple[CrossCheck, ...]] = ()

    @classmethod
    def load(
        cls, path: str | Path, now: datetime | None = None
    ) -> Result[Self, Problems]:
        """Read the file at ``path``; a failure lists every problem in it.

        The files that it refers to are checked too. Certificates must be valid at
        ``now``, by default the current time.
        """
        try:
            text = Path(path).read_text(encoding="utf-8-sig")
        except OSError as exc:
            return Failure(
                (_file_problem(exc.strerror or str(exc), "a readable file"),)
            )
        except UnicodeDecodeError as exc:
            return Failure((_file_problem(str(exc), "text in UTF-8"),))
        moment = now or datetime.now(UTC)
        return cls.from_text(text).bind(lambda cfg: _with_files_checked(cfg, moment))

    def check_files(self, now: datetime) -> list[Problem]:
        """Return the problems of the files that the settings refer to."""
        return []

    @classmethod
    def from_text(cls, text: str) -> Result[Self, Problems]:
        """Read settings from the text of a file."""
        cfg, problems = parse_ini(text)
        result = cls.from_config(cfg)
        if not problems:
            return result
        return Failure(problems + result.swap().value_or(()))

    @classmethod
    def from_config(cls, cfg: ConfigParser) -> Result[Self, Problems]:
        """Validate a parsed file and build the settings from it."""
        sections = sections_of(cls)
        known = [section.name for section in sections]
        problems = [
            unknown_section(name, known) for name in cfg.sections() if name not in known
        ]
        values: dict[str, Any] = {}
        for section in sections:
            raw = cfg[section.name] if cfg.has_section(section.name) else {}
            values[section.name] = _read_section(section, raw, problems)
        for check in cls.cross_checks:
            parts = [values[name] for name in check.sections]
            if None not in parts:
                problems += check.find_problems(*parts)
        return Failure(tuple(problems)) if problems else Success(cls(**values))


def _with_files_checked(
    cfg: ProgramSettings, now: datetime
) -> Result[ProgramSettings, Problems]:
    problems = cfg.check_files(now)
    return Failure(tuple(problems)) if problems else Success(cfg)


def parse_ini(text: str) -> tuple[ConfigParser, Problems]:
    """Parse INI text into sections; on errors, also return what could be parsed."""
    cfg = _parser(strict=True)
    try:
        cfg.read_string(text)
    except (DuplicateSectionError, DuplicateOptionError) as exc:
        cfg, others = _parse_lenient(text)
        return cfg, (_duplicate(exc), *others)
    except Error as exc:
        return cfg, _syntax_problems(exc)
    return cfg, ()


def _parse_lenient(text: str) -> tuple[ConfigParser, Problems]:
    cfg = _parser(strict=False)
    try:
        cfg.read_string(text)
    except Error as exc:
        return cfg, _syntax_problems(exc)
    return cfg, ()


def _parser(strict: bool) -> ConfigParser:
    cfg = ConfigParser(
        interpolation=None, strict=strict, default_section=NO_DEFAULT_SECTION
    )
    cfg.optionxform = str
    return cfg


def _duplicate(exc: DuplicateSectionError | DuplicateOptionError) -> Problem:
    key = getattr(exc, "option", "")
    what = "key" if key else "section"
    found = f"a duplicate {what} in line {exc.lineno}"
    return Problem(exc.section, key, found, f"each {what} once")


def _syntax_problems(exc: Error) -> Problems:
    allowed = "[section], key = value, or a comment that starts with #"
    if isinstance(exc, MissingSectionHeaderError):
        return (
            _file_problem(f"line {exc.lineno} before the first [section]", allowed),
        )
    if isinstance(exc, ParsingError):
        lines = [lineno for lineno, _ in exc.errors]
        return tuple(
            _file_problem(f"line {n}, which has invalid syntax", allowed) for n in lines
        )
    return (_file_problem(str(exc), allowed),)


def _file_problem(found: str, allowed: str) -> Problem:
    return Problem("", "", found, allowed)


def _read_section(
    section: Section, raw: Mapping[str, str], problems: list[Problem]
) -> Any:
    """Return the section, or None if problems were added to ``problems``."""
    before = len(problems)
    known = {key.name: key for key in section.keys}
    user_defined = section.user_defined
    values = {
        name: _read_key(section, key, raw.get(name), problems)
        for name, key in known.items()
    }
    others = {name: text for name, text in raw.items() if name not in known}
    if user_defined:
        values[user_defined.name] = _read_user_defined(
            section, user_defined, others, problems
        )
    else:
        problems += [unknown_key(section.name, name, known) for name in others]
    if len(problems) > before:
        return None
    parsed = section.section_class(**values)
    if isinstance(parsed, SupportsConsistencyCheck):
        problems += parsed.check_consistency()
    return parsed


def _read_key(
    section: Section, key: Key, text: str | None, problems: list[Problem]
) -> Any:
    if not text and key.default is not None:
        text = key.default
        if not text:
            return _empty_value(key)
    if not text:
        problems.append(Problem(section.name, key.name, "nothing", _allowed(key)))
        return None
    try:
        return key.type.parse(text)
    except ValueError:
        found = HIDDEN if key.is_sensitive(text) else _truncated_repr(text)
        problems.append(Problem(section.name, key.name, found, _allowed(key)))
        return None


def _empty_value(key: Key) -> Any:
    return None if key.secret else ""


def _read_user_defined(
    section: Section,
    user_defined: UserDefinedKeys,
    raw: Mapping[str, str],
    problems: list[Problem],
) -> tuple[Any, ...]:
    values = []
    for name, text in raw.items():
        try:
            values.append(user_defined.type.parse_named(name, text))
        except ValueError:
            found = _truncated_repr(text)
            problems.append(
                Problem(section.name, name, found, user_defined.type.allowed)
            )
    return tuple(values)


def _allowed(key: Key) -> str:
    unit = f" ({key.unit})" if key.unit else ""
    return key.type.allowed + unit


def _truncated_repr(text: str) -> str:
    if len(text) > MAX_SHOWN_CHARS:
        text = text[:MAX_SHOWN_CHARS] + "..."
    return repr(text)
