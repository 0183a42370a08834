"""Faults of the soak: each is begun, and ended some seconds later."""

import signal
from collections.abc import Callable

from kumquatshift.standins.metadata_store import StoreFaults

from .site import DOMAINS, SoakSite

GRACE_S = 6.0
RESTART_S = 0.4


def _entry(site: SoakSite):
    return site.rng.choice(site.entries)


def kill_entry(site: SoakSite) -> Callable[[], None]:
    """Kill one entry; it is started again at once."""
    entry = _entry(site)
    site.signal(entry, signal.SIGKILL)
    return lambda: None


def kill_all(site: SoakSite) -> Callable[[], None]:
    """Kill all entries at the same moment."""
    for entry in site.entries:
        site.signal(entry, signal.SIGKILL)
    return lambda: None


def stop_entry(site: SoakSite) -> Callable[[], None]:
    """Tell one entry to stop; what is left after the grace period is killed."""
    entry = _entry(site)
    process = entry.process
    site.signal(entry, signal.SIGTERM)
    site.reactor.callLater(GRACE_S, process.kill)
    return lambda: None


def freeze_entry(site: SoakSite) -> Callable[[], None]:
    """Let one entry stand still."""
    entry = _entry(site)
    site.signal(entry, signal.SIGSTOP)
    entry.is_frozen = True

    def thaw():
        entry.is_frozen = False
        site.signal(entry, signal.SIGCONT)

    return thaw


def reload_entries(site: SoakSite) -> Callable[[], None]:
    """Tell all entries that their settings have changed."""
    for entry in site.entries:
        if entry.process.poll() is None:
            entry.process.send_signal(signal.SIGHUP)
    return lambda: None


def silence_target(site: SoakSite) -> Callable[[], None]:
    """Let a target go silent; the platform drops it after three heartbeats."""
    target = site.rng.choice([t for t in site.targets.values() if not t.flows.is_dark])
    target.flows.is_dark = True
    target.disturbed_at = float("inf")
    site.reactor.callLater(2.1, site.api.delete, "servers", target.name)
    return lambda: site.add_target(target.service, target.domain)


def drain_target(site: SoakSite) -> Callable[[], None]:
    """Replace a target: another starts, this one drains and ends."""
    able = [
        t for t in site.targets.values() if t.drained_at is None and not t.flows.is_dark
    ]
    target = site.rng.choice(able)
    site.add_target(target.service, target.domain)
    target.drained_at = site.now()
    site.report(target)

    def end():
        target.flows.is_dark = True
        target.disturbed_at = float("inf")
        site.api.delete("servers", target.name)

    site.reactor.callLater(6.0, end)
    return lambda: None


def lose_packets(site: SoakSite) -> Callable[[], None]:
    """Lose one packet in thirty."""
    site.loss = 0.03
    return lambda: setattr(site, "loss", 0.0)


def delay_packets(site: SoakSite) -> Callable[[], None]:
    """Delay packets by up to 30 ms, so that they overtake each other."""
    site.delay_s = 0.03
    return lambda: setattr(site, "delay_s", 0.0)


def cut_domain(site: SoakSite) -> Callable[[], None]:
    """Let nothing reach the targets of a domain."""
    domain = site.rng.choice(DOMAINS)
    site.cut.add(domain)

    def heal():
        site.cut.discard(domain)
        for target in site.targets.values():
            if target.domain == domain:
                target.disturbed_at = max(target.disturbed_at, site.now())

    for target in site.targets.values():
        if target.domain == domain:
            target.disturbed_at = max(target.disturbed_at, site.now() + 60)
    return heal


def trouble_store(site: SoakSite) -> Callable[[], None]:
    """Let the store fail in one of its ways, for all or for some entries."""
    faults = site.rng.choice(
        [
            StoreFaults(refuse=503),
            StoreFaults(refuse=429),
            StoreFaults(silent=True),
            StoreFaults(reset=True),
            StoreFaults(latency_s=0.4),
        ]
    )
    if site.rng.random() < 0.5:
        some = site.rng.sample(site.entries, len(site.entries) // 2)
        faults.only = frozenset(entry.host for entry in some)
    site.api.faults = faults
    site.store_troubled_at = float("inf")

    def mend():
        site.api.faults = StoreFaults()
        site.store_troubled_at = site.now()

    return mend


def _some(site: SoakSite):
    """Draw from one entry to all of them."""
    return site.rng.sample(site.entries, site.rng.randint(1, len(site.entries)))


def hush_connections(site: SoakSite) -> Callable[[], None]:
    """Let open connections to the store go silent for good; new ones work."""
    for entry in _some(site):
        entry.proxy.hush()
        entry.disturbed_at = site.now()
    return lambda: None


def reset_connections(site: SoakSite) -> Callable[[], None]:
    """Reset open connections to the store."""
    for entry in _some(site):
        entry.proxy.reset()
        entry.disturbed_at = site.now()
    return lambda: None


def delay_connections(site: SoakSite) -> Callable[[], None]:
    """Delay what entries and the store send each other, by up to 0.3 s a way."""
    return _hold(site, "delay_s", site.rng.uniform(0.05, 0.3), 0.0)


def cut_store_one_way(site: SoakSite) -> Callable[[], None]:
    """Let the store hear entries, and not be heard by them."""
    return _hold(site, "cut_back", True, False)


def _hold(site: SoakSite, name: str, value, healed) -> Callable[[], None]:
    entries = _some(site)
    for entry in entries:
        setattr(entry.proxy, name, value)
        entry.disturbed_at = float("inf")

    def heal():
        for entry in entries:
            setattr(entry.proxy, name, healed)
            entry.disturbed_at = site.now()

    return heal


def forget_history(site: SoakSite) -> Callable[[], None]:
    """Let the store forget its history, and cut its watches."""
    site.api.compact()
    return lambda: None


def change_configuration(site: SoakSite) -> Callable[[], None]:
    """Write the next version."""
    site.write_configuration()
    return lambda: None


def evacuate(site: SoakSite) -> Callable[[], None]:
    """Take a domain out, and bring it back."""
    domain = site.rng.choice(DOMAINS)
    site.api.put("evacuations", domain, {})
    return lambda: site.api.delete("evacuations", domain)


FAULTS = (
    kill_entry,
    kill_all,
    stop_entry,
    freeze_entry,
    reload_entries,
    silence_target,
    drain_target,
    lose_packets,
    delay_packets,
    cut_domain,
    trouble_store,
    hush_connections,
    reset_connections,
    delay_connections,
    cut_store_one_way,
    forget_history,
    change_configuration,
    evacuate,
)
