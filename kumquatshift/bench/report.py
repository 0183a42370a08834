"""Report of a run: its figures, broken rules and printed table."""

from collections import Counter
from collections.abc import Collection
from dataclasses import asdict, dataclass, field

from tabulate import tabulate

from ..settings.bench import BenchSection
from .site import SiteView
from .tally import (
    BrokenWatch,
    LostRequest,
    Tally,
    Unserved,
    latency_histogram,
    percentile_ms,
    record,
)

DOMAIN_OUT = "domain-out"
PERCENTILES = (50.0, 99.0)
RETURN_MARGIN_S = 5.0


@dataclass(frozen=True)
class Imbalance:
    """Load imbalance between the targets of one service.

    ``max_to_mean`` is the largest request count divided by the mean, and
    ``variation`` the coefficient of variation; they are 1 and 0 for an even load.
    """

    service: str
    max_to_mean: float
    variation: float

    @classmethod
    def from_counts(cls, service, counts):
        """Compute the imbalance from the request count of each target."""
        mean = sum(counts) / len(counts)
        if not mean:
            return cls(service, 1.0, 0.0)
        variance = sum((count - mean) ** 2 for count in counts) / len(counts)
        return cls(service, max(counts) / mean, variance**0.5 / mean)


@dataclass(frozen=True)
class ServiceLevel:
    """Service level during a period: share of requests answered, and latency."""

    requests: int
    answered_share: float
    p50_ms: float
    p99_ms: float

    @classmethod
    def around_moves(cls, tally, view):
        """Return the level while domains left and returned, None without requests."""
        latency = latency_histogram()
        for answer in tally.answers:
            if is_around_move(answer.sent_s, view):
                record(latency, answer.took_s)
        unserved = sum(
            is_around_move(req.sent_s, view) for req in (*tally.unserved, *tally.lost)
        )
        requests = latency.total_count + unserved
        if not requests:
            return None
        return cls(
            requests,
            latency.total_count / requests,
            *(percentile_ms(latency, percentile) for percentile in PERCENTILES),
        )

    def rows(self):
        """Return the rows for the printed table."""
        return [
            ("while a domain left and returned: requests", self.requests),
            ("  share answered", f"{self.answered_share:.4f}"),
            ("  p50 and p99, ms", f"{self.p50_ms:.1f} {self.p99_ms:.1f}"),
        ]


@dataclass(frozen=True)
class Report:
    """Figures of one run."""

    sent: int
    answered: int
    refused: int
    given_up: int
    unknown: int
    errors: dict[str, int]
    errors_otherwise: int
    wrong: int
    lost: int
    lost_in_domain_out: int
    watches_opened: int
    watches_not_opened: dict[str, int]
    watches_broken: dict[str, int]
    notifications: int
    p50_ms: float
    p99_ms: float
    duplicates_run: int
    overloads: dict[str, int]
    packets_after_out: int
    packets_after_out_all: int
    work_after_retired: int
    moves: ServiceLevel | None = None
    unserved: list[Unserved] = field(default_factory=list)
    unexplained: list[LostRequest | BrokenWatch] = field(default_factory=list)
    imbalance: list[Imbalance] = field(default_factory=list)
    targets_without_dump: list[str] = field(default_factory=list)

    def broken_rules(self):
        """Return the rules that were broken, with the number of violations."""
        surviving = sum(
            count for cause, count in self.watches_broken.items() if cause != DOMAIN_OUT
        )
        seen = {
            "wrong answers": self.wrong,
            "requests answered by an error, no domain moving": self.errors_otherwise,
            "requests of surviving domains lost": self.lost - self.lost_in_domain_out,
            "watches of surviving domains broken": surviving,
            "non-idempotent requests run more than once": self.duplicates_run,
            "packets to a domain that was out": self.packets_after_out,
            "requests run at a target that was retired": self.work_after_retired,
            "targets whose dump could not be read": len(self.targets_without_dump),
        }
        broken = [f"{count} {what}" for what, count in seen.items() if count]
        if not self.answered:
            broken.append("no request was answered")
        return broken

    def as_mapping(self):
        """Return the figures and the broken rules, ready for JSON."""
        return {**asdict(self), "broken_rules": self.broken_rules()}

    def table(self):
        """Return the printed table."""
        rows = [
            ("requests sent", self.sent),
            ("requests answered", self.answered),
            ("refusals (came back later)", self.refused),
            ("requests given up while refused", self.given_up),
            ("requests with outcome unknown", self.unknown),
            *((f"requests with {code}", n) for code, n in self.errors.items()),
            ("requests lost, domain taken out", self.lost_in_domain_out),
            ("requests lost, otherwise", self.lost - self.lost_in_domain_out),
            ("wrong answers", self.wrong),
            ("watches opened", self.watches_opened),
            *((f"watches {why}", n) for why, n in self.watches_not_opened.items()),
            *((f"watches broken, {why}", n) for why, n in self.watches_broken.items()),
            ("notifications", self.notifications),
            ("request time p50, ms", round(self.p50_ms, 1)),
            ("request time p99, ms", round(self.p99_ms, 1)),
            ("duplicates run", self.duplicates_run),
            *((f"overloads at targets of {n}", c) for n, c in self.overloads.items()),
            ("packets to domain while out", self.packets_after_out_all),
            ("packets to domain out, after grace", self.packets_after_out),
            ("requests to target retired, after grace", self.work_after_retired),
            *(self.moves.rows() if self.moves else ()),
            *(
                (
                    f"imbalance of {item.service}, max/mean and variation",
                    f"{item.max_to_mean:.2f} {item.variation:.2f}",
                )
                for item in self.imbalance
            ),
        ]
        return tabulate(rows, headers=("measure", "value"))


def make_report(
    tally: Tally,
    view: SiteView,
    dumps: dict,
    load: BenchSection,
    streams: Collection[str] = (),
):
    """Build the report from the data of callers, platform and targets.

    ``streams`` holds the names of the services over TCP.
    """
    lost = [
        req
        for req in tally.lost
        if not is_lost_in_domain_out(req, view, dumps, streams)
    ]
    broken = [it for it in tally.broken if watch_cause(it, view) != DOMAIN_OUT]
    return Report(
        sent=tally.total("sent"),
        answered=tally.total("answered"),
        refused=tally.total("refused"),
        given_up=tally.total("given-up"),
        unknown=tally.total("unknown"),
        errors=with_prefix(tally.counts, "error "),
        errors_otherwise=sum(
            not req.is_unknown and not is_around_move(req.sent_s, view)
            for req in tally.unserved
        ),
        wrong=len(tally.wrong),
        lost=len(tally.lost),
        lost_in_domain_out=len(tally.lost) - len(lost),
        watches_opened=tally.total("watches-opened"),
        watches_not_opened=with_prefix(tally.counts, "watch-"),
        watches_broken=dict(Counter(watch_cause(w, view) for w in tally.broken)),
        notifications=tally.total("notifications"),
        p50_ms=percentile_ms(tally.latency, PERCENTILES[0]),
        p99_ms=percentile_ms(tally.latency, PERCENTILES[1]),
        duplicates_run=count_duplicates(dumps.values(), load.seed),
        overloads=count_overloads(dumps.values()),
        packets_after_out=count_after_out(view, dumps, load.out_grace_s),
        packets_after_out_all=count_after_out(view, dumps, 0.0),
        work_after_retired=count_after_retired(view, dumps, load.out_grace_s, streams),
        moves=ServiceLevel.around_moves(tally, view),
        unserved=tally.unserved,
        unexplained=[*lost, *broken],
        imbalance=find_imbalance(dumps.values(), load.seed),
        targets_without_dump=sorted(set(view.targets) - set(dumps)),
    )


def with_prefix(counts, prefix):
    """Sum the counts whose name starts with ``prefix``, keyed by the remainder."""
    found = Counter()
    for (name, _), count in counts.items():
        if name.startswith(prefix):
            found[name.removeprefix(prefix)] += count
    return dict(found)


def watch_cause(broken, view):
    """Return why a watch broke; its domain being out takes precedence."""
    if view.was_out(broken.target, broken.last_heard_s, broken.broken_s):
        return DOMAIN_OUT
    return broken.cause


def is_lost_in_domain_out(req, view, dumps, streams):
    """Return whether a request was lost while the domain of its target was out.

    The target is any that ran the request and, for services in ``streams``, also
    the target of the connection.
    """
    names = [
        name
        for name, dump in dumps.items()
        if req.ident in dump["posts"] or req.ident in dump["gets"]
    ]
    if req.service in streams:
        names.append(req.target)
    return any(view.was_out(name, req.sent_s, req.lost_s) for name in names)


def count_overloads(dumps):
    """Count the requests that targets refused due to overload, by service."""
    found = Counter()
    for dump in dumps:
        found[dump["service"]] += dump["counters"].get("overload", 0)
    return dict(sorted(found.items()))


def count_duplicates(dumps, seed):
    """Count duplicate executions of the non-idempotent requests of this run."""
    runs = Counter()
    for dump in dumps:
        runs.update(of_this_run(dump["posts"], seed))
    return sum(count - 1 for count in runs.values())


def of_this_run(idents, seed):
    """Return the counts, by id, of requests of the run with ``seed``."""
    return {i: n for i, n in idents.items() if i.startswith(f"{seed}-")}


def count_after_out(view, dumps, grace_s):
    """Count the packets that targets received while their domain was out.

    Packets within the first ``grace_s`` seconds of each outage are not counted.
    """
    return sum(
        outage.since_s + grace_s < time_s < outage.until_s
        for outage in view.outages
        for name, dump in dumps.items()
        if view.targets[name].domain == outage.domain
        for time_s, _, _ in dump["arrivals"]
    )


def count_after_retired(view, dumps, grace_s, streams):
    """Count the requests that ran at a target after it was retired.

    Requests within the first ``grace_s`` seconds are not counted, nor are those of
    services over TCP, as connections stay on their target until they end.
    """
    return sum(
        retired_s + grace_s < time_s
        for name, retired_s in view.retired_s.items()
        if name in dumps and view.targets[name].service not in streams
        for time_s in dumps[name]["run_times_s"]
    )


def is_around_move(time_s, view):
    """Return whether a domain was leaving, out or just returned at ``time_s``."""
    return any(
        outage.after_s <= time_s <= outage.until_s + RETURN_MARGIN_S
        for outage in view.outages
    )


def find_imbalance(dumps, seed):
    """Return, for each service, the imbalance of requests run at its targets."""
    counts = {}
    for dump in dumps:
        run = [of_this_run(dump[kind], seed) for kind in ("posts", "gets")]
        total = sum(sum(idents.values()) for idents in run)
        counts.setdefault(dump["service"], []).append(total)
    return [Imbalance.from_counts(*item) for item in sorted(counts.items())]
