"""Waiting until versions are in force at every entry in reach."""

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
    """A version that must be in force; ``gone`` for that of a deletion."""

    version: int
    deleted: bool = False

    def satisfied_by(self, found: int | None) -> bool:
        """Whether an entry that reports ``found`` has it in force."""
        if found is None:
            return self.deleted
        return found >= self.version


@dataclass(frozen=True)
class StaleVersion:
    """An entry in reach that still holds an older version."""

    entry: str
    subject: str
    found: int | None
    wanted: int

    def __str__(self):
        found = f"version {self.found}" if self.found else "nothing"
        return f"{self.entry} holds {found} of {self.subject}, not {self.wanted}"


@dataclass(frozen=True)
class WaitReport:
    """Where the versions are in force, where not, and who could not be asked."""

    in_force: tuple[str, ...] = ()
    behind: tuple[StaleVersion, ...] = ()
    out_of_reach: tuple[str, ...] = ()

    @property
    def status(self) -> ExitStatus:
        """The exit status that fits."""
        if self.behind:
            return ExitStatus.TIMEOUT
        return ExitStatus.SUCCESS if self.in_force else ExitStatus.UNAVAILABLE


def required_versions(objects: Sequence[Versioned]) -> dict[str, RequiredVersion]:
    """Return what must be in force for these objects to be."""
    return {
        subject(obj.kind, obj.name): RequiredVersion(obj.version, obj.body is None)
        for obj in objects
    }


def compare_versions(
    wanted: Mapping[str, RequiredVersion],
    answers: Mapping[str, Mapping[str, int] | None],
) -> WaitReport:
    """Return the report for one answer, or None, of each entry."""
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
    """Ask the entries until all in reach have the versions in force.

    An entry that gives no answer is asked three times in a row before the wait
    ends without it.
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
