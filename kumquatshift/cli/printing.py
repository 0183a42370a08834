"""Prints results as tables, INI or JSON, and errors with their remedy."""

import json
from collections.abc import Sequence
from dataclasses import asdict

from ..codec import object_to_json
from ..context import Environment
from ..engine.objects import Versioned
from ..errors import ERROR_CODES, Failure
from ..status import ExitStatus
from . import report
from .constants import PROGRAM
from .files import to_ini
from .outcomes import Outcome
from .waiting import WaitReport


class Printer:
    """Writes results to the standard streams of an environment."""

    def __init__(self, env: Environment):
        self._env = env

    def failure(self, failure: Failure) -> ExitStatus:
        """Print a failure and, on its own line, its remedy; return the exit status."""
        self._env.stderr.write(f"{PROGRAM}: {failure.kind}: {failure.message}\n")
        if failure.remedy:
            self._env.stderr.write(f"  remedy: {failure.remedy}\n")
        return ERROR_CODES[failure.kind].exit_status

    def notes(self, notes: Sequence[str]) -> None:
        """Print the notes on a change to the error stream."""
        for note in notes:
            self._env.stderr.write(f"{PROGRAM}: note: {note}\n")

    def objects(self, items: Sequence[Versioned], as_json: bool) -> None:
        """Print objects of one kind."""
        if as_json:
            self.json({"items": [object_to_json(obj) for obj in items]})
        else:
            self._write(report.object_table(items))

    def object(self, obj: Versioned, as_json: bool) -> None:
        """Print one object, in a format that `apply` accepts."""
        if as_json:
            self.json(object_to_json(obj))
        else:
            self._write(to_ini([obj]))

    def site(self, site: report.SiteReport, as_json: bool) -> None:
        """Print the state of the site."""
        if as_json:
            self.json(asdict(site))
        else:
            self._write(report.to_text(site))

    def changes(
        self, outcomes: Sequence[Outcome], waited: WaitReport | None, as_json: bool
    ) -> None:
        """Print the outcomes of changes and of the wait for them."""
        if as_json:
            wait = {} if waited is None else {"wait": asdict(waited)}
            self.json({"changes": [asdict(outcome) for outcome in outcomes], **wait})
            return
        if not outcomes:
            self._write("no differences\n")
        self._write("".join(f"{outcome}\n" for outcome in outcomes))
        if waited is not None:
            self.wait(waited, as_json)

    def wait(self, waited: WaitReport, as_json: bool) -> None:
        """Print the entries at which the versions are in force, and the others."""
        if as_json:
            self.json({"wait": asdict(waited)})
            return
        lines = [f"in force at {len(waited.in_force)} entries"]
        lines += [f"not in force: {late}" for late in waited.behind]
        lines += [f"out of reach: {name}" for name in waited.out_of_reach]
        if not waited.in_force and not waited.behind:
            lines.append("no entry is reachable; the change is stored at the platform")
        self._write("".join(f"{line}\n" for line in lines))

    def json(self, value: object) -> None:
        """Print a JSON value."""
        self._write(json.dumps(value, indent=2) + "\n")

    def _write(self, text):
        self._env.stdout.write(text)
