import re

from behave import given, then, when

from kumquatshift.direct.admission import Demand
from kumquatshift.direct.calls import Change, Changes, Item, Page, Revision
from kumquatshift.direct.feed import Feed, FeedTiming
from kumquatshift.direct.packets import Reason
from kumquatshift.direct.placement import Placement
from kumquatshift.direct.routes import NO_LIMITS
from kumquatshift.direct.site import Site
from kumquatshift.direct.warmup import Warmup, WarmupBounds
from kumquatshift.platform import objects
from kumquatshift.platform.feed_listeners import feed_listeners
from tests.features.steps.platform_wire_steps import CONFIGURATION, ROUTE, TARGET
from tests.support.direct_site import Recorder

FIRST_REVISION = Revision(1, 500)
COPY_REVISION = 480
TARGET_NAME = "i-0007"
REPORT = re.compile(
    r"target 7( (?P<state>ready|draining))?( of start (?P<start>\d+))?"
    r"( at report (?P<report>\d+))?"
)


class RestorableSite:
    """A site and its feeds, on a clock that the test sets."""

    def __init__(self):
        self.now = 100.0
        self.era = FIRST_REVISION.era
        self.events = Recorder()
        warmup = Warmup(WarmupBounds(1.5, 5), "a")
        self.site = Site(Placement("a", warmup), self.events)
        self.feeds = {
            kind: Feed(kind, FeedTiming(3.0), listener, self.events)
            for kind, listener in feed_listeners(self.site, self.events).items()
        }

    def list(self, text, revision):
        """Let all feeds read the list that ``text`` describes."""
        for kind, feed in self.feeds.items():
            items = tuple(
                Item(name, revision, spec)
                for each, name, spec in described(text)
                if each == kind
            )
            feed.handle_page(Page(items, False, revision), self.now)

    def restore(self, text):
        self.era += 1
        self.list(text, Revision(self.era, COPY_REVISION))

    def tell(self, text):
        """Let the feed of its kind read one change."""
        revision = Revision(self.era, COPY_REVISION + 1)
        if text == "domain b returned":
            described_change = (objects.EVACUATIONS, "b", {})
        else:
            described_change = described(text)[0]
        kind, name, spec = described_change
        change = Change(Item(name, revision, spec), text.endswith("returned"))
        self.feeds[kind].handle_changes(Changes((change,), revision), self.now)

    @property
    def target(self):
        return next(iter(self.site.targets), None)

    def picked(self):
        targets, placement = self.site.targets, self.site.placement
        service = TARGET["service"]
        found = placement.pick(targets, service, NO_LIMITS, Demand(), self.now)
        return None if isinstance(found, Reason) else found


def described(text):
    """Return (kind, name, spec) of the object that a phrase describes, if any."""
    if text == "nothing":
        return []
    if text == "domain b evacuated":
        return [(objects.EVACUATIONS, "b", {})]
    if text.startswith("configuration"):
        _, version, _, service = text.split()
        routes = [{**ROUTE, "service": service}]
        spec = {**CONFIGURATION, "version": int(version), "routes": routes}
        return [(objects.CONFIGURATIONS, objects.CONFIGURATION_NAME, spec)]
    found = REPORT.fullmatch(text)
    spec = {
        **TARGET,
        "zone": "a",
        "state": found["state"] or "ready",
        "born": int(found["start"] or 10),
        "sequence": int(found["report"] or 1),
    }
    return [(objects.TARGETS, TARGET_NAME, spec)]


@given("a site that knows {known}")
def step_known(context, known):
    context.restorable = RestorableSite()
    context.restorable.list(known, FIRST_REVISION)
    context.known_target = context.restorable.target


@when("the store is restored and lists {listed}")
def step_restored(context, listed):
    context.restorable.now += 1
    context.restorable.restore(listed)


@when("{after:g} s later the store is restored and lists {listed}")
def step_restored_again(context, after, listed):
    context.restorable.now += after
    context.restorable.restore(listed)


@when("{after:g} s later the store tells {change}")
def step_changed(context, after, change):
    context.restorable.now += after
    context.restorable.tell(change)


@then("{after:g} s later domain b is evacuated")
def step_evacuated(context, after):
    restorable = context.restorable
    restorable.now += after
    assert restorable.site.placement.is_evacuated("b", restorable.now)


@then("{after:g} s later domain b is not evacuated")
def step_not_evacuated(context, after):
    restorable = context.restorable
    restorable.now += after
    assert not restorable.site.placement.is_evacuated("b", restorable.now)


@then("{after:g} s later target 7 takes new flows")
def step_takes_flows(context, after):
    context.restorable.now += after
    assert context.restorable.picked() is not None


@then("{after:g} s later target 7 takes no new flows")
def step_takes_no_flows(context, after):
    context.restorable.now += after
    assert context.restorable.picked() is None


@then("{after:g} s later target 7 keeps its flows")
def step_keeps_flows(context, after):
    restorable = context.restorable
    restorable.now += after
    placement = restorable.site.placement
    assert not placement.is_gone(context.known_target, restorable.now)


@then("{after:g} s later target 7 is that of start {start:d}")
def step_incarnation(context, after, start):
    context.restorable.now += after
    assert context.restorable.target.incarnation == start


@then("{after:g} s later configuration {version:d} to {service}")
def step_configuration(context, after, version, service):
    restorable = context.restorable
    restorable.now += after
    routes = restorable.site.routes
    assert routes.version == version
    destination = objects.configuration_from(
        described(f"configuration {version} to {service}")[0][2]
    )
    assert routes.get(destination.routes[0].destination).shares[0].service == service
