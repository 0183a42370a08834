"""Schedules of requests and faults against a request site, and what must hold."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from aiocoap.numbers.codes import Code

from .request_site import HOPS, Entry, Site, core_policy

ENTRIES = ("e0", "e1", "e2", "e3")
TARGETS = ("t0", "t1", "t2")
NODES = ENTRIES + TARGETS
FAULTS = ("kill sender", "kill receiver", "lose", "copy", "delay")

#: What may befall a packet, and where. The network may copy packets anywhere
#: but on the way from an entry to a target: a copy there may meet a target
#: that restarted in between, and nothing of ours stands between the two.
HOP_FAULTS = tuple(
    (hop, fault)
    for hop in HOPS
    for fault in FAULTS
    if (hop, fault) != ("standby to target", "copy")
)
CODES = (Code.POST, Code.POST, Code.PATCH, Code.GET, Code.PUT)
TOKENS = (b"\x01", b"\x02", b"\x03")
PAUSES_S = (0.0, 0.1, 0.4, 1.2, 2.5, 8.0)

#: Shares of packets that are lost, of those late, and of those copied, each.
ROUGHNESS = (0.0, 0.05, 0.2)

#: Requests that come at once in a burst: more than the targets can take.
BURST = 18

ROUNDS_MIN = 2
ROUNDS_MAX = 6
FAULTS_PER_ROUND_MAX = 4
SETTLE_S = 12.0
HEALED_S = 10.0


@dataclass(frozen=True)
class Event:
    """Something that befalls the site after a pause in seconds.

    ``call`` names a method of `Site`, which takes ``args``.
    """

    pause_s: float
    call: str
    args: tuple[str, ...] = ()


@dataclass(frozen=True)
class Round:
    """A request, or a burst of them when ``code`` is None, and then faults."""

    code: Code | None
    token: bytes = b""
    events: tuple[Event, ...] = ()


@dataclass(frozen=True)
class Schedule:
    """What is played on one site.

    With ``separate`` targets acknowledge first and answer later.
    """

    rounds: tuple[Round, ...]
    seed: int
    separate: bool = False
    roughness: float = 0.0


@dataclass
class Findings:
    """Broken promises, and how often what was told."""

    duplicate_runs: list[str] = field(default_factory=list)
    false_not_run: list[str] = field(default_factory=list)
    wrong_answers: list[tuple[str, str]] = field(default_factory=list)
    sent: int = 0
    answered: int = 0
    refused: Counter = field(default_factory=Counter)

    @property
    def broken(self) -> list:
        """All broken promises."""
        return self.duplicate_runs + self.false_not_run + self.wrong_answers

    def add(self, site: Site):
        """Count what a site shows at its end."""
        caller = site.caller
        for name in sorted(caller.once):
            if len(site.runs_of(name)) > 1:
                self.duplicate_runs.append(name)
        for name, text in caller.told.items():
            if text.startswith("not run") and site.runs_of(name):
                self.false_not_run.append(name)
        self.wrong_answers += caller.wrong
        self.sent += len(caller.sent_at)
        self.answered += sum(text.startswith("ran") for text in caller.told.values())
        for entry in site.entries:
            self.refused.update(getattr(entry.policy, "refused", ()))


def play(schedule: Schedule, make_policy: Callable[[Entry], object] = core_policy):
    """Run one schedule to its end; return the site."""
    site = Site(schedule.seed, make_policy)
    for target in site.targets.values():
        target.separate = schedule.separate
    site.run(1.0)
    site.roughness = schedule.roughness
    mids = count(100)
    for each in schedule.rounds:
        _send(site, each, mids)
        for event in each.events:
            site.run(event.pause_s)
            getattr(site, event.call)(*event.args)
    site.run(SETTLE_S)
    site.heal()
    site.run(HEALED_S)
    return site


def random_schedule(chance) -> Schedule:
    """Draw a schedule; `random.Random` fits."""
    rounds = tuple(
        _random_round(chance) for _ in range(chance.randint(ROUNDS_MIN, ROUNDS_MAX))
    )
    return Schedule(
        rounds,
        chance.randrange(1 << 16),
        chance.random() < 0.5,
        chance.choice(ROUGHNESS),
    )


def _random_round(chance):
    number = chance.randint(0, FAULTS_PER_ROUND_MAX)
    events = tuple(_random_event(chance) for _ in range(number))
    if chance.random() < 0.5:
        return Round(None, events=events)
    return Round(chance.choice(CODES), chance.choice(TOKENS), events)


def _random_event(chance):
    call = chance.choice(
        ("restart", "kill", "start", "cut", "heal", "restart_targets", "fault")
    )
    args = ()
    if call in ("restart", "kill", "start"):
        args = (chance.choice(NODES),)
    elif call == "cut":
        args = (chance.choice(ENTRIES), chance.choice(NODES))
    elif call == "fault":
        args = chance.choice(HOP_FAULTS)
    return Event(chance.choice(PAUSES_S), call, args)


def _send(site, each, mids):
    if each.code is not None:
        mid = next(mids)
        site.caller.send(f"r{mid}", each.code, mid, each.token)
        return
    for _ in range(BURST):
        mid = next(mids)
        site.caller.send(f"r{mid}", Code.POST, mid, b"b%d" % mid)
