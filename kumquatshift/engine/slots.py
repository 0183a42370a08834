"""Slots of the targets in reach: who gets one, who waits, who is refused."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median

from .allowance import LATENCY_GUESS_S, Allowance
from .objects import Priority, Profile, Target, TargetState
from .priority import Claim, ClaimQueue

QUEUE_PER_SLOT = 4
SERVICE_TIME_WEIGHT = 1 / 32
RESERVED_SHARE_MAX = 0.75

#: A slot comes free when no answer has come for the greater of these: a fixed
#: time, longer than it takes to notice a dead entry, and so many mean times.
LEASE_MIN_S = 3.0
LEASE_TIMES = 6.0

#: How many slots that came free early are remembered for a late answer.
OVERDUE_MAX = 10_000


class Outcome(StrEnum):
    """How a request that held a slot ended."""

    GOOD = "good"
    SHED = "shed"
    FAILED = "failed"
    LOST = "lost"
    CANCELLED = "cancelled"


class Rejection(StrEnum):
    """Why a claim gets no slot."""

    NO_TARGET = "no-target"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim has a slot of ``target``."""

    ticket: bytes
    target: str


@dataclass(frozen=True, slots=True)
class Waiting:
    """The claim waits; `SlotPool.tick` or a release decides it."""

    ticket: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The claim gets no slot; the backlog will be worked off in ``backlog_s``."""

    ticket: bytes
    reason: Rejection
    backlog_s: float


Verdict = Granted | Waiting | Rejected


@dataclass(slots=True)
class _Lease:
    claim: Claim
    target: str
    since: float


@dataclass(slots=True)
class _ServiceTimes:
    mean_s: float = LATENCY_GUESS_S
    samples: int = 0

    def learn(self, latency_s):
        self.samples += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self.samples)
        self.mean_s += weight * (latency_s - self.mean_s)


@dataclass
class SlotPool:
    """Gives out the slots of a set of targets to claims of several services.

    Targets that have the same host share its slots. Times are in seconds.
    ``cut_off`` names failure domains out of reach: their targets get nothing
    new, but for the later blocks of a transfer that one of them holds. One
    pool decides for its targets alone: two pools that hold the same target
    each count only what they gave out themselves.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    profiles: dict[str, Profile] = field(default_factory=dict)
    hosts: dict[str, Allowance] = field(default_factory=dict)
    queue: ClaimQueue = field(default_factory=ClaimQueue)
    cut_off: frozenset[str] = frozenset()
    _leases: dict[bytes, _Lease] = field(default_factory=dict)
    _overdue: dict[bytes, _Lease] = field(default_factory=dict)
    _heard_at: float = 0.0
    _times: dict[str, _ServiceTimes] = field(default_factory=dict)
    _members: dict[str, list[Target]] = field(default_factory=dict)
    _reserved: dict[str, dict[str, int]] = field(default_factory=dict)

    @classmethod
    def from_config(
        cls, profiles: dict[str, Profile], targets: Iterable[Target], now: float
    ) -> "SlotPool":
        """Make a pool; ``profiles`` gives the profile of each service by name."""
        pool = cls()
        pool.configure(profiles, targets, now)
        return pool

    def configure(
        self, profiles: dict[str, Profile], targets: Iterable[Target], now: float
    ):
        """Take another configuration; a host that is new starts cold."""
        self.profiles = dict(profiles)
        self.targets = {target.name: target for target in targets}
        ceilings = {}
        for target in self.targets.values():
            ceilings[target.host] = max(target.slots, ceilings.get(target.host, 1))
        for host, ceiling in ceilings.items():
            allowance = self.hosts.setdefault(host, Allowance(ceiling, since=now))
            allowance.ceiling = ceiling
            allowance.limit = min(allowance.limit, ceiling)
        busy = {self.targets.get(lease.target) for lease in self._leases.values()}
        kept = set(ceilings) | {target.host for target in busy if target}
        self.hosts = {host: self.hosts[host] for host in self.hosts if host in kept}
        self._members = {}
        for target in self.targets.values():
            self._members.setdefault(target.service, []).append(target)
        self._reserved = {host: self._reservations(host) for host in ceilings}

    def claim(self, claim: Claim, now: float, wait: bool = True) -> Verdict:
        """Give a slot at once, let the claim wait, or reject it at once.

        A claim is rejected when its queue is full, or when the backlog leaves
        no time to answer it before its deadline. With ``wait`` False it never
        waits.
        """
        target = self._choose(claim, now)
        if target is not None and not self._must_wait(claim):
            return self._grant(claim, target, now)
        if not self._candidates(claim):
            return self._reject(claim, Rejection.NO_TARGET)
        if not wait or self.queue.length(claim.priority) >= self._queue_limit(claim):
            return self._reject(claim, Rejection.QUEUE_FULL)
        mean_s = self._mean_s(claim.service)
        if now + self.wait_s(claim.service, claim.priority) + mean_s > claim.deadline:
            return self._reject(claim, Rejection.TOO_LATE)
        self.queue.push(claim)
        return Waiting(claim.ticket)

    def release(
        self, ticket: bytes, outcome: Outcome, now: float, max_age_s: float = 0.0
    ) -> list[Verdict]:
        """Give a slot back, and return what that decides for waiting claims."""
        lease = self._leases.pop(ticket, None)
        if lease is None:
            self._note_late(ticket, outcome, now)
            return []
        self._end(lease, outcome, now, max_age_s)
        return self._dispatch(now)

    def withdraw(self, claim: Claim) -> bool:
        """Take a waiting claim out; False when it does not wait."""
        return self.queue.remove(claim)

    def tick(self, now: float) -> list[Verdict]:
        """Reject the claims whose deadline has passed, and grant what can be."""
        self._end_overdue(now)
        rejected = [
            self._reject(claim, Rejection.EXPIRED)
            for claim in self.queue.pop_expired(now)
        ]
        return rejected + self._dispatch(now)

    def report(self, host: str, load: float, at: float):
        """Take the load (0 to 1) that a host's endpoint told at a time, as a hint."""
        if host in self.hosts:
            self.hosts[host].report(load, at)

    def renew(self, host: str, now: float):
        """Note that a host has started anew: it is cold."""
        if host in self.hosts:
            self.hosts[host].turn_cold(now)

    def limit_of(self, target: str) -> int:
        """Return how many requests a target may have in flight; 0 if unknown."""
        member = self.targets.get(target)
        return int(self.hosts[member.host].limit) if member else 0

    def learn(self, target: str, limit: int, now: float):
        """Take over what another entry allows a target, unless in use from here."""
        member = self.targets.get(target)
        if member is None or not limit or self.hosts[member.host].used:
            return
        self.hosts[member.host].learn(limit, now)

    def wait_s(self, service: str, priority: Priority) -> float:
        """Estimate how long a new claim of this priority would wait."""
        slots = self._slots(service)
        return self.queue.ahead_of(priority) * self._mean_s(service) / max(1, slots)

    def backlog_s(self, service: str) -> float:
        """Estimate how long all the present work of a service will take."""
        held = sum(self.hosts[host].used for host in self._hosts_of(service))
        work = len(self.queue) + held
        return work * self._mean_s(service) / max(1, self._slots(service))

    def load(self) -> float:
        """Return requests in flight and waiting, per slot."""
        held = sum(allowance.used for allowance in self.hosts.values())
        slots = sum(int(allowance.limit) for allowance in self.hosts.values())
        return (held + len(self.queue)) / max(1, slots)

    def _dispatch(self, now):
        verdicts = []
        while len(self.queue):
            claim = self.queue.pop(lambda each: self._choose(each, now) is not None)
            if claim is None:
                break
            verdicts.append(self._grant(claim, self._choose(claim, now), now))
        return verdicts

    def _choose(self, claim, now):
        free = [
            target
            for target in self._candidates(claim)
            if self._has_room(target, claim.service, now)
        ]
        if not free:
            return None
        return min(free, key=lambda target: self.hosts[target.host].rank(now))

    def _candidates(self, claim):
        if claim.pinned:
            pinned = self.targets.get(claim.pinned)
            return [pinned] if pinned else []
        return [
            target
            for target in self._members.get(claim.service, ())
            if target.state is TargetState.ADMITTED
            and target.name not in claim.avoid
            and target.domain not in self.cut_off
        ]

    def _has_room(self, target, service, now):
        allowance = self.hosts[target.host]
        return allowance.room(service, self._reserved[target.host], now)

    def _reservations(self, host):
        ceiling = self.hosts[host].ceiling
        reserved = {}
        for target in self.targets.values():
            profile = self.profiles.get(target.service)
            if target.host == host and profile and profile.reserved_share:
                share = min(RESERVED_SHARE_MAX, profile.reserved_share)
                reserved[target.service] = math.floor(share * ceiling)
        return reserved

    def _must_wait(self, claim):
        return any(
            other.service == claim.service and not other.pinned
            for other in self.queue
            if not claim.pinned
        )

    def _grant(self, claim, target, now):
        self.hosts[target.host].start(claim.service)
        self._leases[claim.ticket] = _Lease(claim, target.name, now)
        return Granted(claim.ticket, target.name)

    def _reject(self, claim, reason):
        return Rejected(claim.ticket, reason, self.backlog_s(claim.service))

    def _end(self, lease, outcome, now, max_age_s=0.0):
        target = self.targets.get(lease.target)
        if target is None or target.host not in self.hosts:
            return
        allowance = self.hosts[target.host]
        if outcome is Outcome.LOST:
            self._note_lost(lease, allowance, now)
        else:
            self._note(lease, allowance, outcome, now, max_age_s)

    def _note_lost(self, lease, allowance, now):
        """Tell whose fault a lost answer is.

        Not the target's if it has answered since; perhaps not the target's if
        no other one has either, since then packets may get lost on the way.
        """
        service = lease.claim.service
        if allowance.heard_at >= lease.since:
            allowance.cancelled(service, now)
        elif self._heard_at >= lease.since:
            allowance.lost(service, now)
        else:
            allowance.doubt(service, now)

    def _end_overdue(self, now):
        """Free the slots of requests that have been without an answer too long."""
        overdue = []
        for ticket, lease in self._leases.items():
            if now - lease.since < LEASE_MIN_S:
                break
            if now - lease.since >= self._lease_s(lease.claim.service):
                overdue.append(ticket)
        for ticket in overdue:
            lease = self._leases.pop(ticket)
            self._overdue[ticket] = lease
            self._end(lease, Outcome.LOST, now)
        while len(self._overdue) > OVERDUE_MAX:
            del self._overdue[next(iter(self._overdue))]

    def _note_late(self, ticket, outcome, now):
        """Learn from an answer that came after its slot was freed."""
        lease = self._overdue.pop(ticket, None)
        if lease is None or outcome is not Outcome.GOOD:
            return
        times = self._times.setdefault(lease.claim.service, _ServiceTimes())
        times.learn(now - lease.since)

    def _lease_s(self, service):
        return max(LEASE_MIN_S, LEASE_TIMES * self._mean_s(service))

    def _note(self, lease, allowance, outcome, now, max_age_s):
        if outcome in (Outcome.GOOD, Outcome.SHED, Outcome.FAILED):
            allowance.heard_at = self._heard_at = now
        service = lease.claim.service
        latency_s = now - lease.since
        if outcome is Outcome.GOOD:
            self._times.setdefault(service, _ServiceTimes()).learn(latency_s)
            allowance.good(service, latency_s, self._peers_s(allowance), now)
        elif outcome is Outcome.SHED:
            allowance.shed(service, max_age_s, now)
        elif outcome is Outcome.FAILED:
            allowance.failed(service, latency_s, now)
        else:
            allowance.cancelled(service, now)

    def _peers_s(self, allowance):
        warm = [
            other.latency_s
            for other in self.hosts.values()
            if other is not allowance and other.is_warm and other.latency_s
        ]
        return median(warm) if warm else 0.0

    def _queue_limit(self, claim):
        ceilings = [self.hosts[host].ceiling for host in self._hosts_of(claim.service)]
        return QUEUE_PER_SLOT * sum(ceilings)

    def _slots(self, service):
        return sum(int(self.hosts[host].limit) for host in self._hosts_of(service))

    def _hosts_of(self, service):
        return {target.host for target in self._members.get(service, ())}

    def _mean_s(self, service):
        times = self._times.get(service)
        return times.mean_s if times else LATENCY_GUESS_S
