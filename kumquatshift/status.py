"""Exit statuses shared by all programs."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit status of a program."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    NOT_FOUND = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    TIMEOUT = 7
    REFUSED = 8
    INTERRUPTED = 130
