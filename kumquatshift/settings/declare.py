"""Declarations of sections and keys, as fields of data classes.

A section is a frozen data class whose fields are made by `key`; a program's
settings are a frozen data class whose fields are made by `section`. Reading,
validation, the sample files and the documentation are all derived from these
declarations.
"""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from .values import HexKey, Url, ValueType

DECLARATION = "declaration"


class NamedValueType(Protocol):
    """Parses one key with a user-chosen name; raises `ValueError` like `ValueType`."""

    allowed: str

    def parse_named(self, name: str, text: str) -> Any:
        """Return the value of the key ``name``."""
        ...


@dataclass(frozen=True)
class Key:
    """One key of a section.

    ``default`` is the text that is used if the key is absent, or None if the key
    is required. ``unit`` is empty for values without a unit. ``example``, if
    given, is shown in the sample file in place of the default.
    """

    name: str
    type: ValueType
    help: str
    default: str | None
    unit: str
    example: str

    @property
    def secret(self) -> bool:
        """Whether values of this key must never be printed."""
        return isinstance(self.type, HexKey)

    def is_sensitive(self, text: str) -> bool:
        """Whether this text must not be printed; a URL may contain a password."""
        return self.secret or (isinstance(self.type, Url) and "@" in text)


@dataclass(frozen=True)
class UserDefinedKeys:
    """Keys with user-chosen names, collected in one tuple.

    ``form`` is the syntax of a line; ``example`` is shown in the sample file.
    """

    name: str
    type: NamedValueType
    help: str
    form: str
    example: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Section:
    """One section of a program's file, and the data class that it is read into."""

    name: str
    section_class: type
    help: str

    @property
    def keys(self) -> tuple[Key, ...]:
        """The keys with fixed names."""
        return tuple(d for d in _declarations(self.section_class) if isinstance(d, Key))

    @property
    def user_defined(self) -> UserDefinedKeys | None:
        """The keys with user-chosen names, if the section allows them."""
        found = [
            d
            for d in _declarations(self.section_class)
            if isinstance(d, UserDefinedKeys)
        ]
        return found[0] if found else None


def key(
    type: ValueType,
    help: str,
    *,
    default: str | None = None,
    unit: str = "",
    example: str = "",
) -> Any:
    """Declare one key, named like the field."""
    declaration = Key("", type, help, default, unit, example)
    return dataclasses.field(metadata={DECLARATION: declaration})


def user_defined_keys(
    type: NamedValueType, help: str, form: str, *example: tuple[str, str]
) -> Any:
    """Declare that all other keys of the section are parsed by ``type``."""
    declaration = UserDefinedKeys("", type, help, form, example)
    return dataclasses.field(metadata={DECLARATION: declaration})


def section(section_class: type, help: str) -> Any:
    """Declare one section, named like the field."""
    declaration = Section("", section_class, help)
    return dataclasses.field(metadata={DECLARATION: declaration})


def sections_of(program: type) -> tuple[Section, ...]:
    """Return the sections of a program's settings in declaration order."""
    return tuple(_declarations(program))


def _declarations(cls: type) -> Iterator[Any]:
    for item in dataclasses.fields(cls):
        yield dataclasses.replace(item.metadata[DECLARATION], name=item.name)
