"""Waits until versions are in force at every reachable entry."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from returns.pipeline import is_successful
from twisted.internet.task import deferLater

from ..codec import subject
from ..engine.objects import Versioned
from ..status import ExitStatus
from .entries import Entry, query_all

POLL_S = 0.25
MAX_CONSECUTIVE_MISSES = 3


@dataclass(frozen=True)
class RequiredVersion:
    """A version that must be in force; ``deleted`` if it deletes the object."""

    version: int
    deleted: bool = False

    def satisfied_by(self, found: int | None) -> bool:
        """Whether an entry that reports ``found`` has it in force."""
        if found is None:
            return self.deleted
        return found >= self.version


@dataclass(frozen=True)
class StaleVersion:
    """An older version that a reachable entry still holds."""

    entry: str
    subject: str
    found: int | None
    wanted: int

    def __str__(self):
        found = f"version {self.found}" if self.found else "nothing"
        return f"{self.entry} holds {found} of {self.subject}, expected {self.wanted}"


@dataclass(frozen=True)
class WaitReport:
    """Entries that have the versions in force, that have not, and the unreachable."""

    in_force: tuple[str, ...] = ()
    behind: tuple[StaleVersion, ...] = ()
    out_of_reach: tuple[str, ...] = ()

    @property
    def status(self) -> ExitStatus:
        """The exit status for this result."""
        if self.behind:
            return ExitStatus.TIMEOUT
        return ExitStatus.SUCCESS if self.in_force else ExitStatus.UNAVAILABLE


def required_versions(objects: Sequence[Versioned]) -> dict[str, RequiredVersion]:
    """Return the versions that must be in force, by subject."""
    return {
        subject(obj.kind, obj.name): RequiredVersion(obj.version, obj.body is None)
        for obj in objects
    }


def compare_versions(
    wanted: Mapping[str, RequiredVersion],
    answers: Mapping[str, Mapping[str, int] | None],
) -> WaitReport:
    """Return the report on one answer per entry, None for an entry without one."""
    in_force, behind, out = [], [], []
    for entry, found in sorted(answers.items()):
        if found is None:
            out.append(entry)
            continue
        late = [
            StaleVersion(entry, subject_name, found.get(subject_name), required.version)
            for subject_name, required in wanted.items()
            if not required.satisfied_by(found.get(subject_name))
        ]
        behind += late
        if not late:
            in_force.append(entry)
    return WaitReport(tuple(in_force), tuple(behind), tuple(out))


async def wait_in_force(
    entries: Sequence[Entry],
    wanted: Mapping[str, RequiredVersion],
    fetch: Callable[[Entry], object],
    clock,
    timeout_s: float,
    interrupted: Callable[[], bool] = lambda: False,
) -> WaitReport:
    """Poll the entries until all reachable ones have the versions in force.

    An entry that does not answer three times in a row counts as unreachable, and
    the wait ends without it.
    """
    deadline = clock.seconds() + timeout_s
    misses = dict.fromkeys([entry.name for entry in entries], 0)
    while True:
        answers = await query_all(entries, fetch)
        found = {
            name: answer.unwrap() if is_successful(answer) else None
            for name, answer in answers.items()
        }
        for name, versions in found.items():
            misses[name] = misses[name] + 1 if versions is None else 0
        report = compare_versions(wanted, found)
        misses_resolved = all(
            n == 0 or n >= MAX_CONSECUTIVE_MISSES for n in misses.values()
        )
        if misses_resolved and not report.behind:
            return report
        if interrupted() or clock.seconds() + POLL_S > deadline:
            return report
        await deferLater(clock, POLL_S)
