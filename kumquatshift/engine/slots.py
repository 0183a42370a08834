"""Admission control: grants the slots of targets to requests.

A slot allows one request in flight at a target. A request that wants one makes
a `Claim`, which is granted, queued or rejected.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median

from .concurrency_limiter import DEFAULT_LATENCY_S, ConcurrencyLimiter
from .objects import Priority, Profile, Target, TargetState
from .priority import Claim, ClaimQueue

QUEUED_CLAIMS_PER_SLOT = 4
SERVICE_TIME_WEIGHT = 1 / 32
RESERVED_SHARE_MAX = 0.75

#: A slot is freed without an answer after `LEASE_MIN_S` or `LEASE_SERVICE_TIMES`
#: mean service times, whichever is longer. The minimum exceeds the time that it
#: takes to detect a failed entry.
LEASE_MIN_S = 3.0
LEASE_SERVICE_TIMES = 6.0

#: Number of expired leases kept, so that late answers still count as latencies.
MAX_EXPIRED_LEASES = 10_000


class Outcome(StrEnum):
    """Outcome of a request that held a slot."""

    GOOD = "good"
    SHED = "shed"
    FAILED = "failed"
    LOST = "lost"
    CANCELLED = "cancelled"


class Rejection(StrEnum):
    """Reason for which a claim was rejected."""

    NO_TARGET = "no-target"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim was granted a slot of ``target``."""

    claim_id: bytes
    target: str


@dataclass(frozen=True, slots=True)
class Waiting:
    """The claim is queued; a later `SlotPool.tick` or a release decides it."""

    claim_id: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The claim was rejected; ``backlog_s`` estimates the time to clear the backlog."""

    claim_id: bytes
    reason: Rejection
    backlog_s: float


Verdict = Granted | Waiting | Rejected


@dataclass(slots=True)
class _Lease:
    claim: Claim
    target: str
    since: float


@dataclass(slots=True)
class _MeanServiceTime:
    mean_s: float = DEFAULT_LATENCY_S
    samples: int = 0

    def learn(self, latency_s):
        self.samples += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self.samples)
        self.mean_s += weight * (latency_s - self.mean_s)


@dataclass
class SlotPool:
    """Grants the slots of a set of targets to the claims of several services.

    Targets with the same host share its slots. Times are in seconds. Targets in
    ``unreachable_domains`` get no new work, except the later blocks of a block-wise
    transfer that already goes to one of them. A pool counts only the slots that it
    granted itself, so two pools with the same target don't see each other's requests.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    profiles: dict[str, Profile] = field(default_factory=dict)
    hosts: dict[str, ConcurrencyLimiter] = field(default_factory=dict)
    queue: ClaimQueue = field(default_factory=ClaimQueue)
    unreachable_domains: frozenset[str] = frozenset()
    _leases: dict[bytes, _Lease] = field(default_factory=dict)
    _expired_leases: dict[bytes, _Lease] = field(default_factory=dict)
    _last_answer_at: float = 0.0
    _service_times: dict[str, _MeanServiceTime] = field(default_factory=dict)
    _service_targets: dict[str, list[Target]] = field(default_factory=dict)
    _reserved: dict[str, dict[str, int]] = field(default_factory=dict)

    @classmethod
    def from_config(
        cls, profiles: dict[str, Profile], targets: Iterable[Target], now: float
    ) -> "SlotPool":
        """Create a pool; ``profiles`` maps service names to profiles."""
        pool = cls()
        pool.configure(profiles, targets, now)
        return pool

    def configure(
        self, profiles: dict[str, Profile], targets: Iterable[Target], now: float
    ):
        """Apply a new configuration; hosts that it adds start cold."""
        self.profiles = dict(profiles)
        self.targets = {target.name: target for target in targets}
        ceilings = {}
        for target in self.targets.values():
            ceilings[target.host] = max(target.slots, ceilings.get(target.host, 1))
        for host, ceiling in ceilings.items():
            limiter = self.hosts.setdefault(
                host, ConcurrencyLimiter(ceiling, since=now)
            )
            limiter.ceiling = ceiling
            limiter.limit = min(limiter.limit, ceiling)
        busy = {self.targets.get(lease.target) for lease in self._leases.values()}
        kept = set(ceilings) | {target.host for target in busy if target}
        self.hosts = {host: self.hosts[host] for host in self.hosts if host in kept}
        self._service_targets = {}
        for target in self.targets.values():
            self._service_targets.setdefault(target.service, []).append(target)
        self._reserved = {host: self._reservations(host) for host in ceilings}

    def claim(self, claim: Claim, now: float, wait: bool = True) -> Verdict:
        """Grant a slot, queue the claim, or reject it.

        A claim is rejected when its queue is full, or when the estimated wait
        leaves no time to answer it before its deadline. With ``wait`` False it
        is rejected instead of queued.
        """
        target = self._choose_target(claim, now)
        if target is not None and not self._must_wait(claim):
            return self._grant(claim, target, now)
        if not self._candidates(claim):
            return self._reject(claim, Rejection.NO_TARGET)
        if not wait or self.queue.length(claim.priority) >= self._queue_limit(claim):
            return self._reject(claim, Rejection.QUEUE_FULL)
        mean_s = self._mean_service_s(claim.service)
        if now + self.wait_s(claim.service, claim.priority) + mean_s > claim.deadline:
            return self._reject(claim, Rejection.TOO_LATE)
        self.queue.push(claim)
        return Waiting(claim.claim_id)

    def release(
        self, claim_id: bytes, outcome: Outcome, now: float, max_age_s: float = 0.0
    ) -> list[Verdict]:
        """Release a slot, and return the verdicts on queued claims that follow."""
        lease = self._leases.pop(claim_id, None)
        if lease is None:
            self._record_late_answer(claim_id, outcome, now)
            return []
        self._end_lease(lease, outcome, now, max_age_s)
        return self._dispatch(now)

    def withdraw(self, claim: Claim) -> bool:
        """Remove a claim from the queue; return False if it was not queued."""
        return self.queue.remove(claim)

    def tick(self, now: float) -> list[Verdict]:
        """Reject claims past their deadline, and grant the slots that are free."""
        self._expire_leases(now)
        rejected = [
            self._reject(claim, Rejection.EXPIRED)
            for claim in self.queue.pop_expired(now)
        ]
        return rejected + self._dispatch(now)

    def report(self, host: str, load: float, at: float):
        """Record the load (0 to 1) that a host reported at a time, used as a hint."""
        if host in self.hosts:
            self.hosts[host].report(load, at)

    def reset_host(self, host: str, now: float):
        """Reset the limit of a host that has restarted: it is cold."""
        if host in self.hosts:
            self.hosts[host].turn_cold(now)

    def limit_of(self, target: str) -> int:
        """Return the concurrency limit of a target; 0 for an unknown target."""
        known = self.targets.get(target)
        return int(self.hosts[known.host].limit) if known else 0

    def learn(self, target: str, limit: int, now: float):
        """Adopt the limit that another entry set, unless this pool uses the target."""
        known = self.targets.get(target)
        if known is None or not limit or self.hosts[known.host].used:
            return
        self.hosts[known.host].learn(limit, now)

    def wait_s(self, service: str, priority: Priority) -> float:
        """Estimate the queueing time of a new claim of this priority."""
        slots = self._slot_count(service)
        return (
            self.queue.ahead_of(priority)
            * self._mean_service_s(service)
            / max(1, slots)
        )

    def backlog_s(self, service: str) -> float:
        """Estimate the time to complete all queued and running work of a service."""
        in_flight = sum(self.hosts[host].used for host in self._hosts_of(service))
        requests = len(self.queue) + in_flight
        return (
            requests * self._mean_service_s(service) / max(1, self._slot_count(service))
        )

    def load(self) -> float:
        """Return the number of running and queued requests per slot."""
        in_flight = sum(limiter.used for limiter in self.hosts.values())
        slots = sum(int(limiter.limit) for limiter in self.hosts.values())
        return (in_flight + len(self.queue)) / max(1, slots)

    def _dispatch(self, now):
        verdicts = []
        while len(self.queue):
            claim = self.queue.pop(
                lambda each: self._choose_target(each, now) is not None
            )
            if claim is None:
                break
            verdicts.append(self._grant(claim, self._choose_target(claim, now), now))
        return verdicts

    def _choose_target(self, claim, now):
        free = [
            target
            for target in self._candidates(claim)
            if self._has_capacity(target, claim.service, now)
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
            for target in self._service_targets.get(claim.service, ())
            if target.state is TargetState.ADMITTED
            and target.name not in claim.avoid
            and target.domain not in self.unreachable_domains
        ]

    def _has_capacity(self, target, service, now):
        limiter = self.hosts[target.host]
        return limiter.has_capacity(service, self._reserved[target.host], now)

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
        self._leases[claim.claim_id] = _Lease(claim, target.name, now)
        return Granted(claim.claim_id, target.name)

    def _reject(self, claim, reason):
        return Rejected(claim.claim_id, reason, self.backlog_s(claim.service))

    def _end_lease(self, lease, outcome, now, max_age_s=0.0):
        target = self.targets.get(lease.target)
        if target is None or target.host not in self.hosts:
            return
        limiter = self.hosts[target.host]
        if outcome is Outcome.LOST:
            self._record_loss(lease, limiter, now)
        else:
            self._record_outcome(lease, limiter, outcome, now, max_age_s)

    def _record_loss(self, lease, limiter, now):
        """Record a lost answer, and decide whether the target is the cause.

        A target that has answered since the request was sent is not at fault. If
        only other targets have answered since, it is; if none has, the network
        may have lost the packets, so the target is probed.
        """
        service = lease.claim.service
        if limiter.last_answer_at >= lease.since:
            limiter.record_cancellation(service, now)
        elif self._last_answer_at >= lease.since:
            limiter.record_loss(service, now)
        else:
            limiter.probe_after_loss(service, now)

    def _expire_leases(self, now):
        """Free the slots whose leases have expired without an answer."""
        overdue = []
        for claim_id, lease in self._leases.items():
            if now - lease.since < LEASE_MIN_S:
                break
            if now - lease.since >= self._lease_duration_s(lease.claim.service):
                overdue.append(claim_id)
        for claim_id in overdue:
            lease = self._leases.pop(claim_id)
            self._expired_leases[claim_id] = lease
            self._end_lease(lease, Outcome.LOST, now)
        while len(self._expired_leases) > MAX_EXPIRED_LEASES:
            del self._expired_leases[next(iter(self._expired_leases))]

    def _record_late_answer(self, claim_id, outcome, now):
        """Use the latency of an answer that came after its lease expired."""
        lease = self._expired_leases.pop(claim_id, None)
        if lease is None or outcome is not Outcome.GOOD:
            return
        average = self._service_times.setdefault(
            lease.claim.service, _MeanServiceTime()
        )
        average.learn(now - lease.since)

    def _lease_duration_s(self, service):
        return max(LEASE_MIN_S, LEASE_SERVICE_TIMES * self._mean_service_s(service))

    def _record_outcome(self, lease, limiter, outcome, now, max_age_s):
        if outcome in (Outcome.GOOD, Outcome.SHED, Outcome.FAILED):
            limiter.last_answer_at = self._last_answer_at = now
        service = lease.claim.service
        latency_s = now - lease.since
        if outcome is Outcome.GOOD:
            self._service_times.setdefault(service, _MeanServiceTime()).learn(latency_s)
            limiter.record_success(
                service, latency_s, self._peer_latency_s(limiter), now
            )
        elif outcome is Outcome.SHED:
            limiter.record_shed(service, max_age_s, now)
        elif outcome is Outcome.FAILED:
            limiter.record_error(service, latency_s, now)
        else:
            limiter.record_cancellation(service, now)

    def _peer_latency_s(self, limiter):
        warm = [
            other.latency_s
            for other in self.hosts.values()
            if other is not limiter and other.is_warm and other.latency_s
        ]
        return median(warm) if warm else 0.0

    def _queue_limit(self, claim):
        ceilings = [self.hosts[host].ceiling for host in self._hosts_of(claim.service)]
        return QUEUED_CLAIMS_PER_SLOT * sum(ceilings)

    def _slot_count(self, service):
        return sum(int(self.hosts[host].limit) for host in self._hosts_of(service))

    def _hosts_of(self, service):
        return {target.host for target in self._service_targets.get(service, ())}

    def _mean_service_s(self, service):
        average = self._service_times.get(service)
        return average.mean_s if average else DEFAULT_LATENCY_S
