"""Run the soak: ``python -m tests.soak --seed 7 --seconds 20``.

It checks the following from what callers and targets observe:

- no packet of one service reaches a target of another;
- a request that must not be repeated runs at most once;
- a draining target gets no new flow after the bound;
- no flow of an undisturbed target is reset;
- a configuration is in force at each undisturbed entry within the bound;
- requests are served again after the last fault;
- every entry has the operator's configuration by then.
"""

import sys
from collections import Counter

import fire

from kumquatshift.platform.packets import flow_text
from kumquatshift.standins.direct_flows import Outcome, PacketHeader
from tests.support.direct_settings import is_ready, read_dump

from .faults import FAULTS
from .site import DOMAINS, SERVICES, SoakSite

STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
CONFIG_S = 3.0
# Loopback, a busy machine and polling add to the documented bounds.
MARGIN_S = 0.5
RECOVER_S = 8.0
POLLED_PER_ROUND = 40


class Soak:
    """One run of the soak, determined by its seed."""

    def __init__(
        self, reactor, seed: int, seconds: float, entries: int, net: int, story
    ):
        self.reactor = reactor
        self.site = site = SoakSite(reactor, seed, net)
        self.seconds = seconds
        by_name = {fault.__name__: fault for fault in FAULTS}
        self.story = [by_name[name] for name in story]
        self.broken: list[str] = []
        self.started_faults: list[str] = []
        self.number = 0
        site.store_disturbed_at = float("-inf")
        site.write_configuration()
        for service in SERVICES:
            for domain in DOMAINS:
                for _ in range(2):
                    site.add_target(service, domain)
        for number in range(entries):
            site.add_entry(DOMAINS[number % len(DOMAINS)])
        self.single_try_callers = [
            site.add_caller(s, tries=1) for s in SERVICES for _ in range(8)
        ]
        self.retrying_callers = [
            site.add_caller(s, tries=3) for s in SERVICES for _ in range(8)
        ]
        self.to_poll = list(site.entries)
        self.started_at = site.now()

    def start(self) -> None:
        """Start the load, the checks and the faults."""
        self.reactor.callLater(0.1, self._check_ready)
        self.reactor.callLater(3.0, self._send_request)
        self.reactor.callLater(4.0, self._start_fault)
        self.reactor.callLater(0.5, self._check)

    def _check_ready(self):
        self.reactor.callLater(0.5, self._check_ready)
        for entry in self.site.entries:
            if entry.process.poll() is not None:
                self.site.start(entry)
        # Polling blocks this process, so hundreds of entries are polled in turns.
        self.to_poll, to_poll = (
            self.to_poll[POLLED_PER_ROUND:],
            self.to_poll[:POLLED_PER_ROUND],
        )
        self.to_poll += to_poll
        for entry in to_poll:
            entry.is_ready = not entry.is_frozen and is_ready(entry.host, 0.2)

    def _send_request(self):
        self.reactor.callLater(0.01, self._send_request)
        caller = self.site.rng.choice(self.single_try_callers + self.retrying_callers)
        if not caller.requests or caller.requests[-1].outcome is not None:
            self.number += 1
            caller.ask(f"q{self.number}".encode())

    def _start_fault(self):
        remaining_s = self.started_at + self.seconds - self.site.now()
        if remaining_s < RECOVER_S:
            return
        fault = self.story.pop(0) if self.story else self.site.rng.choice(FAULTS)
        self.started_faults.append(
            f"{self.site.now() - self.started_at:.1f} s: {fault.__name__}"
        )
        end_fault = fault(self.site)
        duration_s = min(self.site.rng.uniform(0.5, 5.0), remaining_s - RECOVER_S)
        self.reactor.callLater(max(0.1, duration_s), end_fault)
        self.reactor.callLater(self.site.rng.uniform(0.3, 2.5), self._start_fault)

    def _check(self):
        if self.site.now() - self.started_at > self.seconds:
            self._check_end()
            self.reactor.stop()
            return
        self.reactor.callLater(0.5, self._check)
        for target in self.site.targets.values():
            self._check_target(target)
        for entry in self.site.entries:
            self._check_configuration(entry)
        self._check_resets()

    def _check_target(self, target):
        if target.foreign_packets:
            self._record_violation(
                f"{target.name} got {target.foreign_packets} packets of another service"
            )
            target.foreign_packets = 0
        if target.drain_started_at is None:
            return
        undisturbed_from = max(
            target.drain_started_at, self.site.store_disturbed_at + STABLE_WINDOW_S
        )
        for entry in self.site.entries:
            undisturbed_from = max(
                undisturbed_from, entry.disturbed_at + STABLE_WINDOW_S
            )
        late = [
            when
            for when in target.flows.openings
            if when
            > max(undisturbed_from, target.drain_started_at + DRAIN_S) + MARGIN_S
        ]
        if late:
            self._record_violation(
                f"{target.name} got {len(late)} flows after it had drained"
            )
            target.flows.openings.clear()

    def _check_configuration(self, entry):
        """Check that the versions that are due are in force, by the entry's log."""
        entry.log.read()
        if entry.is_frozen or entry.process.poll() is not None:
            return
        disturbed_at = max(entry.disturbed_at, self.site.store_disturbed_at)
        for version, written_at in self.site.written_at.items():
            due_at = max(written_at + CONFIG_S, disturbed_at + STABLE_WINDOW_S)
            if self.site.now() > due_at + MARGIN_S and entry.log.version < version:
                self._record_violation(
                    f"{entry.name} has version {entry.log.version}; {version} was due"
                    f" {self.site.now() - due_at:.1f} s ago"
                )
                entry.log.version = version  # Reported once.

    def _check_resets(self):
        resets, self.site.resets = self.site.resets, []
        for when, packet in resets:
            header = PacketHeader.unpack(packet)
            endpoints = (
                header.destination,
                header.destination_port,
                header.source,
                header.source_port,
            )
            for target in self.site.targets.values():
                held = target.flows._flows.get(endpoints)
                undisturbed = when - target.disturbed_at > STABLE_WINDOW_S
                entries_undisturbed = all(
                    when - entry.disturbed_at > STABLE_WINDOW_S
                    for entry in self.site.entries
                )
                if held and held.is_open and undisturbed and entries_undisturbed:
                    flow = flow_text(packet[6:18])
                    self._record_violation(f"a flow of {target.name} was reset: {flow}")

    def _check_end(self):
        runs = Counter(
            name for t in self.site.targets.values() for name in t.flows.runs
        )
        names = {r.name for caller in self.single_try_callers for r in caller.requests}
        repeated = [name for name in names if runs[name] > 1]
        if repeated:
            self._record_violation(
                f"{len(repeated)} requests ran more than once: {repeated[:3]}"
            )
        self._check_versions()
        since = self.site.now() - RECOVER_S / 2
        late = [
            r
            for caller in self.retrying_callers
            for r in caller.requests
            if r.sent_at > since and r.outcome is not None
        ]
        served = [r for r in late if r.outcome is Outcome.ANSWERED]
        if not late or len(served) < 0.95 * len(late):
            self._record_violation(
                f"{len(served)} of {len(late)} were served after the last fault"
            )

    def _check_versions(self):
        """Check that each undisturbed entry has the latest configuration."""
        for entry in self.site.entries:
            if self.site.now() - entry.disturbed_at < STABLE_WINDOW_S:
                continue
            version = read_dump(entry.host, 1.0)["configuration"]["version"]
            if version != self.site.version:
                self._record_violation(
                    f"{entry.name} has version {version} instead of {self.site.version}"
                )

    def _record_violation(self, text):
        self.broken.append(f"{self.site.now() - self.started_at:.1f} s: {text}")


def run(
    seed: int = 1,
    seconds: float = 30.0,
    entries: int = 5,
    net: int = 40,
    story: tuple = (),
) -> int:
    """Run one seed; the exit status is 1 if a check failed.

    The faults named by ``story`` are injected first, then random ones.
    """
    from twisted.internet import reactor  # noqa: PLC0415 (importing installs it)

    soak = Soak(reactor, seed, seconds, entries, net, story)
    soak.start()
    try:
        reactor.run()
    finally:
        soak.site.end()
    outcomes = Counter(
        r.outcome.name
        for caller in soak.single_try_callers + soak.retrying_callers
        for r in caller.requests
        if r.outcome
    )
    print(f"seed {seed}: {dict(outcomes)}; {len(soak.started_faults)} faults")
    for line in (*soak.started_faults, *(f"BROKEN {each}" for each in soak.broken)):
        print(f"  {line}")
    return 1 if soak.broken else 0


def main() -> None:
    """Run with the arguments of the command line."""
    sys.exit(fire.Fire(run, serialize=lambda _: ""))
