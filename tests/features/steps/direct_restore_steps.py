from behave import given, then, when
from hypothesis import given as drawn, strategies as st

from tests.support.draws import FEW_EXAMPLES
from tests.support.feed_domain import KIND
from tests.support.restore_schedules import RestoreRun, schedules

CHANGES_KNOWN_S = 1.5
RUN_S = 0.3


def change_objects(domain, count, first=0):
    """Change, create and delete objects, so that revisions move on by ``count``."""
    for number in range(first, first + count):
        name = f"o{number % 60}"
        match number % 4:
            case 0:
                domain.store.put(KIND, f"n{number}", number + 1000)
            case 1 if number % 60 > 30:
                domain.store.delete(KIND, name)
                domain.store.put(KIND, name, number + 2000)
            case _:
                domain.store.put(KIND, name, number + 3000)


@given("open watches {fate} when the store is restored")
def step_open_watches(context, fate):
    context.news.breaks_watches = fate == "break"


@when(
    "the store comes back {times:d} times from a copy that lacks {lost:d} changes,"
    " after {away:g} s"
)
def step_restore(context, times, lost, away):
    domain = context.news
    for turn in range(times):
        copy = domain.store.copy()
        change_objects(domain, lost, turn)
        domain.run(CHANGES_KNOWN_S)
        context.lost = domain.restore_store(copy, away)
        if turn < times - 1:
            domain.run(RUN_S)
            domain.write_again(context.lost)


@when("what was lost is written again {after:g} s later")
def step_write_again(context, after):
    context.news.run(after)
    context.news.write_again(context.lost)


@when(
    "the first entry is cut off from the store until it is restored and its revisions"
    " are passed"
)
def step_cut_off(context):
    domain = context.news
    copy = domain.store.copy()
    change_objects(domain, 20)
    domain.run(CHANGES_KNOWN_S)
    domain.nodes[0].own_store_fault = "is silent"
    domain.nodes[0].receive_heartbeat = lambda beat: None
    domain.run(RUN_S)
    lost = domain.restore_store(copy)
    domain.write_again(lost)
    change_objects(domain, 40, 300)
    domain.nodes[0].own_store_fault = None


@then("within {limit:g} s every live entry has the objects of the store")
def step_live_same_objects(context, limit):
    domain = context.news
    domain.run(limit)
    for node in domain.nodes:
        if node not in context.excluded:
            assert node.listener.values == domain.values(), node.me.name


@when("one reader is cut off from the store")
def step_cut_reader(context):
    context.news.readers()[0].own_store_fault = "is silent"


@then("within {limit:g} s every entry that reaches the store has its objects")
def step_same_objects(context, limit):
    domain = context.news
    domain.run(limit)
    for node in domain.nodes:
        if not node.own_store_fault:
            assert node.listener.values == domain.values(), node.me.name


@when(
    "{count:d} objects are created that a restored copy lacks and nobody writes again"
)
def step_lost_for_good(context, count):
    domain = context.news
    copy = domain.store.copy()
    for number in range(count):
        domain.store.put(KIND, f"lost{number}", number)
    domain.run(CHANGES_KNOWN_S)
    domain.restore_store(copy, 0.5)


@then("every entry learned of the restore")
def step_restore_known(context):
    unaware = [n.me.name for n in context.news.nodes if not n.listener.restores]
    assert not unaware, unaware


@then(
    "for any series of changes, restores and faults all entries agree with the store"
    " in time"
)
def step_any_series(context):
    context.reverted = []

    @FEW_EXAMPLES
    @drawn(st.sampled_from((2, 7, 12)), st.booleans(), st.integers(0, 9), schedules())
    def check(count, breaks_watches, seed, schedule):
        run = RestoreRun(count, breaks_watches, seed)
        run.run(schedule)
        run.settle()
        context.reverted += run.reverted
        assert not run.behind(), run.behind()

    check()


@then("no entry's revision has gone back")
def step_not_reverted(context):
    assert not context.reverted, context.reverted
