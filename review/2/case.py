"""One unreadable entry of another writer stands among the hosts, and a host leaves."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import BOUNDS, CaseError, ResetError, Site, exit_with  # noqa: E402

LINK = "127.77.4.1", 443
DRAIN_S = BOUNDS["drainTimeoutMs"] / 1000
WATCH_OPENINGS_S = 12.0

FOREIGN_ENTRIES = {
    # A text that is not valid UTF-8.
    "bytes": b'"\xff\xfe\x80\x81"',
    # A field of another type: lists in lists in place of a text, 6 kB.
    "nested": b'{"service":' + b"[" * 3000 + b"]" * 3000 + b"}",
}


async def case(site, has_trouble):
    """Return what broke the rule, for each kind of foreign entry."""
    broken = []
    for name, text in FOREIGN_ENTRIES.items():
        site.record.write("part", foreign_entry=name)
        async with Site(site.record) as part:
            broken += await play(part, name, text, has_trouble)
    return broken


async def play(site, name, text, has_trouble):
    """Return what broke the rule with one foreign entry."""
    for number in (1, 2):
        site.add_entry("a", seeds=[site.entry_ip(3 - number)])
    leaving = await site.add_host("link", "a")
    await site.add_host("link", "a")
    client = await site.add_client("a")
    site.configure(5, {"link": (*LINK, "link")}, {"link": 2000})
    await site.wait_ready(2)
    task = asyncio.create_task(keep_asking(client))
    await asyncio.sleep(5)  # All entries are in touch: the stable window has passed.
    if not leaving.openings:
        raise CaseError("the host that leaves had no flows")
    if has_trouble:
        site.store.put("servers", "audit-1", text)
        site.record.write("foreign entry written", name="audit-1")
    await asyncio.sleep(1)
    drained_at = site.record.now()
    leaving.drain()
    await asyncio.sleep(WATCH_OPENINGS_S)
    task.cancel()
    return [
        f"{name}: {leaving.id} took an opening packet {at - drained_at:.3f} s after "
        f"the store confirmed that it drains"
        for at in leaving.openings
        if at > drained_at + DRAIN_S
    ]


async def keep_asking(client):
    """Send ten requests a second, a flow each."""
    for number in range(100_000):
        flow = client.flow(LINK)
        if await flow.open():
            try:
                await flow.ask(f"link-{number}")
            except ResetError:
                continue
            finally:
                flow.close()
        await asyncio.sleep(0.1)


exit_with(__file__, case)
