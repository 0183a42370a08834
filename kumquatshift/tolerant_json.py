"""JSON of which single values cannot be read, as another writer may have left them.

A list of objects must not be lost because one of them is nested deeper than the decoder
goes, has a number of thousands of digits, or bytes that are not UTF-8. Such values are
replaced by ones that no valid object has, so that the rest can be used.
"""

from __future__ import annotations

import json
import math
import re

# Far deeper than any value of the platform or of the own interface, and than the
# lists in which these come.
MAX_DEPTH = 32
MAX_DOCUMENT_DEPTH = 64

_STRING_OR_BRACKET = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def loads(data: bytes) -> tuple[object, bool]:
    """Decode JSON; also return whether all of it is sound.

    If not, `is_sound` tells which values are::

        >>> loads(b'[1, 2]')
        ([1, 2], True)
        >>> value, is_all_sound = loads(b'["x", "\\xff"]')
        >>> is_all_sound, [is_sound(each) for each in value]
        (False, [True, False])

    Raises `ValueError` if the data is not JSON otherwise.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        pass
    else:
        if not _is_deeper(value, MAX_DOCUMENT_DEPTH):
            return value, True
    # Bytes that are not UTF-8 become lone surrogates, which UTF-8 cannot encode.
    text = data.decode(errors="surrogateescape")
    return json.loads(_prune(text), parse_int=_integer), False


def is_sound(value: object) -> bool:
    """Return whether a decoded value has neither unreadable text nor deep nesting."""
    level = [value]
    for _ in range(MAX_DEPTH):
        if not all(_is_readable(each) for each in level):
            return False
        level = _children(level)
    return not level


def _is_deeper(value: object, depth: int) -> bool:
    """Return whether lists and objects are nested deeper than ``depth``."""
    level = [value] if isinstance(value, (dict, list)) else []
    for _ in range(depth):
        if not level:
            return False
        level = [
            child
            for each in level
            for child in (each.values() if isinstance(each, dict) else each)
            if isinstance(child, (dict, list))
        ]
    return bool(level)


def _children(values: list[object]) -> list[object]:
    """Return the items of all lists, and the keys and values of all objects."""
    found: list[object] = []
    for value in values:
        if isinstance(value, dict):
            found += value.keys()
            found += value.values()
        elif isinstance(value, list):
            found += value
    return found


def _is_readable(value: object) -> bool:
    if isinstance(value, float):
        return math.isfinite(value)
    if not isinstance(value, str) or value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _prune(text: str) -> str:
    """Empty all lists and objects that are nested deeper than `MAX_DOCUMENT_DEPTH`.

    One more level is kept, by which `is_sound` recognises their place.
    """
    kept, kept_from, depth = [], 0, 0
    for match in _STRING_OR_BRACKET.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_DOCUMENT_DEPTH + 1:
                kept.append(text[kept_from : match.end()])
        elif token in "]}":
            if depth == MAX_DOCUMENT_DEPTH + 1:
                kept_from = match.start()
            depth -= 1
    kept.append(text[kept_from:])
    return "".join(kept)


def _integer(digits: str) -> float:
    """Convert an integer; one of thousands of digits becomes infinite."""
    try:
        return int(digits)
    except ValueError:
        return math.inf
