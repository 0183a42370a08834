"""A manifest of many routes changes in storms; memory over the limit ends a process."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import CaseError, exit_with  # noqa: E402

ROUTES = 1400
MEMORY_MB = 139
STORM_S = 4.0
STORM_GAP_S = 0.33
PAUSE_S = 1.0
LENGTH_S = 95.0


async def case(site, has_trouble):
    """Return what broke the rule."""
    broken = []
    for number in (1, 2):
        site.add_entry("a", seeds=[site.entry_ip(3 - number)])
    for _ in range(2):
        await site.add_host("link", "a")
    routes = {
        f"link-{n}": (f"127.77.4.{1 + n % 200}", 400 + n // 200, "link")
        for n in range(ROUTES)
    }
    site.configure(1, routes, {"link": 2000})
    await site.wait_ready(2)
    memory = asyncio.create_task(enforce_limit(site, broken))
    started = time.monotonic()
    version = 1
    while time.monotonic() < started + LENGTH_S and not broken:
        storm_ends_at = time.monotonic() + STORM_S
        while has_trouble and time.monotonic() < storm_ends_at:
            version += 1
            # A version that changes a time-out of all routes.
            site.configure(version, routes, {"link": 2000}, timeout_ms=2000 + version)
            site.record.write("manifest confirmed", version=version)
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.sleep(PAUSE_S)
    if memory.done():
        memory.result()
    memory.cancel()
    return broken


async def enforce_limit(site, broken):
    """End processes over the limit, as the platform does."""
    while True:
        for entry in site.entries:
            status = entry.process.poll()
            if status is not None:
                if not any(entry.name in each for each in broken):
                    raise CaseError(f"{entry.name} ended with {status}")
                continue
            used_mb = resident_mb(entry.process.pid)
            site.record.write("memory", entry=entry.name, mb=round(used_mb, 1))
            if used_mb > MEMORY_MB:
                entry.end()
                broken.append(
                    f"{site.record.now():.1f} s: {entry.name} uses {used_mb:.0f} MB, "
                    f"over its limit of {MEMORY_MB} MB, and is killed"
                )
        await asyncio.sleep(1)


def resident_mb(pid):
    """Return the resident memory of a process."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(each for each in text.splitlines() if each.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


exit_with(__file__, case)
