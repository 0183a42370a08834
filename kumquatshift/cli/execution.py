"""Executes the requests of operators."""

from collections.abc import Sequence
from functools import partial, singledispatchmethod
from pathlib import Path

from returns import result
from returns.pipeline import is_successful
from returns.result import Result

from ..codec import subject
from ..context import Environment
from ..errors import ErrorKind, Failure
from ..platform_port import Platform
from ..status import ExitStatus
from . import outcomes, report
from .changes import Plan, plan_apply, plan_remove, plan_state_change
from .constants import ENTRY_ROLE, PROGRAM, STDIN
from .entries import Entry, EntryClient, query_all
from .files import read_objects
from .printing import Printer
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
from .waiting import RequiredVersion, required_versions, wait_in_force
from .writer import Writer, new_operation

EXIT_SUCCESS = result.Success(ExitStatus.SUCCESS)


class Executor:
    """Runs one request and prints its result."""

    def __init__(
        self,
        platform: Platform,
        entry_client: EntryClient,
        clock,
        env: Environment,
        fallback_entries: Sequence[Entry] = (),
    ):
        self._platform = platform
        self._entry_client = entry_client
        self._clock = clock
        self._stdin = env.stdin
        self._printer = Printer(env)
        self._fallback = tuple(fallback_entries)
        self._interrupted = False
        self._writer = Writer(platform, clock, partial(new_operation, env.variables))

    def interrupt(self) -> None:
        """Start no further writes and end waits; a write in progress is completed."""
        self._interrupted = True

    async def run(self, request) -> ExitStatus:
        """Execute a request; print its result, or its failure on the error stream."""
        answer = await self._dispatch(request)
        if is_successful(answer):
            return answer.unwrap()
        return self._printer.failure(answer.failure())

    @singledispatchmethod
    async def _dispatch(self, request) -> Result[ExitStatus, Failure]:
        raise TypeError(f"unsupported request: {request!r}")

    @_dispatch.register
    async def _(self, request: ListRequest):
        listing = await self._platform.list_objects(request.kind)
        if _failed(listing):
            return listing
        self._printer.objects(listing.unwrap().items, request.as_json)
        return EXIT_SUCCESS

    @_dispatch.register
    async def _(self, request: ShowRequest):
        found = await self._platform.read_object(request.kind, request.name)
        if _failed(found):
            return found
        if found.unwrap().body is None:
            return result.Failure(_removed_failure(found.unwrap()))
        self._printer.object(found.unwrap(), request.as_json)
        return EXIT_SUCCESS

    @_dispatch.register
    async def _(self, request: ApplyRequest):
        plan = await self._plan_file(request.path, request.kind)
        if _failed(plan):
            return plan
        return await self._apply_plan(plan.unwrap(), request.options)

    @_dispatch.register
    async def _(self, request: DiffRequest):
        plan = await self._plan_file(request.path, None)
        if _failed(plan):
            return plan
        return self._print_plan(plan.unwrap(), request.as_json)

    @_dispatch.register
    async def _(self, request: RemoveRequest):
        return await self._plan_and_change(
            plan_remove, (request.kind, request.name), request.options
        )

    @_dispatch.register
    async def _(self, request: StateRequest):
        return await self._plan_and_change(
            plan_state_change,
            (request.kind, request.name, request.state),
            request.options,
        )

    @_dispatch.register
    async def _(self, request: StatusRequest):
        listing = await self._platform.list_objects()
        entries = await self._entries()
        if _failed(entries):
            return listing if _failed(listing) else entries
        dumps = await query_all(entries.unwrap(), self._entry_client.dump)
        site = report.build(listing, entries.unwrap(), dumps)
        self._printer.site(site, request.as_json)
        if _failed(listing):
            return result.Success(ExitStatus.UNAVAILABLE)
        return EXIT_SUCCESS

    @_dispatch.register
    async def _(self, request: DumpRequest):
        entries = await self._entries()
        if _failed(entries):
            return entries
        entry = _find_entry(entries.unwrap(), request.entry)
        if _failed(entry):
            return entry
        dump = await self._entry_client.dump(entry.unwrap())
        if _failed(dump):
            return dump
        self._printer.json(dump.unwrap())
        return EXIT_SUCCESS

    @_dispatch.register
    async def _(self, request: WaitRequest):
        listing = await self._platform.list_objects()
        if _failed(listing):
            return listing
        wanted = required_versions(listing.unwrap().items)
        waited = await self._wait(wanted, request.seconds)
        if _failed(waited):
            return waited
        self._printer.wait(waited.unwrap(), request.as_json)
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

    async def _plan_and_change(self, make_plan, args, options):
        listing = await self._platform.list_objects()
        plan = listing.bind(lambda found: make_plan(found.items, *args))
        if _failed(plan):
            return plan
        return await self._apply_plan(plan.unwrap(), options)

    def _read_file(self, path):
        try:
            if path == STDIN:
                return result.Success(self._stdin.read())
            return result.Success(Path(path).read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as exc:
            remedy = "give an INI or JSON file of objects"
            failure = Failure(ErrorKind.BAD_INPUT, f"{path}: {exc}", remedy)
            return result.Failure(failure)

    async def _apply_plan(self, plan: Plan, options: ChangeOptions):
        if options.dry_run:
            return self._print_plan(plan, options.as_json)
        self._printer.notes(plan.notes)
        changes = plan.changes
        done, failure = await self._write_all(changes)
        waited = None
        if failure is None and options.wait_s is not None:
            wanted = {
                change.subject: RequiredVersion(outcome.version, change.after is None)
                for change, outcome in zip(changes, done, strict=True)
            }
            answer = await self._wait(wanted, options.wait_s)
            failure = answer.failure() if _failed(answer) else None
            waited = None if _failed(answer) else answer.unwrap()
        self._printer.changes(done, waited, options.as_json)
        if failure is not None:
            return result.Failure(failure)
        return result.Success(waited.status if waited else ExitStatus.SUCCESS)

    def _print_plan(self, plan, as_json):
        self._printer.notes(plan.notes)
        changes = [one for one in plan.changes if one.action != "keep"]
        planned = [outcomes.planned(change) for change in changes]
        self._printer.changes(planned, None, as_json)
        return EXIT_SUCCESS

    async def _write_all(self, changes):
        """Write the changes one by one until the first failure."""
        done, failure = [], None
        for change in changes:
            if change.action == "keep":
                done.append(outcomes.kept(change))
                continue
            if failure is None and self._interrupted:
                failure = Failure(ErrorKind.UNAVAILABLE, "interrupted")
            if failure is not None:
                done.append(outcomes.not_written(change))
                continue
            answer = await self._writer.write(change)
            if _failed(answer):
                failure = answer.failure()
                done.append(outcomes.not_written(change, failure))
            else:
                done.append(outcomes.written(change, answer.unwrap()))
        if failure is not None and len(changes) > 1:
            failure = outcomes.partial(failure, done)
        return done, failure

    async def _entries(self) -> Result[tuple[Entry, ...], Failure]:
        """Return the entries listed by the platform, or else those of the settings."""
        vms = await self._platform.list_vms()
        if _failed(vms) and self._fallback:
            return result.Success(self._fallback)
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
            lambda: self._interrupted,
        )
        return result.Success(waited)


def _failed(answer):
    return not is_successful(answer)


def _find_entry(entries, wanted):
    for entry in entries:
        if wanted in (entry.name, entry.address):
            return result.Success(entry)
    names = ", ".join(entry.name for entry in entries) or "none"
    text = f"no entry {wanted!r} is listed"
    return result.Failure(Failure(ErrorKind.NOT_FOUND, text, f"known entries: {names}"))


def _removed_failure(obj):
    text = f"{subject(obj.kind, obj.name)} does not exist; it was removed"
    text += f" as version {obj.version} by operation {obj.operation or 'unnamed'}"
    remedy = f"list the names with: {PROGRAM} {obj.kind} list"
    return Failure(ErrorKind.NOT_FOUND, text, remedy)
