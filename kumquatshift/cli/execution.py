"""Doing what an operator asked for, and saying how it went."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from functools import partial, singledispatchmethod
from pathlib import Path

from returns import result
from returns.pipeline import is_successful
from returns.result import Result

from ..codec import object_to_json, subject
from ..context import Environment
from ..errors import ANSWERS, ErrorKind, Failure
from ..platform_port import Platform
from ..status import ExitStatus
from . import report
from .changes import Change, plan_apply, plan_remove, plan_state
from .constants import ENTRY_ROLE, PROGRAM, STDIN
from .entries import Entry, EntryClient, ask_all
from .files import read_objects, to_ini
from .requests import (
    ApplyRequest,
    ChangeOptions,
    DiffRequest,
    DumpRequest,
    ListRequest,
    RemoveRequest,
    ShowRequest,
    StateRequest,
    StatusRequest,
    WaitRequest,
)
from .waiting import WaitReport, Wish, wait_in_force, wishes
from .writer import Writer, new_operation

PAST = {"create": "created", "change": "changed", "remove": "removed", "keep": "kept"}
NOT_TRIED = "not written"


@dataclass(frozen=True)
class Outcome:
    """What became of one change; ``version`` is what stands if it is known."""

    subject: str
    result: str
    version: int | None = None
    operation: str = ""
    differences: tuple[str, ...] = ()
    answer_lost: bool = False

    def __str__(self):
        version = f" version {self.version}" if self.version else ""
        fields = "".join(f"\n    {line}" for line in self.differences)
        lost = "\n    (an answer was lost; reading back showed this)"
        return f"{self.result} {self.subject}{version}{fields}" + (
            lost if self.answer_lost else ""
        )


class Executor:
    """Runs one request; ``run`` returns the exit status and never raises."""

    def __init__(
        self,
        platform: Platform,
        entry_client: EntryClient,
        clock,
        env: Environment,
        fallback_entries: Sequence[str] = (),
    ):
        self._platform = platform
        self._entry_client = entry_client
        self._clock = clock
        self._env = env
        self._fallback = fallback_entries
        self._interrupted = False
        self._writer = Writer(platform, clock, partial(new_operation, env.variables))

    def interrupt(self) -> None:
        """Start no further write and end waits; a write that runs is finished."""
        self._interrupted = True

    async def run(self, request) -> ExitStatus:
        """Do it, print the answer, and tell a failure on the error stream."""
        answer = await self._do(request)
        if is_successful(answer):
            return answer.unwrap()
        return tell(answer.failure(), self._env)

    @singledispatchmethod
    async def _do(self, request) -> Result[ExitStatus, Failure]:
        raise TypeError(f"no such request: {request!r}")

    @_do.register
    async def _(self, request: ListRequest):
        listing = await self._platform.list_objects(request.kind)
        return listing.map(lambda found: self._print_list(found.items, request.as_json))

    @_do.register
    async def _(self, request: ShowRequest):
        found = await self._platform.read_object(request.kind, request.name)
        if not is_successful(found):
            return found
        obj = found.unwrap()
        if obj.body is None:
            return result.Failure(_removed(obj))
        text = _json(object_to_json(obj)) if request.as_json else to_ini([obj])
        return result.Success(self._print(text))

    @_do.register
    async def _(self, request: ApplyRequest):
        changes = await self._plan_file(request.path, request.kind)
        if not is_successful(changes):
            return changes
        return await self._change(changes.unwrap(), request.options)

    @_do.register
    async def _(self, request: DiffRequest):
        changes = await self._plan_file(request.path, None)
        if not is_successful(changes):
            return changes
        return self._print_plan(changes.unwrap(), request.as_json)

    @_do.register
    async def _(self, request: RemoveRequest):
        return await self._plan_and_change(
            plan_remove, (request.kind, request.name), request.options
        )

    @_do.register
    async def _(self, request: StateRequest):
        return await self._plan_and_change(
            plan_state, (request.kind, request.name, request.state), request.options
        )

    @_do.register
    async def _(self, request: StatusRequest):
        listing = await self._platform.list_objects()
        entries = await self._entries()
        missing = [str(one.failure()) for one in (listing, entries) if _failed(one)]
        if _failed(entries):
            return entries if _failed(listing) is False else listing
        version, objects = None, ()
        if not _failed(listing):
            found = listing.unwrap()
            version, objects = found.version, found.items
            missing += [report.missing_of(*key) for key in found.skipped]
        answers = await ask_all(entries.unwrap(), self._entry_client.dump)
        dumps = {key: None if _failed(a) else a.unwrap() for key, a in answers.items()}
        missing += [str(a.failure()) for a in answers.values() if _failed(a)]
        site = report.build(version, objects, entries.unwrap(), dumps, missing)
        if request.as_json:
            self._print(_json(asdict(site)))
        else:
            self._print(report.to_text(site))
        complete = not _failed(listing)
        status = ExitStatus.SUCCESS if complete else ExitStatus.UNAVAILABLE
        return result.Success(status)

    @_do.register
    async def _(self, request: DumpRequest):
        entries = await self._entries()
        if _failed(entries):
            return entries
        wanted = request.entry
        found = [e for e in entries.unwrap() if wanted in (e.name, e.address)]
        if not found:
            names = ", ".join(entry.name for entry in entries.unwrap()) or "none"
            failure = Failure(
                ErrorKind.NOT_FOUND, f"no entry {wanted!r} is listed", f"known: {names}"
            )
            return result.Failure(failure)
        dump = await self._entry_client.dump(found[0])
        return dump.map(lambda value: self._print(_json(value)))

    @_do.register
    async def _(self, request: WaitRequest):
        listing = await self._platform.list_objects()
        if _failed(listing):
            return listing
        wanted = wishes(listing.unwrap().items)
        waited = await self._wait(wanted, request.seconds)
        if _failed(waited):
            return waited
        if request.as_json:
            self._print(_json({"wait": _wait_json(waited.unwrap())}))
        else:
            self._print_wait(waited.unwrap())
        return result.Success(waited.unwrap().status)

    async def _plan_file(self, path, kind):
        text = self._read_file(path)
        if _failed(text):
            return text
        wanted = read_objects(text.unwrap(), kind)
        if _failed(wanted):
            return wanted
        listing = await self._platform.list_objects()
        return listing.bind(lambda found: plan_apply(found.items, wanted.unwrap()))

    async def _plan_and_change(self, plan, args, options):
        listing = await self._platform.list_objects()
        changes = listing.bind(lambda found: plan(found.items, *args))
        if _failed(changes):
            return changes
        return await self._change(changes.unwrap(), options)

    def _read_file(self, path):
        try:
            if path == STDIN:
                return result.Success(self._env.stdin.read())
            return result.Success(Path(path).read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as exc:
            remedy = "name an INI or JSON file of objects"
            failure = Failure(ErrorKind.BAD_INPUT, f"{path}: {exc}", remedy)
            return result.Failure(failure)

    async def _change(self, changes: Sequence[Change], options: ChangeOptions):
        if options.dry_run:
            return self._print_plan(changes, options.as_json)
        outcomes, failure = await self._write_all(changes)
        waited = None
        if failure is None and options.wait_s is not None:
            wanted = {
                change.subject: Wish(outcome.version, change.after is None)
                for change, outcome in zip(changes, outcomes, strict=True)
            }
            answer = await self._wait(wanted, options.wait_s)
            failure = answer.failure() if _failed(answer) else None
            waited = None if _failed(answer) else answer.unwrap()
        self._print_changes(outcomes, waited, options.as_json)
        if failure is not None:
            return result.Failure(failure)
        return result.Success(waited.status if waited else ExitStatus.SUCCESS)

    async def _write_all(self, changes):
        """Write one after the other up to the first failure."""
        outcomes, failure = [], None
        for change in changes:
            if failure is None and self._interrupted and change.action != "keep":
                failure = Failure(ErrorKind.UNAVAILABLE, "interrupted")
            if change.action == "keep":
                outcomes.append(_outcome(change, PAST["keep"], change.version))
            elif failure is not None:
                outcomes.append(_outcome(change, NOT_TRIED))
            else:
                outcome, failure = await self._write(change)
                outcomes.append(outcome)
        if failure is not None and len(changes) > 1:
            failure = _partial(failure, changes, outcomes)
        return outcomes, failure

    async def _write(self, change):
        answer = await self._writer.write(change)
        if _failed(answer):
            unknown = answer.failure().kind is ErrorKind.OUTCOME_UNKNOWN
            told = "perhaps written" if unknown else NOT_TRIED
            return _outcome(change, told), answer.failure()
        written = answer.unwrap()
        outcome = _outcome(
            change,
            PAST[change.action],
            written.version,
            written.operation,
            written.answer_lost,
        )
        return outcome, None

    async def _entries(self) -> Result[tuple[Entry, ...], Failure]:
        """Return the platform's entries, or those of the settings."""
        vms = await self._platform.list_vms()
        if _failed(vms) and self._fallback:
            return result.Success(tuple(Entry(one, "?", one) for one in self._fallback))
        return vms.map(
            lambda found: tuple(
                Entry(vm.name, vm.domain, vm.address, vm.state.value)
                for vm in sorted(found, key=lambda vm: vm.name)
                if vm.role == ENTRY_ROLE
            )
        )

    async def _wait(self, wanted, timeout_s):
        entries = await self._entries()
        if _failed(entries):
            return entries
        waited = await wait_in_force(
            entries.unwrap(),
            wanted,
            self._entry_client.versions,
            self._clock,
            timeout_s,
        )
        return result.Success(waited)

    def _print(self, text):
        self._env.stdout.write(text)
        return ExitStatus.SUCCESS

    def _print_list(self, items, as_json):
        if as_json:
            text = _json({"items": [object_to_json(obj) for obj in items]})
        else:
            text = report.object_table(items)
        return self._print(text)

    def _print_plan(self, changes, as_json):
        outcomes = [_would_be(one) for one in changes if one.action != "keep"]
        if not outcomes and not as_json:
            self._print("nothing differs\n")
        else:
            self._print_changes(outcomes, None, as_json)
        return result.Success(ExitStatus.SUCCESS)

    def _print_changes(self, outcomes, waited, as_json):
        if as_json:
            value = {"changes": [asdict(outcome) for outcome in outcomes]}
            if waited is not None:
                value["wait"] = _wait_json(waited)
            self._print(_json(value))
            return
        self._print("".join(f"{outcome}\n" for outcome in outcomes))
        if waited is not None:
            self._print_wait(waited)

    def _print_wait(self, waited: WaitReport):
        lines = [f"in force at {len(waited.in_force)} entries"]
        lines += [f"not in force: {late}" for late in waited.behind]
        lines += [f"out of reach: {name}" for name in waited.out_of_reach]
        if not waited.in_force and not waited.behind:
            lines.append("no entry is in reach; the change waits at the platform")
        self._print("".join(f"{line}\n" for line in lines))


def tell(failure: Failure, env: Environment) -> ExitStatus:
    """Print a failure, its remedy on a line of its own; return its exit status."""
    env.stderr.write(f"{PROGRAM}: {failure.kind}: {failure.message}\n")
    if failure.remedy:
        env.stderr.write(f"  remedy: {failure.remedy}\n")
    return ANSWERS[failure.kind].exit_status


def _failed(answer):
    return not is_successful(answer)


def _json(value):
    return json.dumps(value, indent=2) + "\n"


def _wait_json(waited):
    return asdict(waited)


def _removed(obj):
    text = f"{subject(obj.kind, obj.name)} does not exist; it was removed"
    text += f" as version {obj.version} by operation {obj.operation or 'unnamed'}"
    remedy = f"see the names with: {PROGRAM} {obj.kind} list"
    return Failure(ErrorKind.NOT_FOUND, text, remedy)


def _outcome(change, told, version=None, operation="", answer_lost=False):
    fields = tuple(str(diff) for diff in change.differences)
    if change.action == "remove":
        fields = ()
    return Outcome(change.subject, told, version, operation, fields, answer_lost)


def _would_be(change):
    return _outcome(change, f"would be {PAST[change.action]}:")


def _partial(failure, changes, outcomes):
    """Add to a failure midway which changes were written and which were not."""
    pairs = list(zip(changes, outcomes, strict=True))
    written = [change.subject for change, out in pairs if out.operation]
    unsure = [change.subject for change, out in pairs if out.result.startswith("perh")]
    left = [change.subject for change, out in pairs if out.result == NOT_TRIED]
    told = [f"written: {', '.join(written) or 'none'}"]
    if unsure:
        told.append(f"perhaps written: {', '.join(unsure)}")
    told.append(f"not written: {', '.join(left) or 'none'}")
    text = f"{failure.message}\n" + "; ".join(told)
    remedy = "run it again once mended: what stands already is kept"
    if failure.remedy:
        remedy = f"{failure.remedy}; {remedy}"
    return Failure(failure.kind, text, remedy)
