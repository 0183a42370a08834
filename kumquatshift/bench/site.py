"""State of the system under load, as reported by the platform and the targets."""

import json
from collections.abc import Set
from dataclasses import dataclass, field

import treq

from ..engine.objects import DomainState, Kind, TargetState

TIMEOUT_S = 2.0
ADMIN_PORT = 7300


@dataclass
class Outage:
    """A period during which a domain was out, in seconds since the epoch.

    It started between ``after_s``, when the domain was last seen in service, and
    ``since_s``, when it was first seen out. ``until_s`` is when it was last seen out.
    """

    domain: str
    after_s: float
    since_s: float
    until_s: float


@dataclass(frozen=True)
class KnownTarget:
    """Location of a target; ``host`` is the address of its admin port."""

    name: str
    service: str
    domain: str
    host: str


@dataclass
class SiteView:
    """Targets of ``services`` and domains, as polled from the platform in the run.

    ``retired_s`` maps each retired target to the time when it was first seen so.
    """

    services: Set[str]
    targets: dict[str, KnownTarget] = field(default_factory=dict)
    outages: list[Outage] = field(default_factory=list)
    open_outages: dict[str, Outage] = field(default_factory=dict)
    retired_s: dict[str, float] = field(default_factory=dict)
    last_asked_s: float | None = None

    def merge_objects(self, items, asked_s, answered_s):
        """Merge the list of objects that was requested at ``asked_s``."""
        for item in items:
            if item.get("deleted") or not item.get("body"):
                continue
            if item["kind"] == Kind.TARGET:
                self._update_target(item["name"], item["body"], answered_s)
            elif item["kind"] == Kind.DOMAIN:
                state = item["body"].get("state", DomainState.IN)
                is_out = state == DomainState.OUT
                self._update_domain(item["name"], is_out, asked_s, answered_s)
        self.last_asked_s = asked_s

    def _update_target(self, name, body, answered_s):
        service = body["service"]
        if service not in self.services:
            return
        self.targets[name] = KnownTarget(name, service, body["domain"], body["host"])
        if body.get("state", TargetState.ADMITTED) == TargetState.RETIRED:
            self.retired_s.setdefault(name, answered_s)
        else:
            self.retired_s.pop(name, None)

    def _update_domain(self, name, is_out, asked_s, answered_s):
        outage = self.open_outages.get(name)
        if not is_out:
            self.open_outages.pop(name, None)
        elif outage is None:
            after_s = asked_s if self.last_asked_s is None else self.last_asked_s
            outage = Outage(name, after_s, answered_s, asked_s)
            self.open_outages[name] = outage
            self.outages.append(outage)
        else:
            outage.until_s = asked_s

    def was_out(self, target, since_s, until_s):
        """Return whether the domain of a target may have been out in this period."""
        known = self.targets.get(target)
        return known is not None and any(
            outage.domain == known.domain
            and outage.after_s <= until_s
            and outage.until_s >= since_s
            for outage in self.outages
        )


async def fetch_json(url, reactor):
    """Fetch one JSON document; raise ConnectionError if the status is not 200."""
    response = await treq.get(url, timeout=TIMEOUT_S, persistent=False, reactor=reactor)
    body = await treq.content(response)
    if response.code != 200:
        raise ConnectionError(f"{url} returned status {response.code}, expected 200")
    return json.loads(body)


async def fetch_objects(platform, reactor):
    """Fetch all objects from the platform."""
    return (await fetch_json(f"{platform}/v1/objects", reactor))["items"]


async def fetch_dump(host, reactor):
    """Fetch the dump of the process at ``host``."""
    return await fetch_json(f"http://{host}:{ADMIN_PORT}/dump", reactor)
