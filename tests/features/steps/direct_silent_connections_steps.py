import socket

from behave import given, then, when
from hypothesis import given as drawn, strategies as st

from kumquatshift.adapters.http_client import HttpConnection, Response
from kumquatshift.adapters.http_server import PageResponse, PageServer
from tests.support.copying_store import CopyingStore, SteppedReactor
from tests.support.draws import FEW_EXAMPLES
from tests.support.feed_domain import KIND, FeedDomain
from tests.support.silence_schedules import Bounds, SilenceRun, schedules
from tests.support.simulated_connection import STEP_S

PHASES = 8
PHASE_S = 0.47
WARM_UP_S = 6.0
CALL_TIMEOUT_S = 3.0


@when(
    "in domains of {count:d} entries connections to {what} fall silent at a share of"
    " {share:g}, each in another phase of its watches"
)
def step_fall_silent(context, count, what, share):
    _start_domains(context, count)
    for domain, _ in context.domains:
        domain.silence(what, share)


@when(
    "in domains of {count:d} entries the connection of {which} to the store falls"
    " silent, each in another phase of its watches"
)
def step_one_falls_silent(context, count, which):
    _start_domains(context, count)
    for domain, _ in context.domains:
        nodes = domain.readers() if which == "one reader" else domain.nodes
        nodes[0].silence("store")


@when(
    "in domains of {count:d} entries with {objects:d} objects all connections fall"
    " silent, in {phases:d} phases {phase_s:g} s apart"
)
def step_all_phases(context, count, objects, phases, phase_s):
    _start_domains(context, count, objects, phases, phase_s)
    for domain, _ in context.domains:
        domain.silence("all")


def _start_domains(context, count, objects=1, phases=PHASES, phase_s=PHASE_S):
    """Run domains until each is in another phase of its watches."""
    context.domains = []
    for phase in range(phases):
        domain = FeedDomain(context.news.timing, seed=phase)
        domain.loss = context.news.loss
        for number in range(objects):
            domain.store.put(KIND, f"o{number}", 0)
        domain.add(count)
        domain.run(WARM_UP_S + phase * phase_s)
        context.domains.append((domain, domain.clock.seconds()))


@when("each domain has changes {first:g} s and {second:g} s later")
def step_changes(context, first, second):
    _change(context, (first, second))


@when("each domain has a change {after_s:g} s later")
def step_change(context, after_s):
    _change(context, (after_s,))


def _change(context, times):
    context.changes = []
    for domain, silent_since in context.domains:
        for number, after_s in enumerate(times):
            domain.run(silent_since + after_s - domain.clock.seconds())
            domain.store.put(KIND, f"o{number}", 777)
            change = domain, silent_since, f"o{number}", domain.clock.seconds()
            context.changes.append(change)


@then(
    "every change of each domain is known within {limit:g} s of it or {stable:g} s of"
    " the silence"
)
def step_known_in_time(context, limit, stable):
    late = {}
    for domain, silent_since, name, changed_at in context.changes:
        due_at = max(changed_at + limit, silent_since + stable)
        domain.run(max(0.0, due_at - domain.clock.seconds()))
        for node in domain.nodes:
            if node.listener.values.get(name) != 777:
                late.setdefault((domain, name), []).append(node.me.name)
    assert not late, list(late.values())


@then("every entry knows each change within {limit:g} s")
def step_known_soon(context, limit):
    late = []
    for domain, _, name, changed_at in context.changes:
        domain.run(max(0.0, changed_at + limit - domain.clock.seconds()))
        for node in domain.nodes:
            known_at = node.listener.known_at.get((name, 777))
            if known_at is None or known_at > changed_at + limit:
                late.append((node.me.name, name, known_at, changed_at))
    assert not late, late


@then("no entry claims to know a change that it lacks")
def step_no_claim(context):
    for domain, _, name, changed_at in context.changes:
        for _ in range(round(1.0 / STEP_S)):
            domain.run(STEP_S)
            now = domain.clock.seconds()
            for node in domain.nodes:
                lacks = node.listener.values.get(name) != 777
                claims = node.feed.known_until(now) > changed_at
                assert not (lacks and claims), (node.me.name, now - changed_at)


@then("in each domain {count:d} entries have called the store since the silence")
def step_callers(context, count):
    for domain, silent_since in context.domains:
        callers = [
            node.me.name
            for node in domain.nodes
            if any(called_at > silent_since for called_at, _ in node.calls)
        ]
        assert len(callers) == count, callers


@then("for any series of silences, kills, restarts and changes no entry is late")
def step_any_series(context):
    bounds = st.sampled_from((Bounds(3, 4), Bounds(5, 5), Bounds(5, 6)))

    @FEW_EXAMPLES
    @drawn(bounds, st.sampled_from((3, 7, 12)), st.integers(0, 9), schedules())
    def check(bounds, count, seed, schedule):
        run = SilenceRun(bounds, count, seed)
        run.run(schedule)
        assert not run.late, run.late

    check()


@given("a client that has called a server once")
def step_client(context):
    context.store = CopyingStore(SteppedReactor())
    context.add_cleanup(context.store.close)
    context.client = HttpConnection(context.store.reactor, context.store.address)
    context.add_cleanup(context.client.close)
    context.answers = []
    _call(context)
    context.store.exchange()


@when("its connection falls silent, and it calls again {pause:g} s later")
def step_call_after_silence(context, pause):
    context.store.silence()
    step_call_again(context, pause)


@when("it calls again {pause:g} s later")
def step_call_again(context, pause):
    context.store.reactor.advance(pause)
    _call(context)


@then("the call is answered on connection {number:d}")
def step_answered(context, number):
    context.store.exchange()
    assert all(isinstance(each, Response) for each in context.answers)
    assert len(context.answers) == 2, context.answers
    assert context.store.connections == number, context.store.connections


def _call(context):
    path = f"/api/objects/{KIND}"
    context.client.call("GET", path, b"", CALL_TIMEOUT_S, context.answers.append)


@given("a server of pages with {count:d} connections that have died after a call each")
def step_dead_connections(context, count):
    context.reactor = SteppedReactor()
    server = PageServer(
        context.reactor, ("127.0.0.1", 0), {b"/": lambda query: PageResponse(200)}
    )
    context.address = socket.socket(fileno=socket.dup(server.fileno())).getsockname()
    for _ in range(count):
        assert _get(context, socket.create_connection(context.address))


@given("a client that calls it again and again on one connection")
def step_lasting_client(context):
    context.lasting = socket.create_connection(context.address)
    assert _get(context, context.lasting)


@when("the client opens {count:d} more connections and calls on each of them")
def step_more_connections(context, count):
    context.answered = []
    for _ in range(count):
        conn = socket.create_connection(context.address)
        context.answered += [_get(context, conn), _get(context, context.lasting)]


@then("all its calls are answered, those on the first connection too")
def step_all_answered(context):
    assert all(context.answered), context.answered


def _get(context, conn):
    """Call a page on an open connection; return whether it was answered."""
    context.add_cleanup(conn.close)
    conn.settimeout(1.0)
    try:
        conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        for _ in range(4):
            context.reactor.poll(0.01)
        return conn.recv(100).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
