from behave import given, then, when

from tests.support.peer_network import PeerNetwork

COLD_FLOWS_PER_S = 4.0

# A query, its answer and a heartbeat, which tells others of a new entry.
ARRIVAL_S = 0.01
STEP_S = 0.05


def split(names):
    return [name.strip() for name in names.split(",")]


@given("a site whose seeds are {seeds}, with entries {names}")
def step_site(context, seeds, names):
    context.network = PeerNetwork(split(seeds))
    for name in split(names):
        context.network.start(name)


@given("a site whose seeds are {seeds}, with {count:d} entries in b and one in a")
def step_large_site(context, seeds, count):
    step_site(context, seeds, ", ".join(["a-1", *(f"b-{n + 1}" for n in range(count))]))


@given("it has been running for {seconds:g} s")
def step_running(context, seconds):
    context.network.run(seconds)


@when("entry {name} starts")
@when("entry {name} starts again")
def step_start(context, name):
    context.network.start(name)


@when("entry {name} starts {seconds:g} s later")
def step_start_later(context, name, seconds):
    context.network.run(seconds)
    context.network.start(name)


@when("entry {name} starts again, and {other} with it")
def step_start_both(context, name, other):
    context.network.start(name)
    context.network.start(other)


@when("no datagrams pass between {name} and {others} for {seconds:g} s")
def step_cut(context, name, others, seconds):
    for other in split(others):
        context.network.cut(name, other)
    context.network.run(seconds)
    context.network.heal()


@then("within {seconds:g} s the entries of domain {domain} know each other")
def step_know(context, seconds, domain):
    network = context.network
    network.run(seconds)
    entries = entries_of(network, domain)
    known = {name: entry.names() for name, entry in entries.items()}
    assert all(names == entries.keys() for names in known.values()), known


@then(
    "for {seconds:g} s the entries of domain {domain} share at most {limit:d} flows a"
    " second"
)
def step_share(context, seconds, domain, limit):
    network = context.network
    network.run(ARRIVAL_S)
    for _ in range(round(seconds / STEP_S)):
        shares = {
            name: entry.warmup._quota(COLD_FLOWS_PER_S)
            for name, entry in entries_of(network, domain).items()
        }
        assert sum(shares.values()) <= limit, (network.clock.seconds(), shares)
        network.run(STEP_S)


@then("for {seconds:g} s the seed {name} sends nothing to other domains")
def step_nothing_sent(context, seconds, name):
    network = context.network
    send, sent = network.send, []

    def record(data, sender, receiver):
        if sender == network.address(name):
            sent.append(data)
        send(data, sender, receiver)

    network.send = record
    network.run(seconds)
    assert not sent, sent[:3]


def entries_of(network, domain):
    return {
        name: entry
        for name, entry in network.entries.items()
        if name.startswith(f"{domain}-")
    }
