"""A manifest of many routes changes in storms; memory over the limit ends processes."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import CaseError, exit_with  # noqa: E402

ENTRIES = 2
ROUTES = 1400
MEMORY_MB = 139
STORM_S = 4.5
STORM_GAP_S = 0.154
PAUSE_S = 0.5
RESTART_S = 0.5
LENGTH_S = 100.0

# The rule: this many ends on this many machines.
ENDS = 3
MACHINES = 2


class Platform:
    """Ends processes that use too much memory, and starts them again."""

    def __init__(self, site):
        self.ends = {entry.name: [] for entry in site.entries}
        self._site = site

    @property
    def is_rule_broken(self):
        """Whether enough processes ended often enough."""
        often = [name for name, ends in self.ends.items() if len(ends) >= ENDS]
        return len(often) >= MACHINES

    async def run(self, entry):
        """Watch over the process of one entry."""
        record = self._site.record
        while True:
            status = entry.process.poll()
            if status is not None:
                raise CaseError(f"{entry.name} ended with {status}")
            used_mb = resident_mb(entry.process.pid)
            record.write("memory", entry=entry.name, mb=round(used_mb, 1))
            if used_mb > MEMORY_MB:
                entry.end()
                record.write("killed", entry=entry.name, mb=round(used_mb, 1))
                self.ends[entry.name].append(
                    f"{record.now():.1f} s: {entry.name} used {used_mb:.0f} MB, over "
                    f"its limit of {MEMORY_MB} MB, and was killed"
                )
                await asyncio.sleep(RESTART_S)
                entry.start()
            await asyncio.sleep(0.5)


async def case(site, has_trouble):
    """Return what broke the rule."""
    for number in range(1, ENTRIES + 1):
        site.add_entry("a", seeds=[site.entry_ip(ENTRIES + 1 - number)])
    for _ in range(2):
        await site.add_host("link", "a")
    routes = {
        f"link-{n}": (f"127.77.4.{1 + n % 200}", 400 + n // 200, "link")
        for n in range(ROUTES)
    }
    site.configure(1, routes, {"link": 2000})
    await site.wait_ready(ENTRIES)
    platform = Platform(site)
    watches = [asyncio.create_task(platform.run(entry)) for entry in site.entries]
    ends_at = time.monotonic() + LENGTH_S
    version = 1
    while time.monotonic() < ends_at and not platform.is_rule_broken:
        storm_ends_at = time.monotonic() + STORM_S
        while has_trouble and time.monotonic() < storm_ends_at:
            version += 1
            # A version that changes the time-outs of all routes.
            site.configure(version, routes, {"link": 2000}, timeout_ms=2000 + version)
            site.record.write("manifest confirmed", version=version)
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.sleep(PAUSE_S)
    for watch in watches:
        if watch.done():
            watch.result()
        watch.cancel()
    if not platform.is_rule_broken:
        return []
    return [end for ends in platform.ends.values() for end in ends]


def resident_mb(pid):
    """Return the resident memory of a process."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(each for each in text.splitlines() if each.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


exit_with(__file__, case)
