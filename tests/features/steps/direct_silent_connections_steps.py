from behave import then, when

from tests.support.feed_domain import KIND, FeedDomain

PHASES = 8
PHASE_S = 0.47
WARM_UP_S = 6.0


@when(
    "in domains of {count:d} entries connections to {what} fall silent at a share of"
    " {share:g}, each in another phase of its watches"
)
def step_fall_silent(context, count, what, share):
    context.domains = []
    for phase in range(PHASES):
        domain = FeedDomain(context.news.timing, seed=phase)
        domain.store.put(KIND, "o1", 0)
        domain.add(count)
        domain.run(WARM_UP_S + phase * PHASE_S)
        domain.silence(what, share)
        context.domains.append((domain, domain.clock.seconds()))


@when("each domain has changes {first:g} s and {second:g} s later")
def step_changes(context, first, second):
    context.changes = []
    for domain, silent_since in context.domains:
        for number, after_s in enumerate((first, second)):
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
