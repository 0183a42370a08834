"""Problems of settings files, each reported with what is allowed instead."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

HIDDEN = "(hidden)"


@dataclass(frozen=True)
class Problem:
    """A problem at one place of a file; ``found`` never contains a secret.

    ``section`` and ``key`` are empty if the problem does not concern one of them::

        >>> print(Problem("entry", "packet_port", "'0'", "a port from 1 to 65535"))
        [entry] packet_port: found '0'; allowed: a port from 1 to 65535
    """

    section: str
    key: str
    found: str
    allowed: str

    def __str__(self):
        location = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{location}: found {self.found}; allowed: {self.allowed}"


def unknown_section(name: str, known: Iterable[str]) -> Problem:
    """Return the problem of a section that the program does not have."""
    names = [f"[{section}]" for section in known]
    return Problem(name, "", "an unknown section", _suggestion(f"[{name}]", names))


def unknown_key(section: str, name: str, known: Iterable[str]) -> Problem:
    """Return the problem of a key that the section does not have."""
    return Problem(section, name, "an unknown key", _suggestion(name, list(known)))


def _suggestion(name: str, known: list[str]) -> str:
    close = difflib.get_close_matches(name.lower(), known, n=1, cutoff=0.5)
    others = ", ".join(known)
    if not close:
        return others
    return f"{others} (did you mean {close[0]}?)"
