from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock

from kumquatshift.adapters.peer_service import PeerService
from kumquatshift.direct.calls import Page, Revision
from kumquatshift.direct.feed import Feed, FeedTiming
from kumquatshift.direct.lifecycle import Lifecycle
from kumquatshift.direct.members import Member, Members
from tests.support.direct_site import Recorder
from tests.support.feed_domain import KIND, FeedDomain

STABLE_S = 4.0
PHASES = 6
PHASE_S = 0.55


@given("a store with {count:d} objects and a bound of {bound:g} s for changes")
def step_store(context, count, bound):
    context.news = domain = FeedDomain(FeedTiming.from_bounds(STABLE_S, bound))
    for number in range(count):
        domain.store.put(KIND, f"o{number}", 0)
    context.excluded = []


@given("a bound of {bound:g} s for changes and a stable window of {stable:g} s")
def step_bounds(context, bound, stable):
    context.news = FeedDomain(FeedTiming.from_bounds(stable, bound))


@given("a domain of {count:d} entries that has been running for {seconds:g} s")
def step_domain(context, count, seconds):
    context.news.add(count)
    context.news.run(seconds)
    for node in context.news.nodes:
        node.calls.clear()


@given("heartbeats are lost with probability {loss:g}")
def step_loss(context, loss):
    context.news.loss = loss


@when("it runs for {seconds:d} s with a change each second")
def step_changes(context, seconds):
    domain = context.news
    for number in range(seconds):
        domain.store.put(KIND, f"o{number % 60}", number + 1)
        domain.run(1.0)
    domain.run(2.0)


@then("{count:d} entries made calls, at most {calls:d} in all")
def step_calls(context, count, calls):
    made = [len(node.calls) for node in context.news.nodes if node.calls]
    print(f"calls: {made}")
    assert len(made) == count and sum(made) <= calls, made


@then("every entry has every change")
def step_all_changes(context):
    store = {n: o["spec"] for (_, n), o in context.news.store.objects.items()}
    for node in context.news.nodes:
        assert node.listener.values == store, node.me.name


@when("nothing happens")
def step_nothing(context):
    pass


@when("{which} {trouble:w} killed")
def step_killed(context, which, trouble):
    readers = context.news.readers()
    assert len(readers) == 2
    for node in readers[: 1 if which == "one reader" else 2]:
        node.is_up = False
        context.excluded.append(node)


@when("both readers pause")
def step_paused(context):
    for node in context.news.readers():
        node.is_paused = True
        context.excluded.append(node)


@when("the store refuses both readers")
def step_refuse_readers(context):
    for node in context.news.readers():
        node.own_store_fault = "refuses"


@when("the store does not answer both readers")
def step_silent_readers(context):
    for node in context.news.readers():
        node.own_store_fault = "is silent"


@when("both readers are cut off from their peers and the store")
def step_cut_readers(context):
    for node in context.news.readers():
        node.own_store_fault = "is silent"
        node.receive_heartbeat = lambda beat: None
        context.excluded.append(node)


@when("the store {trouble} for {seconds:g} s")
def step_store_outage(context, trouble, seconds):
    domain = context.news
    domain.trouble = trouble
    domain.run(seconds)
    domain.trouble = None


@when("the store refuses from now on")
def step_refuses(context):
    context.news.trouble = "refuses"


@when("an object changes {after:g} s later")
def step_change(context, after):
    context.news.run(after)
    context.news.store.put(KIND, "o7", 777)


@then("every entry that reaches the store has it within {limit:g} s")
def step_known(context, limit):
    domain = context.news
    able = [
        n for n in domain.nodes if n not in context.excluded and not n.own_store_fault
    ]
    took_s = domain.run_until_known("o7", 777, able, limit)
    print(f"arrived after {took_s:.2f} s")


@when(
    "in domains of {count:d} entries the store {trouble} for {seconds:g} s, each in"
    " another phase of its watches"
)
def step_phases(context, count, trouble, seconds):
    context.domains = []
    for phase in range(PHASES):
        domain = FeedDomain(context.news.timing, seed=phase)
        domain.store.put(KIND, "o7", 0)
        domain.add(count)
        domain.run(6 + phase * PHASE_S)
        domain.trouble = trouble
        domain.run(seconds)
        domain.trouble = None
        context.domains.append(domain)


@when(
    "in domains of {count:d} entries both readers are suspended for {seconds:g} s, each"
    " in another phase of its watches"
)
def step_suspended(context, count, seconds):
    context.domains, context.suspended = [], []
    for phase in range(PHASES):
        domain = FeedDomain(context.news.timing, seed=phase)
        domain.store.put(KIND, "o7", 0)
        domain.add(count)
        domain.run(6 + phase * PHASE_S)
        readers = domain.readers()
        for node in readers:
            node.suspend()
        domain.store.put(KIND, "o7", 777)
        domain.run(seconds)
        for node in readers:
            node.resume()
        context.suspended += readers
        context.domains.append(domain)
    context.suspended_s = seconds


@when("each domain has had a change since they were suspended")
def step_had_change(context):
    assert all(domain.values()["o7"] == 777 for domain in context.domains)


@then("every entry that was not suspended has it within {limit:g} s of the change")
def step_undisturbed_have(context, limit):
    left_s = limit - context.suspended_s
    for domain in context.domains:
        nodes = [node for node in domain.nodes if node not in context.suspended]
        domain.run_until_known("o7", 777, nodes, left_s)


@given(
    "an entry that has read the store {age:g} s ago and then is suspended for"
    " {seconds:g} s"
)
def step_entry_suspended(context, age, seconds):
    clock = Clock()
    clock.suspended_s = lambda: context.machine_suspended_s
    context.machine_suspended_s = 100.0
    me = Member("e1", "a", ("10.0.0.1", 1))
    events = Recorder()
    members = Members(me, (), events)
    feed = Feed(KIND, FeedTiming(3.0), mock.Mock(), events)
    feed.handle_page(Page((), False, Revision(1, 5)), clock.seconds())
    detector = mock.Mock(suspects=lambda now: (), refutations=lambda now: ())
    context.service = PeerService(
        clock, members, detector, {KIND: feed}, mock.Mock(), Lifecycle(6.0), mock.Mock()
    )
    clock.advance(age)
    context.machine_suspended_s += seconds
    context.clock = clock


@then("its next heartbeat tells an age of {age:g} s")
def step_heartbeat_age(context, age):
    heartbeat = context.service._build_heartbeat(context.clock.seconds())
    assert [status.age_s for status in heartbeat.statuses] == [age]


@when("in each domain an object changes {after:g} s later")
def step_each_changes(context, after):
    for domain in context.domains:
        domain.run(after)
        domain.store.put(KIND, "o7", 777)


@then("every entry of each domain has it within {limit:g} s")
def step_each_has(context, limit):
    took_s = [
        domain.run_until_known("o7", 777, domain.nodes, limit)
        for domain in context.domains
    ]
    print(f"arrived after {max(took_s):.2f} s at most")
    for domain in context.domains:
        assert not any(node.listener.reverted for node in domain.nodes)


@when("{count:d} more entries start")
def step_more_entries(context, count):
    context.first_new = len(context.news.nodes)
    context.news.add(count)


@then("the new entries have all objects within {limit:g} s")
def step_new_entries_have(context, limit):
    new = context.news.nodes[context.first_new :]
    context.news.run_until_known("o59", 0, new, limit)
    assert all(len(node.listener.values) == 60 for node in new)


@then("at most {count:d} full copies of the objects were requested from peers")
def step_full_copies(context, count):
    print(
        f"{context.news.snapshots_sent} full copies, "
        f"{context.news.peer_update_calls} requests"
    )
    assert context.news.snapshots_sent <= count, context.news.snapshots_sent


@when(
    "objects are deleted and created while the store does not answer for {seconds:g} s"
)
def step_delete_and_create(context, seconds):
    domain = context.news
    domain.trouble = "is silent"
    domain.run(seconds / 2)
    for number in range(10):
        domain.store.delete(KIND, f"o{number}")
        domain.store.put(KIND, f"n{number}", number)
    domain.store.compact()
    domain.run(seconds / 2)
    domain.trouble = None


@then("within {limit:g} s every entry has the objects of the store")
def step_same_objects(context, limit):
    context.news.run(limit)
    step_all_changes(context)


@then("at most {calls:d} calls were made during that time")
def step_call_limit(context, calls):
    made = sum(len(node.calls) for node in context.news.nodes)
    print(f"{made} calls")
    assert made <= calls, made


@then("every entry learned of the loss before it applied a change")
def step_loss_known(context):
    unaware = [n.me.name for n in context.news.nodes if not n.listener.losses]
    assert not unaware, unaware


@given("answers of {kb:d} kB and links of {mbps:d} Mbit/s")
def step_links(context, kb, mbps):
    context.news.answer_bytes = kb * 1000
    context.news.link_bytes_per_s = mbps * 125_000


@then("no entry sent more than {count:d} long answers within a second")
def step_long_answers(context, count):
    for node in context.news.nodes:
        times = node.long_answers
        most = max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)
        assert most <= count, (node.me.name, most)


@then("at most {count:d} entries requested it from the store")
def step_asked_store(context, count):
    asked = [node.me.name for node in context.news.nodes if node.calls]
    assert len(asked) <= count, asked
