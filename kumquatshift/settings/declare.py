"""Declarations of sections and keys, as fields of data classes.

A section is a frozen data class whose fields are made by `key`; a program's
settings are a frozen data class whose fields are made by `section`. Reading,
checking, the sample files and the documentation all come from these.
"""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from .values import HexKey, Url, ValueType

DECLARATION = "declaration"


class NamedValueType(Protocol):
    """Reads one key whose name is free; raises `ValueError` like `ValueType`."""

    allowed: str

    def parse_named(self, name: str, text: str) -> Any:
        """Return the value of the key ``name``."""
        ...


@dataclass(frozen=True)
class Key:
    """One key of a section.

    ``default`` is the text that stands when the key is absent, None if it must
    be given. ``unit`` is empty for values without one. ``example`` is shown in
    the sample file in place of the default.
    """

    name: str
    type: ValueType
    help: str
    default: str | None
    unit: str
    example: str

    @property
    def secret(self) -> bool:
        """Whether no value may be printed."""
        return isinstance(self.type, HexKey)

    def hides(self, text: str) -> bool:
        """Whether this text must not be printed; a URL may hold a password."""
        return self.secret or (isinstance(self.type, Url) and "@" in text)


@dataclass(frozen=True)
class FreeKeys:
    """Keys whose names the user chooses, gathered in one tuple.

    ``form`` is how a line is written; ``example`` is shown in the sample file.
    """

    name: str
    type: NamedValueType
    help: str
    form: str
    example: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Section:
    """One section of a program's file, and the data class that it fills."""

    name: str
    form: type
    help: str

    @property
    def keys(self) -> tuple[Key, ...]:
        """The section's fixed keys."""
        return tuple(d for d in _declarations(self.form) if isinstance(d, Key))

    @property
    def free(self) -> FreeKeys | None:
        """The section's free keys, if it has them."""
        found = [d for d in _declarations(self.form) if isinstance(d, FreeKeys)]
        return found[0] if found else None


def key(
    type: ValueType,
    help: str,
    *,
    default: str | None = None,
    unit: str = "",
    example: str = "",
) -> Any:
    """Declare one key; the field's name is the key's."""
    declaration = Key("", type, help, default, unit, example)
    return dataclasses.field(metadata={DECLARATION: declaration})


def free_keys(
    type: NamedValueType, help: str, form: str, *example: tuple[str, str]
) -> Any:
    """Declare that the section's other keys are read by ``type``."""
    declaration = FreeKeys("", type, help, form, example)
    return dataclasses.field(metadata={DECLARATION: declaration})


def section(form: type, help: str) -> Any:
    """Declare one section; the field's name is the section's."""
    declaration = Section("", form, help)
    return dataclasses.field(metadata={DECLARATION: declaration})


def sections_of(program: type) -> tuple[Section, ...]:
    """Return the sections of a program's settings, in order."""
    return tuple(_declarations(program))


def _declarations(form: type) -> Iterator[Any]:
    for item in dataclasses.fields(form):
        yield dataclasses.replace(item.metadata[DECLARATION], name=item.name)
