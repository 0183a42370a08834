"""Users press beyond the connection limit of the hosts for three seconds."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import CaseError, ResetError, exit_with  # noqa: E402

LINK = "127.77.4.1", 443
DESK = "127.77.4.2", 443
MAX_CONNS = 20
USERS = 36
BURST_X = 1.7
BURST_S = 3.0
TRIES = 3


async def case(site, has_trouble):
    """Return what broke the rule."""
    broken = []
    for number in (1, 2):
        site.add_entry("a", seeds=[site.entry_ip(3 - number)])
    links = [await site.add_host("link", "a", max_conns=MAX_CONNS) for _ in (1, 2)]
    await site.add_host("desk", "a")
    client = await site.add_client("a")
    site.configure(
        5,
        {"link": (*LINK, "link"), "desk": (*DESK, "desk")},
        {"link": MAX_CONNS, "desk": 2000},
    )
    await site.wait_ready(2)
    await asyncio.sleep(5)  # All entries are in touch: the stable window has passed.

    def note_reset(flow, by, host):
        if by == "system" and host is not None:
            broken.append(
                f"{site.record.now():.3f} s: open flow from port {flow.port}, held by "
                f"{host.id}, which is alive, was reset by the system"
            )

    site.reset_listeners.append(note_reset)
    tasks = [asyncio.create_task(keep_asking_desk(client))]
    tasks += [asyncio.create_task(keep_flow(client, n)) for n in range(USERS)]
    await asyncio.sleep(10)
    if sum(len(host.flows) for host in links) != USERS:
        raise CaseError("the usual users have no flows")
    if has_trouble:
        site.record.write("burst", users=round(USERS * (BURST_X - 1)))
        burst = range(round(USERS * (BURST_X - 1)))
        late = [
            asyncio.create_task(press(client, BURST_S * n / len(burst))) for n in burst
        ]
        await asyncio.sleep(BURST_S)
        site.record.write("burst over")
        for task in late:
            task.cancel()
    await asyncio.sleep(8)
    for task in tasks:
        task.cancel()
    return broken


async def keep_flow(client, number):
    """Keep a flow to a link host open, with pauses between requests."""
    await asyncio.sleep(0.1 * number)
    for turn in range(1000):
        flow = client.flow(LINK)
        if await flow.open():
            try:
                for each in range(1000):
                    await flow.ask(f"link-{number}-{turn}-{each}")
                    await flow.wait_reset(random.uniform(8, 12))
            except ResetError:
                continue
        await asyncio.sleep(1)


async def keep_asking_desk(client):
    """Send ten requests a second to the other service, a flow each."""
    for number in range(100_000):
        flow = client.flow(DESK)
        if await flow.open():
            try:
                await flow.ask(f"desk-{number}")
            except ResetError:
                continue
            finally:
                flow.close()
        await asyncio.sleep(0.1)


async def press(client, after_s):
    """Open a flow as one of the users who come at once, with two retries."""
    await asyncio.sleep(after_s)
    for _ in range(TRIES):
        flow = client.flow(LINK)
        if await flow.open():
            await flow.ask(f"burst-{flow.port}")
            await asyncio.sleep(60)
        flow.close()


exit_with(__file__, case)
