"""State of a site, collected from the platform and the entries."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Result
from tabulate import tabulate

from ..codec import subject
from ..engine.objects import Kind, Versioned
from ..errors import Failure
from ..platform_port import Listing
from .entries import Entry
from .waiting import compare_versions, required_versions

NO_ANSWER = "no answer"


@dataclass(frozen=True)
class DomainRow:
    """One failure domain; ``flows`` are those whose primary is one of its entries."""

    domain: str
    state: str
    entries: int
    in_reach: int
    targets: int
    flows: int


@dataclass(frozen=True)
class EntryRow:
    """One entry; ``behind`` counts the objects whose version is not yet in force."""

    entry: str
    domain: str
    address: str
    state: str
    held: int | None
    primary: int | None
    behind: int | None


@dataclass(frozen=True)
class TargetRow:
    """One target; ``share`` is its fraction of the work sent to its service.

    ``held`` counts the flow records of the target at all entries; a flow counts
    once for each entry that holds a copy.
    """

    target: str
    service: str
    domain: str
    state: str
    held: int
    sent: int
    share: float


@dataclass(frozen=True)
class SiteReport:
    """All rows, and the information that is missing."""

    version: int | None
    objects: int
    domains: tuple[DomainRow, ...]
    entries: tuple[EntryRow, ...]
    targets: tuple[TargetRow, ...]
    late: tuple[str, ...]
    missing: tuple[str, ...]


def build(
    listing: Result[Listing, Failure],
    entries: Sequence[Entry],
    answers: Mapping[str, Result[Mapping, Failure]],
) -> SiteReport:
    """Build the report from the platform's objects and the dumps of entries."""
    version, objects, missing = _read_listing(listing)
    failures = [one.failure() for one in answers.values() if not is_successful(one)]
    dumps = {name: answer.value_or(None) for name, answer in answers.items()}
    versions = {
        name: None if dump is None else dump.get("versions", {})
        for name, dump in dumps.items()
    }
    waiting = compare_versions(required_versions(objects), versions)
    behind = Counter(late.entry for late in waiting.behind)
    rows = [_entry_row(one, dumps[one.name], behind[one.name]) for one in entries]
    targets = _target_rows(objects, dumps.values())
    return SiteReport(
        version=version,
        objects=len(objects),
        domains=_domain_rows(objects, rows, targets),
        entries=tuple(rows),
        targets=targets,
        late=tuple(str(late) for late in waiting.behind),
        missing=tuple(missing + [str(failure) for failure in failures]),
    )


def to_text(report: SiteReport) -> str:
    """Return the report as tables."""
    parts = [
        _table("domains", report.domains),
        _table("entries", report.entries),
        _table("targets", report.targets),
    ]
    if report.version is not None:
        objects = f"{report.objects} objects at platform version {report.version}"
        parts.append(f"{objects}; versions not in force: {len(report.late)}")
    parts += [f"late: {line}" for line in report.late]
    parts += [f"missing: {line}" for line in report.missing]
    return "\n\n".join(parts[:3]) + "\n\n" + "\n".join(parts[3:]) + "\n"


def object_table(objects: Sequence[Versioned]) -> str:
    """Return a table of objects of one kind."""
    rows = [
        {"name": obj.name, **_columns(obj.body), "version": obj.version}
        for obj in sorted(objects, key=lambda obj: obj.name)
    ]
    return tabulate(rows, headers="keys") + "\n" if rows else "none\n"


def _table(title, rows):
    if not rows:
        return f"{title}: none"
    values = [_columns(row) for row in rows]
    text = tabulate(values, headers="keys", missingval="-", floatfmt=".3f")
    return text


def _columns(row):
    return {key: val for key, val in vars(row).items() if key != "name"}


def _entry_row(entry, dump, behind):
    if dump is None:
        empty = (None, None, None)
        return EntryRow(entry.name, entry.domain, entry.address, NO_ANSWER, *empty)
    flows = dump.get("flows", {})
    return EntryRow(
        dump.get("name", entry.name),
        dump.get("domain", entry.domain),
        entry.address,
        str(dump.get("state", "?")),
        flows.get("held"),
        flows.get("primary"),
        behind,
    )


def _target_rows(objects, dumps):
    held, sent = Counter(), Counter()
    for dump in dumps:
        for name, figures in (dump or {}).get("targets", {}).items():
            held[name] += figures.get("flows", 0)
            sent[name] += figures.get("sent", 0)
    bodies = [obj.body for obj in objects if obj.kind is Kind.TARGET]
    totals = Counter()
    for body in bodies:
        totals[body.service] += sent[body.name]
    return tuple(
        TargetRow(
            target=body.name,
            service=body.service,
            domain=body.domain,
            state=body.state.value,
            held=held[body.name],
            sent=sent[body.name],
            share=sent[body.name] / (totals[body.service] or 1),
        )
        for body in sorted(bodies, key=lambda body: (body.service, body.name))
    )


def _domain_rows(objects, entries, targets):
    bodies = [obj.body for obj in objects if obj.kind is Kind.DOMAIN]
    return tuple(
        DomainRow(
            domain=body.name,
            state=body.state.value,
            entries=sum(row.domain == body.name for row in entries),
            in_reach=sum(
                row.domain == body.name and row.state != NO_ANSWER for row in entries
            ),
            targets=sum(row.domain == body.name for row in targets),
            flows=sum(row.primary or 0 for row in entries if row.domain == body.name),
        )
        for body in sorted(bodies, key=lambda body: body.name)
    )


def _read_listing(listing):
    """Return the version, the objects, and messages on unreadable objects."""
    if not is_successful(listing):
        return None, (), [str(listing.failure())]
    found = listing.unwrap()
    missing = [
        f"{subject(*key)} cannot be read; this version of kumquat-ctl may be too old"
        for key in found.skipped
    ]
    return found.version, found.items, missing
