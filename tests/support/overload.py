"""Open-loop load on a simulated site: requests arrive whether or not others wait.

Two kinds of request arrive. Bulk requests use flows that stay open, and are sent
on a new flow if all others are busy; urgent ones open a flow each. Callers try a
refused request again, twice at most.
"""

from collections import Counter, defaultdict

from kumquatshift.direct import admission
from kumquatshift.direct.routes import Configuration, Route, ServiceLimits, Share
from kumquatshift.platform.packets import encode_destination
from kumquatshift.standins.direct_flows import Outcome
from tests.support.direct_site import DESTINATION, SERVICE, DirectSite

URGENT_DESTINATION = ("198.18.0.1", 8080)
BULK_OBJECTIVE_S = 0.15
URGENT_OBJECTIVE_S = 0.2
URGENT_SHARE = 0.22
WORK_S = 0.03
COLD_FLOWS_PER_S = 20.0
BACKOFF_S = 0.04
ACK_DELAY_S = 0.04
STEP_S = 0.002

# Time before the burst in which limits and flows settle.
WARM_UP_S = 1.0
SETTLE_S = 2.5


class OverloadedSite:
    """A site under open-loop load, with all requests by kind."""

    def __init__(self, entries, targets, seed=1):
        self.site = DirectSite(seed)
        self.site.cfg = _configuration()
        for domain in entries:
            self.site.add_entry(domain)
        for domain, count in targets.items():
            for number in range(count):
                target = self.site.add_target(
                    f"{domain}{number}", domain, work_s=WORK_S
                )
                target.sends_refusals = True
        self.requests = {"bulk": [], "urgent": []}
        self._bulk_callers = defaultdict(list)

    def capacity(self):
        """Return how many requests all targets can answer per second."""
        return sum(t.slots / t.work_s for t in self.site.targets.values())

    def without_admission(self):
        """Let all entries admit everything, as a baseline."""
        for entry in self.site.entries:
            entry.site.placement.admission = UnlimitedAdmission()

    def run(self, per_s, seconds, domain=None):
        """Let requests arrive for some seconds, and return those."""
        site, rng = self.site, self.site.rng
        before = {kind: len(each) for kind, each in self.requests.items()}
        end = site.clock.seconds() + seconds
        next_at = site.clock.seconds() + rng.expovariate(per_s)
        while site.clock.seconds() < end:
            while next_at <= site.clock.seconds():
                self._arrive(domain)
                next_at += rng.expovariate(per_s)
            site.clock.advance(STEP_S)
        return {kind: each[before[kind] :] for kind, each in self.requests.items()}

    def settle(self):
        """Let the last requests end."""
        self.site.run(SETTLE_S, STEP_S)

    def refusals(self):
        """Return how many flows the entries have refused."""
        return sum(sum(e.port.refusals.values()) for e in self.site.entries)

    def _arrive(self, domain):
        site = self.site
        domain = domain or site.rng.choice(sorted({e.domain for e in site.entries}))
        is_urgent = site.rng.random() < URGENT_SHARE
        kind = "urgent" if is_urgent else "bulk"
        if is_urgent:
            caller = self.add_caller(domain, URGENT_DESTINATION)
        else:
            caller = self._bulk_caller(domain)
        caller.ask(f"{kind[0]}{len(self.requests[kind])}".encode())
        self.requests[kind].append(caller.requests[-1])

    def _bulk_caller(self, domain):
        callers = self._bulk_callers[domain]
        idle = next((c for c in callers if _is_idle(c)), None)
        if idle is not None:
            return idle
        callers.append(self.add_caller(domain, DESTINATION))
        return callers[-1]

    def add_caller(self, domain, destination):
        """Add a caller whose packets arrive in a domain."""
        entries = [entry for entry in self.site.entries if entry.domain == domain]
        return self.site.add_caller(
            entries, destination, ack_delay_s=ACK_DELAY_S, backoff_s=BACKOFF_S
        )


class UnlimitedAdmission(admission.Admission):
    """Admits every flow in the own domain: placement without admission control."""

    def limit(self, service, domain):
        return _NoLimit()


class _NoLimit:
    limit = float("inf")

    def admits(self, in_progress, slots, demand):
        return True

    def note_answer(self, ratio, now):
        pass


# What changes in a site before a load arrives


def keep(site):
    """Change nothing."""


def slow_target(site):
    """Make one target take five times as long for each request."""
    next(iter(site.site.targets.values())).work_s *= 5


def crash_target(site):
    """End one target, which the store goes on to list for a second."""
    name = next(iter(site.site.reports))
    site.site.target(name).is_unresponsive = True
    site.site.clock.callLater(1.0, site.site.unlist, name)


def add_cold_targets(site):
    """Start a cold target in each domain."""
    for domain in ("a", "b"):
        _add_cold(site, f"{domain}-new", domain)


def replace_targets(site):
    """Replace the targets one by one, as a release does."""
    for number, (name, report) in enumerate(list(site.site.reports.items())):
        delay_s = 0.5 * number
        at = site.site.clock.callLater
        at(delay_s, _add_cold, site, f"{name}-new", report.domain)
        at(delay_s + 0.4, site.site.drain, name)


def open_idle_flows(site):
    """Open 400 flows that are used once and then stay open."""
    for number in range(400):
        caller = site.add_caller("ab"[number % 2], DESTINATION)
        caller.ask(f"i{number}".encode())
        site.site.run(0.01, STEP_S)


def kill_entries(site):
    """Kill every second entry."""
    for entry in site.site.entries[::2]:
        entry.is_up = False


def _add_cold(site, name, domain):
    target = site.site.add_target(name, domain, cold_s=1.0, work_s=WORK_S)
    target.sends_refusals = True


def in_time(requests):
    """Return how many requests were answered within their objective, by kind."""
    objectives = {"bulk": BULK_OBJECTIVE_S, "urgent": URGENT_OBJECTIVE_S}
    counts = Counter()
    for kind, objective_s in objectives.items():
        counts[kind] = sum(
            r.outcome is Outcome.ANSWERED and r.took_s <= objective_s
            for r in requests[kind]
        )
    return counts


def _is_idle(caller):
    return caller.requests[-1].outcome is not None


def _configuration():
    def route(name, destination, priority, objective_s):
        shares = (Share(SERVICE, 1),)
        packed = encode_destination(*destination)
        return Route(name, packed, shares, priority, objective_s)

    routes = (
        route("bulk", DESTINATION, 2, BULK_OBJECTIVE_S),
        route("urgent", URGENT_DESTINATION, 1, URGENT_OBJECTIVE_S),
    )
    return Configuration(
        1, routes, 15.0, (ServiceLimits(SERVICE, COLD_FLOWS_PER_S, 2000),)
    )
