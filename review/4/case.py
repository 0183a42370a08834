"""An entry is added to a zone without a seed, and later a host starts cold there."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import BOUNDS, CaseError, ResetError, exit_with  # noqa: E402

LINK = "127.77.4.1", 443
FLOWS_PER_S = 60
WARMUP_S = 2.0
WARMUP_PER_S = 4.0
LIMIT = WARMUP_PER_S * BOUNDS["warmupBurstFactor"] + BOUNDS["warmupSlack"]
ADDED_AFTER_S = 40.0


async def case(site, has_trouble):
    """Return what broke the rule."""
    seeds = [site.entry_ip(1)]
    site.add_entry("a", seeds=seeds)
    for _ in range(2 if has_trouble else 3):
        site.add_entry("b", seeds=seeds)
    await site.add_host("link", "a")
    for _ in range(2):
        await site.add_host("link", "b")
    client = await site.add_client("b")
    site.configure(
        5, {"link": (*LINK, "link")}, {"link": 2000}, warmup_per_s=WARMUP_PER_S
    )
    await site.wait_ready(len(site.entries))
    task = asyncio.create_task(keep_asking(client))
    await asyncio.sleep(ADDED_AFTER_S)
    if has_trouble:
        site.add_entry("b", seeds=seeds)
        await site.wait_ready(4)
    await asyncio.sleep(8)  # All entries are in touch: the stable window has passed.
    cold = await site.add_host("link", "b", cold_until=time.monotonic() + WARMUP_S)
    site.record.write("cold host started", host=cold.id, limit=LIMIT)
    started_at = site.record.now()
    await asyncio.sleep(WARMUP_S + 1)
    task.cancel()
    taken = [at for at in cold.openings if at < started_at + WARMUP_S]
    if not taken:
        raise CaseError("the cold host got no flow")
    return [
        f"{sum(at <= each < at + 1 for each in taken)} opening packets reached the "
        f"cold host in the second from {at:.3f} s; its limit is {LIMIT:g}"
        for at in taken
        if sum(at <= each < at + 1 for each in taken) > LIMIT
    ]


async def keep_asking(client):
    """Send requests at an even rate, a flow each."""
    for number in range(100_000):
        asyncio.create_task(ask(client, number))
        await asyncio.sleep(1 / FLOWS_PER_S)


async def ask(client, number):
    """Send one request on a flow of its own."""
    flow = client.flow(LINK)
    try:
        if await flow.open():
            await flow.ask(f"link-{number}")
    except ResetError:
        return
    finally:
        flow.close()


exit_with(__file__, case)
