"""One mistake in a settings file, told with its remedy."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

HIDDEN = "(hidden)"


@dataclass(frozen=True)
class Problem:
    """What is wrong at one place of a file; ``found`` never holds a secret.

    ``section`` and ``key`` are empty when the fault is not at one of them::

        >>> print(Problem("entry", "packet_port", "'0'", "a port from 1 to 65535"))
        [entry] packet_port: found '0'; allowed: a port from 1 to 65535
    """

    section: str
    key: str
    found: str
    allowed: str

    def __str__(self):
        place = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{place}: found {self.found}; allowed: {self.allowed}"


def unknown_section(name: str, known: Iterable[str]) -> Problem:
    """Tell of a section that the program does not have."""
    names = [f"[{section}]" for section in known]
    return Problem(name, "", "an unknown section", _nearest(f"[{name}]", names))


def unknown_key(section: str, name: str, known: Iterable[str]) -> Problem:
    """Tell of a key that the section does not have."""
    return Problem(section, name, "an unknown key", _nearest(name, list(known)))


def _nearest(name: str, known: list[str]) -> str:
    close = difflib.get_close_matches(name.lower(), known, n=1, cutoff=0.5)
    others = ", ".join(known)
    if not close:
        return others
    return f"{others} (did you mean {close[0]}?)"
