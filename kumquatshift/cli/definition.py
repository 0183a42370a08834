"""The commands that `fire` offers; each only returns a request.

Fire calls a command before it has parsed all arguments. A command here therefore
has no side effects, so that a mistyped flag is detected before any write.
"""

import math

from ..engine.objects import DomainState, Kind, TargetState
from .constants import MAX_WAIT_S
from .requests import (
    ApplyRequest,
    ChangeOptions,
    CheckRequest,
    DiffRequest,
    DumpRequest,
    ExplainRequest,
    ListRequest,
    RemoveRequest,
    ShowRequest,
    StateRequest,
    StatusRequest,
    WaitRequest,
)


class UsageError(Exception):
    """An argument is not valid for its command."""


class _ObjectCommands:
    """Commands common to all kinds of objects."""

    def __init__(self, kind: Kind):
        self._kind = kind

    def list(self, *, json="False"):
        """List all objects of this kind.

        Args:
            json: print JSON instead of a table
        """
        return ListRequest(self._kind, read_switch("--json", json))

    def show(self, name, *, json="False"):
        """Show one object, in the format that `apply` accepts.

        Args:
            name: the object's name
            json: print JSON instead of INI
        """
        return ShowRequest(
            self._kind, read_text("--name", name), read_switch("--json", json)
        )

    def apply(self, file, *, wait="", dry_run="False", json="False"):
        """Create or change the objects of a file, which must all be of this kind.

        Args:
            file: INI or JSON; see docs/OPERATORS.md
            wait: seconds to wait until the change is in force at every entry
            dry_run: show what would change without changing anything
            json: print JSON
        """
        options = read_options(wait, dry_run, json)
        return ApplyRequest(read_text("--file", file), self._kind, options)

    def remove(self, name, *, wait="", dry_run="False", json="False"):
        """Delete one object that no other object refers to.

        Args:
            name: the object's name
            wait: seconds to wait until the change is in force at every entry
            dry_run: show what would change without changing anything
            json: print JSON
        """
        options = read_options(wait, dry_run, json)
        return RemoveRequest(self._kind, read_text("--name", name), options)

    def _set_state(self, name, state, wait, dry_run, json):
        options = read_options(wait, dry_run, json)
        return StateRequest(self._kind, read_text("--name", name), state, options)


class ProfileCommands(_ObjectCommands):
    """Traffic profiles: how the traffic of a service is treated."""


class ServiceCommands(_ObjectCommands):
    """Services: the addresses that callers use."""


class TargetCommands(_ObjectCommands):
    """Targets: the back ends of services."""

    def admit(self, name, *, wait="", dry_run="False", json="False"):
        """Send new work to a target, which starts cold.

        Args:
            name: the target
            wait: seconds to wait until the change is in force at every entry
            dry_run: show what would change without changing anything
            json: print JSON
        """
        return self._set_state(name, TargetState.ADMITTED, wait, dry_run, json)

    def retire(self, name, *, wait="", dry_run="False", json="False"):
        """Send no new work to a target; its open flows continue until they end.

        Args:
            name: the target
            wait: seconds to wait until the change is in force at every entry
            dry_run: show what would change without changing anything
            json: print JSON
        """
        return self._set_state(name, TargetState.RETIRED, wait, dry_run, json)


class DomainCommands(_ObjectCommands):
    """Failure domains, which operators take out and bring back."""

    def out(self, name, *, wait="", dry_run="False", json="False"):
        """Take a domain out: it gets no more packets, and its flows are dropped.

        Args:
            name: the domain
            wait: seconds to wait until the change is in force at every entry
            dry_run: show what would change without changing anything
            json: print JSON
        """
        return self._set_state(name, DomainState.OUT, wait, dry_run, json)

    def into(self, name, *, wait="", dry_run="False", json="False"):
        """Bring a domain back; its targets start cold. Also spelled `in`.

        Args:
            name: the domain
            wait: seconds to wait until the change is in force at every entry
            dry_run: show what would change without changing anything
            json: print JSON
        """
        return self._set_state(name, DomainState.IN, wait, dry_run, json)


# `in` is a Python keyword, so it cannot be the name of a method.
setattr(DomainCommands, "in", DomainCommands.into)


class Commands:
    """Operate a kumquatshift site through the platform's objects.

    Flags of every command: --settings FILE sets the INI settings file, and
    --platform URL overrides its platform URL. Exit statuses are listed in
    docs/OPERATORS.md.
    """

    def __init__(self):
        self.profile = ProfileCommands(Kind.PROFILE)
        self.service = ServiceCommands(Kind.SERVICE)
        self.target = TargetCommands(Kind.TARGET)
        self.domain = DomainCommands(Kind.DOMAIN)

    def apply(self, file, *, wait="", dry_run="False", json="False"):
        """Create or change all objects of a file; nothing is deleted.

        Args:
            file: INI or JSON; see docs/OPERATORS.md
            wait: seconds to wait until the change is in force at every entry
            dry_run: show what would change without changing anything
            json: print JSON
        """
        options = read_options(wait, dry_run, json)
        return ApplyRequest(read_text("--file", file), None, options)

    def diff(self, file, *, json="False"):
        """Compare a file with the platform; the exit status is 0 even if they differ.

        Args:
            file: INI or JSON; see docs/OPERATORS.md
            json: print JSON
        """
        return DiffRequest(read_text("--file", file), read_switch("--json", json))

    def status(self, *, json="False"):
        """Show domains, entries, targets, flows and versions in force.

        Args:
            json: print JSON instead of tables
        """
        return StatusRequest(read_switch("--json", json))

    def dump(self, entry):
        """Print the whole state of one entry as JSON.

        Args:
            entry: the name or IP address of the entry
        """
        return DumpRequest(read_text("--entry", entry))

    def check(self, settings):
        """Validate a settings file of kumquat-ctl and print every error.

        Args:
            settings: the INI file
        """
        return CheckRequest(read_text("--settings", settings))

    def explain(self, log, *, flow="", target="", second=""):
        """Explain failed flows from the logs of entries: one flow, or all of them.

        Args:
            log: a file with the log lines of one or more entries
            flow: a flow as written in the log, or its caller's address and port
            target: a target, to show what entries logged about it
            second: a time as in the log, to show all events of that second
        """
        words = {"--flow": flow, "--target": target}
        flow, target = (
            value and read_text(flag, value) for flag, value in words.items()
        )
        start_time = read_second(second) if second else None
        return ExplainRequest(read_text("--log", log), flow, target, start_time)

    def wait(self, seconds, *, json="False"):
        """Wait until the current configuration is in force at every reachable entry.

        Args:
            seconds: the maximum time to wait
            json: print JSON
        """
        return WaitRequest(read_wait(seconds), read_switch("--json", json))


def read_options(wait, dry_run, json) -> ChangeOptions:
    """Return the validated options of a change."""
    return ChangeOptions(
        dry_run=read_switch("--dry-run", dry_run),
        wait_s=read_wait(wait) if wait else None,
        as_json=read_switch("--json", json),
    )


def read_text(flag, value) -> str:
    """Return a text argument; fire passes True for a flag without a value."""
    if not isinstance(value, str):
        raise UsageError(f"{flag}: missing value; allowed: one value")
    return value


def read_switch(flag, value) -> bool:
    """Return whether a switch is set; it accepts no other value."""
    if value not in ("True", "False"):
        raise UsageError(f"{flag}: found {value!r}; allowed: no value")
    return value == "True"


def read_second(value) -> int:
    """Return a timestamp of a log, rounded down to a whole second."""
    try:
        return math.floor(float(read_text("--second", value)))
    except (ValueError, OverflowError):
        allowed = "allowed: a time as in the log, such as 1787660367.765"
        raise UsageError(f"--second: found {value!r}; {allowed}") from None


def read_wait(value) -> float:
    """Return the number of seconds to wait."""
    try:
        seconds = float(read_text("--wait", value))
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= MAX_WAIT_S:
        allowed = f"allowed: seconds, more than 0 and at most {MAX_WAIT_S:g}"
        raise UsageError(f"--wait: found {value!r}; {allowed}")
    return seconds
