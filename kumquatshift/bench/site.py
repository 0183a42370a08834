"""What the platform and the targets say of the system under load."""

import json
from collections.abc import Set
from dataclasses import dataclass, field

import treq

from ..engine.objects import DomainState, Kind, TargetState

TIMEOUT_S = 2.0
ADMIN_PORT = 7300


@dataclass
class Outage:
    """One time for which operators had a domain out, in seconds since the epoch.

    It began after ``after_s``, when the domain was last seen in service, and by
    ``since_s``. ``until_s`` is the last moment at which it was seen to be out.
    """

    domain: str
    after_s: float
    since_s: float
    until_s: float


@dataclass(frozen=True)
class KnownTarget:
    """Where a target is; ``host`` has its admin port."""

    name: str
    service: str
    domain: str
    host: str


@dataclass
class SiteView:
    """Targets of ``services`` and domains, as the platform had them in the run.

    ``retired_s`` tells of each target that is retired since when it was seen so.
    """

    services: Set[str]
    targets: dict[str, KnownTarget] = field(default_factory=dict)
    outages: list[Outage] = field(default_factory=list)
    out_now: dict[str, Outage] = field(default_factory=dict)
    retired_s: dict[str, float] = field(default_factory=dict)
    seen_s: float | None = None

    def take_in(self, items, asked_s, answered_s):
        """Merge the platform's list of objects, asked for at ``asked_s``."""
        for item in items:
            if item.get("deleted") or not item.get("body"):
                continue
            if item["kind"] == Kind.TARGET:
                self._see_target(item["name"], item["body"], answered_s)
            elif item["kind"] == Kind.DOMAIN:
                state = item["body"].get("state", DomainState.IN)
                is_out = state == DomainState.OUT
                self._see_domain(item["name"], is_out, asked_s, answered_s)
        self.seen_s = asked_s

    def _see_target(self, name, body, answered_s):
        service = body["service"]
        if service not in self.services:
            return
        self.targets[name] = KnownTarget(name, service, body["domain"], body["host"])
        if body.get("state", TargetState.ADMITTED) == TargetState.RETIRED:
            self.retired_s.setdefault(name, answered_s)
        else:
            self.retired_s.pop(name, None)

    def _see_domain(self, name, is_out, asked_s, answered_s):
        outage = self.out_now.get(name)
        if not is_out:
            self.out_now.pop(name, None)
        elif outage is None:
            after_s = asked_s if self.seen_s is None else self.seen_s
            outage = Outage(name, after_s, answered_s, asked_s)
            self.out_now[name] = outage
            self.outages.append(outage)
        else:
            outage.until_s = asked_s

    def was_out(self, target, since_s, until_s):
        """Tell whether the target's domain may have been out at a time in between."""
        known = self.targets.get(target)
        return known is not None and any(
            outage.domain == known.domain
            and outage.after_s <= until_s
            and outage.until_s >= since_s
            for outage in self.outages
        )


async def fetch_json(url, reactor):
    """Fetch one JSON document; raise when the answer is not 200."""
    response = await treq.get(url, timeout=TIMEOUT_S, persistent=False, reactor=reactor)
    body = await treq.content(response)
    if response.code != 200:
        raise ConnectionError(f"{url} answered {response.code}")
    return json.loads(body)


async def fetch_objects(platform, reactor):
    """Fetch all objects from the platform."""
    return (await fetch_json(f"{platform}/v1/objects", reactor))["items"]


async def fetch_dump(host, reactor):
    """Fetch the dump of the process at ``host``."""
    return await fetch_json(f"http://{host}:{ADMIN_PORT}/dump", reactor)
