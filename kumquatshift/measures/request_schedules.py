"""Random schedules of requests and faults on a simulated site, and the invariants."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from aiocoap.numbers.codes import Code

from .request_site import HOPS, Entry, Site, engine_policy

ENTRIES = ("e0", "e1", "e2", "e3")
TARGETS = ("t0", "t1", "t2")
NODES = ENTRIES + TARGETS
FAULTS = ("kill sender", "kill receiver", "lose", "copy", "delay")

#: The faults of packets at each hop. The network may duplicate packets anywhere
#: except from an entry to a target: the duplicate could arrive after a restart of
#: the target, which then runs the request again, and no entry could prevent that.
HOP_FAULTS = tuple(
    (hop, fault)
    for hop in HOPS
    for fault in FAULTS
    if (hop, fault) != ("standby to target", "copy")
)
CODES = (Code.POST, Code.POST, Code.PATCH, Code.GET, Code.PUT)
TOKENS = (b"\x01", b"\x02", b"\x03")
PAUSES_S = (0.0, 0.1, 0.4, 1.2, 2.5, 8.0)

#: Probability of each of the faults "lose", "delay" and "copy", drawn in this order
#: for each packet until one occurs.
FAULT_PROBABILITIES = (0.0, 0.05, 0.2)

#: Requests that are sent at once in a burst: more than the targets can take.
BURST = 18

ROUNDS_MIN = 2
ROUNDS_MAX = 6
FAULTS_PER_ROUND_MAX = 4
FAULTY_SETTLE_S = 12.0
HEALED_SETTLE_S = 10.0


@dataclass(frozen=True)
class Event:
    """A fault or a recovery on the site, after a pause in seconds.

    ``call`` is the name of a method of `Site`, which is called with ``args``.
    """

    pause_s: float
    call: str
    args: tuple[str, ...] = ()


@dataclass(frozen=True)
class Round:
    """A request, or a burst of requests if ``code`` is None, followed by events."""

    code: Code | None
    token: bytes = b""
    events: tuple[Event, ...] = ()


@dataclass(frozen=True)
class Schedule:
    """Requests and events that are run on one site.

    If ``separate`` is set, targets send separate responses: an empty ACK at once
    and the response later.
    """

    rounds: tuple[Round, ...]
    seed: int
    separate: bool = False
    fault_rate: float = 0.0


@dataclass
class Findings:
    """Violated invariants, and the counts of outcomes.

    The invariants: a non-idempotent request runs at most once
    (``duplicate_runs``); a request refused as "not run" never ran
    (``false_not_run``); an answer belongs to its request (``wrong_answers``).
    """

    duplicate_runs: list[str] = field(default_factory=list)
    false_not_run: list[str] = field(default_factory=list)
    wrong_answers: list[tuple[str, str]] = field(default_factory=list)
    sent: int = 0
    answered: int = 0
    refused: Counter = field(default_factory=Counter)

    @property
    def broken(self) -> list:
        """All violations."""
        return self.duplicate_runs + self.false_not_run + self.wrong_answers

    def add(self, site: Site):
        """Add the results of a site whose schedule has ended."""
        caller = site.caller
        for name in sorted(caller.non_idempotent):
            if len(site.runs_of(name)) > 1:
                self.duplicate_runs.append(name)
        for name, text in caller.outcomes.items():
            if text.startswith("not run") and site.runs_of(name):
                self.false_not_run.append(name)
        self.wrong_answers += caller.mismatched_answers
        self.sent += len(caller.sent_at)
        self.answered += sum(
            text.startswith("ran") for text in caller.outcomes.values()
        )
        for entry in site.entries:
            self.refused.update(getattr(entry.policy, "refused", ()))


def play(schedule: Schedule, make_policy: Callable[[Entry], object] = engine_policy):
    """Run one schedule to its end, and return the site."""
    site = Site(schedule.seed, make_policy)
    for target in site.targets.values():
        target.separate = schedule.separate
    site.run(1.0)
    site.fault_rate = schedule.fault_rate
    mids = count(100)
    for round_ in schedule.rounds:
        _send(site, round_, mids)
        for event in round_.events:
            site.run(event.pause_s)
            getattr(site, event.call)(*event.args)
    site.run(FAULTY_SETTLE_S)
    site.heal()
    site.run(HEALED_SETTLE_S)
    return site


def random_schedule(rng) -> Schedule:
    """Draw a schedule with a generator such as `random.Random`."""
    rounds = tuple(
        _random_round(rng) for _ in range(rng.randint(ROUNDS_MIN, ROUNDS_MAX))
    )
    return Schedule(
        rounds,
        rng.randrange(1 << 16),
        rng.random() < 0.5,
        rng.choice(FAULT_PROBABILITIES),
    )


def _random_round(rng):
    number = rng.randint(0, FAULTS_PER_ROUND_MAX)
    events = tuple(_random_event(rng) for _ in range(number))
    if rng.random() < 0.5:
        return Round(None, events=events)
    return Round(rng.choice(CODES), rng.choice(TOKENS), events)


def _random_event(rng):
    call = rng.choice(
        ("restart", "kill", "start", "cut", "heal", "restart_targets", "fault")
    )
    args = ()
    if call in ("restart", "kill", "start"):
        args = (rng.choice(NODES),)
    elif call == "cut":
        args = (rng.choice(ENTRIES), rng.choice(NODES))
    elif call == "fault":
        args = rng.choice(HOP_FAULTS)
    return Event(rng.choice(PAUSES_S), call, args)


def _send(site, round_, mids):
    if round_.code is not None:
        mid = next(mids)
        site.caller.send(f"r{mid}", round_.code, mid, round_.token)
        return
    for _ in range(BURST):
        mid = next(mids)
        site.caller.send(f"r{mid}", Code.POST, mid, b"b%d" % mid)
