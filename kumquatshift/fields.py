"""Validators of single fields, and the messages for invalid values."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from enum import StrEnum
from ipaddress import AddressValueError, IPv4Address
from typing import Protocol

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_TEXT_SHOWN = 60


@dataclass(frozen=True)
class FieldError:
    """One invalid field of an object, with the value found and what is allowed."""

    subject: str
    field: str
    found: str
    allowed: str

    def __str__(self):
        return f"{self.subject}: {self.field}: found {self.found}; {self.allowed}"


class Invalid(Exception):  # noqa: N818
    """A value is not allowed in its field."""


class Check(Protocol):
    """The validator of a field; ``allowed`` describes the valid values."""

    allowed: str

    def read(self, value: object) -> object:
        """Return the typed value; raises `Invalid` if it is not allowed."""
        ...

    def from_text(self, text: str) -> object:
        """Convert an INI value to the type that `read` expects."""
        ...


@dataclass(frozen=True)
class Number:
    """A finite number from ``low`` to ``high``, inclusive."""

    low: float
    high: float
    unit: str = ""

    @property
    def allowed(self):
        """Description of the range."""
        unit = f" {self.unit}" if self.unit else ""
        return f"allowed: a number from {self.low:g} to {self.high:g}{unit}"

    def read(self, value):
        """Return a float."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise Invalid
        # False for NaN as well; integers beyond the range of floats compare exactly.
        if not self.low <= value <= self.high:
            raise Invalid
        return float(value)

    def from_text(self, text):
        """Return a number, or the text itself if it is not a number."""
        try:
            return float(text)
        except ValueError:
            return text


@dataclass(frozen=True)
class Integer:
    """An integer from ``low`` to ``high``, inclusive."""

    low: int
    high: int

    @property
    def allowed(self):
        """Description of the range."""
        return f"allowed: a whole number from {self.low} to {self.high}"

    def read(self, value):
        """Return an int."""
        if isinstance(value, bool) or not isinstance(value, int):
            raise Invalid
        if not self.low <= value <= self.high:
            raise Invalid
        return value

    def from_text(self, text):
        """Return an integer, or the text itself if it is not an integer."""
        try:
            return int(text)
        except ValueError:
            return text


@dataclass(frozen=True)
class Choice:
    """One of the values of an enumeration."""

    words: type[StrEnum]

    @property
    def allowed(self):
        """Description of the values."""
        return "allowed: " + ", ".join(self.words)

    def read(self, value):
        """Return the member of the enumeration."""
        if not isinstance(value, str) or value not in list(self.words):
            raise Invalid
        return self.words(value)

    def from_text(self, text):
        """Return the text."""
        return text


@dataclass(frozen=True)
class Address:
    """A unicast IPv4 address."""

    allowed = "allowed: an IPv4 address such as 10.0.0.1"

    def read(self, value):
        """Return the address as text."""
        if not isinstance(value, str):
            raise Invalid
        try:
            address = IPv4Address(value)
        except AddressValueError as exc:
            raise Invalid from exc
        if address.is_multicast or address.is_unspecified or address.is_reserved:
            raise Invalid
        return value

    def from_text(self, text):
        """Return the text."""
        return text


@dataclass(frozen=True)
class Name:
    """The name of an object."""

    allowed = "allowed: 1 to 63 letters, digits, '-', '_' or '.', letter or digit first"

    def read(self, value):
        """Return the name."""
        if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
            raise Invalid
        return value

    def from_text(self, text):
        """Return the text."""
        return text


def format_value(value: object) -> str:
    """Return a value for an error message, truncated to a readable length."""
    text = repr(value)
    if len(text) <= MAX_TEXT_SHOWN:
        return text
    return text[:MAX_TEXT_SHOWN] + "..."


def suggest_nearest(word: str, known: Iterable[str]) -> str:
    """Return a hint with the known word that is most similar, or all of them."""
    known = sorted(str(one) for one in known)
    close = get_close_matches(word, known, n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return "known: " + ", ".join(known)
