import json

from behave import given, then, when
from returns.pipeline import is_successful

from kumquatshift.bench.exchange import NoReplyError, Reply, ReplyKind
from kumquatshift.bench.report import Imbalance, ServiceLevel, make_report
from kumquatshift.bench.requests import Path, Request, RequestCaller
from kumquatshift.bench.run import Bench
from kumquatshift.bench.site import SiteView
from kumquatshift.bench.tally import BrokenWatch, LostRequest, Tally, Unserved
from kumquatshift.settings import BenchSettings
from kumquatshift.standins import platform
from kumquatshift.standins.application import big_payload
from tests.support.waiting import result_of, result_of_coroutine, use_reactor

SIZE = 1000
BENCH_INI = """
[bench]
duration_s = {duration}
seed = 5
callers = 4
watches = 2
interval_s = 0.2
{more}
[platform]
url = {url}
[services]
{services}
"""


def settings_of(duration=3, more="", url="http://127.12.40.10:8400", services=""):
    text = BENCH_INI.format(duration=duration, more=more, url=url, services=services)
    loaded = BenchSettings.from_text(text)
    assert is_successful(loaded), loaded
    return loaded.unwrap()


def payload_of(path, ident, service):
    if path is Path.BIG:
        return big_payload(service, ident, SIZE)
    return json.dumps({"id": ident, "service": service, "target": "t1"}).encode()


@given("a request for {path}")
def step_request(context, path):
    context.req = Request("5-r-tills-1-7", "tills", True, Path(path))


@when("its answer is {answer}")
def step_answer(context, answer):
    ident, service, path = context.req.ident, context.req.service, context.req.path
    context.payload = {
        "its own": payload_of(path, ident, service),
        "that of another request": payload_of(path, "5-r-tills-1-8", service),
        "that of another service": payload_of(path, ident, "reports"),
        "cut short": payload_of(path, ident, service)[:-1],
        "empty": b"",
        "a bare number": b"7",
    }[answer]


@then("the answer is {verdict}")
def step_verdict(context, verdict):
    assert context.req.answered_by(context.payload, SIZE) == (verdict == "right")


class ScriptedExchange:
    """Gives the replies of a list, one after another."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.queries = []

    async def open(self):
        pass

    async def close(self):
        pass

    async def send(self, path, query, idempotent):
        self.queries.append(query)
        ident = query.partition("=")[2].partition("&")[0]
        reply = self.replies.pop(0)
        if reply == "silence":
            raise NoReplyError("TimeoutError")
        right = payload_of(Path(path), ident, "tills")
        return {
            "answer": Reply(ReplyKind.ANSWER, "2.05", right),
            "wrong": Reply(ReplyKind.ANSWER, "2.05", right[:-1]),
            "refusal": Reply(ReplyKind.REFUSAL, "5.03", retry_s=0.01),
            "unknown": Reply(ReplyKind.UNKNOWN, "5.04"),
            "error": Reply(ReplyKind.ERROR, "4.04"),
        }[reply]


@given("a caller whose service replies {replies}")
def step_caller(context, replies):
    context.tally = Tally()
    context.exchange = ScriptedExchange(replies.split(", "))
    load = settings_of(more=f"big_bytes = {SIZE}").bench
    context.caller = RequestCaller(
        "r-tills-1",
        "tills",
        context.exchange,
        load,
        context.tally,
        use_reactor(context),
    )


@when("the caller sends one request")
def step_send_one(context):
    caller = context.caller
    result_of_coroutine(caller.send_until_done(caller.next_request()))


@then("the tally has {counts}")
def step_tally(context, counts):
    found = {name: count for (name, _), count in context.tally.counts.items()}
    if context.tally.lost:
        found["lost"] = len(context.tally.lost)
    wanted = {}
    for part in counts.split(", "):
        name, _, count = part.rpartition(" ")
        wanted[name] = int(count)
    assert found == wanted, found


@then("the request was sent {sent:d} times with the same id")
def step_sent(context, sent):
    assert len(context.exchange.queries) == sent
    assert len(set(context.exchange.queries)) == 1


def empty_dump(service):
    dump = {"posts": {}, "gets": {}, "run_times_s": [], "arrivals": [], "counters": {}}
    return {"service": service, **dump}


def target_item(name, service, domain):
    body = {"service": service, "domain": domain, "host": "127.12.42.1"}
    return {"kind": "target", "name": name, "body": body}


def domain_item(name, state):
    return {"kind": "domain", "name": name, "body": {"state": state}}


@given("a run that was clean, with a domain out from 100 s to 110 s")
def step_clean_run(context):
    context.tally = Tally()
    context.tally.answered("tills", 105, 0.01)
    context.view = SiteView({"tills", "web"})
    targets = [
        target_item("t1", "tills", "north-a"),
        target_item("t2", "tills", "north-b"),
        target_item("w1", "web", "north-a"),
        target_item("w2", "web", "north-b"),
    ]
    for second, state in ((99.9, "in"), (100, "out"), (110, "out"), (110.1, "in")):
        items = [*targets, domain_item("north-a", "in"), domain_item("north-b", state)]
        context.view.merge_objects(items, second, second)
    context.dumps = {
        name: empty_dump(known.service) for name, known in context.view.targets.items()
    }


def lose(context, service="tills", target="", ran=""):
    req = LostRequest("5-r-1", service, 99, 114, target, "TimeoutError")
    context.tally.lost.append(req)
    if ran:
        context.dumps[ran]["posts"]["5-r-1"] = 1


def break_watch(context, target, second):
    watch = BrokenWatch("tills", target, 90, second - 1, second, "silent")
    context.tally.broken.append(watch)


def run_twice(context, kind, ident):
    for name in ("t1", "t2"):
        context.dumps[name][kind][ident] = 1


def arrive(context, target, second):
    context.dumps[target]["arrivals"].append([second, "127.12.41.1", "a caller"])


def retire(context, target, delay_s):
    context.view.retired_s[target] = 50
    context.dumps[target]["run_times_s"].append(50 + delay_s)


def fail(context, second, is_unknown):
    unserved = Unserved("5-r-1", second, "4.08", is_unknown)
    context.tally.unserved.append(unserved)


HAPPENINGS = {
    "nothing else happened": lambda c: None,
    "a wrong answer came": lambda c: c.tally.wrong.append("5-r-1"),
    "a request was lost": lose,
    "a request that the domain's target ran was lost": lambda c: lose(c, ran="t2"),
    "a request that another target ran was lost": lambda c: lose(c, ran="t1"),
    "a request on a connection to the domain was lost": lambda c: lose(c, "web", "w2"),
    "a request on a connection elsewhere was lost": lambda c: lose(c, "web", "w1"),
    "a watch of the domain broke at 105 s": lambda c: break_watch(c, "t2", 105),
    "a watch of the domain broke at 95 s": lambda c: break_watch(c, "t2", 95),
    "a watch of the domain broke at 130 s": lambda c: break_watch(c, "t2", 130),
    "a watch of another domain broke at 105 s": lambda c: break_watch(c, "t1", 105),
    "a post ran on two targets": lambda c: run_twice(c, "posts", "5-r-1"),
    "a post of an earlier run ran on two targets": lambda c: run_twice(
        c, "posts", "4-r-1"
    ),
    "a get ran on two targets": lambda c: run_twice(c, "gets", "5-r-1"),
    "the domain got a packet at 102 s": lambda c: arrive(c, "t2", 102),
    "the domain got a packet at 104 s": lambda c: arrive(c, "t2", 104),
    "the domain got a packet at 111 s": lambda c: arrive(c, "t2", 111),
    "another domain got a packet at 104 s": lambda c: arrive(c, "t1", 104),
    "a retired target ran a request after 2 s": lambda c: retire(c, "t1", 2),
    "a retired target ran a request after 4 s": lambda c: retire(c, "t1", 4),
    "a retired target kept a connection busy after 4 s": lambda c: retire(c, "w1", 4),
    "an error came for a request sent at 100 s": lambda c: fail(c, 100, False),
    "an error came for a request sent at 90 s": lambda c: fail(c, 90, False),
    "an unknown outcome came for a request sent at 90 s": lambda c: fail(c, 90, True),
    "a target's dump could not be read": lambda c: c.dumps.pop("t1"),
    "no request was answered": lambda c: c.tally.counts.clear(),
}


@when("it also saw that {happening}")
def step_happening(context, happening):
    HAPPENINGS[happening](context)


@then("the broken rules are {rules}")
def step_rules(context, rules):
    load = settings_of().bench
    report = make_report(context.tally, context.view, context.dumps, load, {"web"})
    assert report.broken_rules() == ([] if rules == "none" else [rules])
    assert json.dumps(report.as_mapping()) and report.table()


@when("a request sent at {second:d} s was answered and one was lost")
def step_around(context, second):
    context.tally.answered("tills", second, 0.02)
    lost = LostRequest("5-r-1", "tills", second, second + 15, "", "TimeoutError")
    context.tally.lost.append(lost)


@then("{count:d} requests were sent while the domain moved, {share:g} of them answered")
def step_service(context, count, share):
    moves = ServiceLevel.around_moves(context.tally, context.view)
    assert moves.requests == count, moves
    assert abs(moves.answered_share - share) < 0.001, moves


@when("the load tool saw {seen} of a domain")
def step_seen(context, seen):
    context.view = SiteView({"tills"})
    for second, state in enumerate(seen.split()):
        if state != "miss":
            items = [domain_item("north-a", state)]
            context.view.merge_objects(items, second, second)


@then("its outages are {outages}")
def step_outages(context, outages):
    found = " ".join(f"{it.since_s}-{it.until_s}" for it in context.view.outages)
    assert (found or "none") == outages, found


@given("targets of one service that ran {first:d}, {second:d} and {third:d} requests")
def step_ran(context, first, second, third):
    context.imbalance = Imbalance.from_counts("tills", [first, second, third])


@then("the imbalance is {ratio:f} and {variation:f}")
def step_imbalance(context, ratio, variation):
    assert abs(context.imbalance.max_to_mean - ratio) < 0.005
    assert abs(context.imbalance.variation - variation) < 0.005


@given("a platform with the site's objects")
def step_platform(context):
    settings = platform.PlatformSettings(address=context.site.host(0, 10))
    server = platform.serve(settings, use_reactor(context))
    context.add_cleanup(lambda: result_of(server.stop()))
    context.url = f"http://{settings.address}:{settings.port}"
    for name, target in context.site.targets.items():
        body = {
            "service": target.settings.service,
            "domain": "north-a",
            "host": target.settings.address,
        }
        server.api.store.put(("target", name), 0, "", body)
    server.api.store.put(("domain", "north-a"), 0, "", {"state": "in"})


@when("the load tool runs for {duration:d} seconds")
def step_run(context, duration, more="post_share = 0.5"):
    services = context.site.service_lines()
    settings = settings_of(duration, more, context.url, services)
    bench = Bench(settings, use_reactor(context))
    context.report = result_of_coroutine(bench.run(), duration + 15)
    context.tally = bench.tally


@then("it sent requests to both services, all were answered, and watches stayed")
def step_whole_run(context):
    report = context.report
    assert not report.broken_rules(), report
    sent = [context.tally.counts["sent", name] for name in ("tills", "web")]
    assert min(sent) > 10, sent
    assert report.answered + report.given_up == report.sent
    assert (report.watches_opened, report.watches_broken) == (2, {})
    assert report.notifications >= 4
    assert report.p50_ms > 0


@when(
    "all entries die {early:g} seconds before the end of a load of {duration:d} seconds"
)
def step_run_and_die(context, early, duration):
    def die():
        while context.site.entries:
            context.site.entries.popitem()[1].stop()

    use_reactor(context).callLater(duration - early, die)
    step_run(context, duration, "silence_s = 2\nrequest_timeout_s = 1")


@then("it reports {count:d} watches as silent")
def step_silent(context, count):
    assert context.report.watches_broken == {"silent": count}, context.report
