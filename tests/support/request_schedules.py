"""Random schedules of requests and faults against a request site."""

from itertools import count

from aiocoap.numbers.codes import Code
from hypothesis import strategies as st

from .request_site import HOPS, Site

ENTRIES = ("e0", "e1", "e2", "e3")
TARGETS = ("t0", "t1", "t2")
NODES = ENTRIES + TARGETS
FAULTS = ("kill sender", "kill receiver", "lose", "copy", "delay")
CODES = (Code.POST, Code.POST, Code.PATCH, Code.GET, Code.PUT)
BURST = 18
TOKENS = (b"\x01", b"\x02", b"\x03")

PAUSES_S = st.sampled_from((0.0, 0.1, 0.4, 1.2, 2.5, 8.0))
FAULT_EVENTS = st.one_of(
    st.tuples(st.just("restart"), st.sampled_from(NODES)),
    st.tuples(st.just("kill"), st.sampled_from(NODES)),
    st.tuples(st.just("start"), st.sampled_from(NODES)),
    st.tuples(st.just("cut"), st.sampled_from(ENTRIES), st.sampled_from(NODES)),
    st.just(("heal",)),
    st.just(("restart_targets",)),
    st.tuples(st.just("fault"), st.sampled_from(HOPS), st.sampled_from(FAULTS)),
)
SENDS = st.one_of(
    st.tuples(st.just("send"), st.sampled_from(CODES), st.sampled_from(TOKENS)),
    st.just(("burst",)),
)
ROUNDS = st.tuples(SENDS, st.lists(st.tuples(PAUSES_S, FAULT_EVENTS), max_size=4))
SCHEDULES = st.lists(ROUNDS, min_size=2, max_size=6)
SEEDS = st.integers(0, 1 << 16)

#: Share of packets that are lost, of those late, and of those copied, each.
ROUGHNESS = st.sampled_from((0.0, 0.05, 0.2))


def play(schedule, seed, separate=False, roughness=0.0, **options):
    """Run one schedule to its end; return the site.

    With ``separate`` targets acknowledge first and answer later.
    """
    site = Site(seed=seed, **options)
    for target in site.targets.values():
        target.separate = separate
    site.run(1.0)
    site.roughness = roughness
    mids = count(100)
    for sent, faults in schedule:
        send(site, sent, mids)
        for pause_s, (kind, *what) in faults:
            if pause_s:
                site.run(pause_s)
            getattr(site, kind)(*what)
    site.run(12.0)
    site.heal()
    site.run(10.0)
    return site


def send(site, sent, mids):
    if sent[0] == "send":
        mid = next(mids)
        site.caller.send(f"r{mid}", sent[1], mid, sent[2])
        return
    for _ in range(BURST):
        mid = next(mids)
        site.caller.send(f"r{mid}", Code.POST, mid, b"b%d" % mid)


def check(site):
    """Raise `AssertionError` if the site broke a promise."""
    caller = site.caller
    for name in caller.once:
        assert len(site.runs_of(name)) <= 1, f"{name} ran twice: {site.runs}"
    for name, text in caller.told.items():
        if text.startswith("not run"):
            assert not site.runs_of(name), f"{name} ran, and was told: {text}"
    assert not caller.wrong, f"wrong answers: {caller.wrong}"
