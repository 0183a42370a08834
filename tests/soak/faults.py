"""Faults of the soak.

Each function starts a fault and returns a function that ends it; the soak calls that
a few seconds later.
"""

import signal
from collections.abc import Callable

from kumquatshift.standins.metadata_store import StoreFaults

from .site import DOMAINS, SoakSite

GRACE_S = 6.0
RESTART_S = 0.4


def _random_entry(site: SoakSite):
    return site.rng.choice(site.entries)


def kill_entry(site: SoakSite) -> Callable[[], None]:
    """Kill one entry; the soak restarts it."""
    entry = _random_entry(site)
    site.signal(entry, signal.SIGKILL)
    return lambda: None


def kill_all(site: SoakSite) -> Callable[[], None]:
    """Kill all entries at the same moment."""
    for entry in site.entries:
        site.signal(entry, signal.SIGKILL)
    return lambda: None


def stop_entry(site: SoakSite) -> Callable[[], None]:
    """Send SIGTERM to one entry; kill it if it still runs after `GRACE_S`."""
    entry = _random_entry(site)
    process = entry.process
    site.signal(entry, signal.SIGTERM)
    site.reactor.callLater(GRACE_S, process.kill)
    return lambda: None


def freeze_entry(site: SoakSite) -> Callable[[], None]:
    """Suspend one entry's process."""
    entry = _random_entry(site)
    site.signal(entry, signal.SIGSTOP)
    entry.is_frozen = True

    def resume():
        entry.is_frozen = False
        site.signal(entry, signal.SIGCONT)

    return resume


def reload_entries(site: SoakSite) -> Callable[[], None]:
    """Make all entries reload their settings."""
    for entry in site.entries:
        if entry.process.poll() is None:
            entry.process.send_signal(signal.SIGHUP)
    return lambda: None


def silence_target(site: SoakSite) -> Callable[[], None]:
    """Make a target unresponsive.

    The platform removes it after three missed heartbeats.
    """
    target = site.rng.choice(
        [t for t in site.targets.values() if not t.flows.is_unresponsive]
    )
    target.flows.is_unresponsive = True
    target.disturbed_at = float("inf")
    site.reactor.callLater(2.1, site.writers.delete, "servers", target.name)
    return lambda: site.add_target(target.service, target.domain)


def drain_target(site: SoakSite) -> Callable[[], None]:
    """Replace a target: start another one, drain this one and stop it."""
    candidates = [
        t
        for t in site.targets.values()
        if t.drain_started_at is None and not t.flows.is_unresponsive
    ]
    target = site.rng.choice(candidates)
    site.add_target(target.service, target.domain)
    target.drain_started_at = site.now()
    site.report(target)

    def end():
        target.flows.is_unresponsive = True
        target.disturbed_at = float("inf")
        site.writers.delete("servers", target.name)

    site.reactor.callLater(6.0, end)
    return lambda: None


def lose_packets(site: SoakSite) -> Callable[[], None]:
    """Lose 3 % of the packets."""
    site.loss = 0.03
    return lambda: setattr(site, "loss", 0.0)


def delay_packets(site: SoakSite) -> Callable[[], None]:
    """Delay packets by up to 30 ms, which reorders them."""
    site.delay_s = 0.03
    return lambda: setattr(site, "delay_s", 0.0)


def cut_domain(site: SoakSite) -> Callable[[], None]:
    """Drop all packets to the targets of a domain."""
    domain = site.rng.choice(DOMAINS)
    site.unreachable_domains.add(domain)

    def restore():
        site.unreachable_domains.discard(domain)
        for target in site.targets.values():
            if target.domain == domain:
                target.disturbed_at = max(target.disturbed_at, site.now())

    for target in site.targets.values():
        if target.domain == domain:
            target.disturbed_at = max(target.disturbed_at, site.now() + 60)
    return restore


def trouble_store(site: SoakSite) -> Callable[[], None]:
    """Make the store fail in a random way, for all entries or for half of them."""
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
    site.store_disturbed_at = float("inf")

    def recover():
        site.api.faults = StoreFaults()
        site.store_disturbed_at = site.now()

    return recover


def _random_entries(site: SoakSite):
    """Return a random selection of at least one entry."""
    return site.rng.sample(site.entries, site.rng.randint(1, len(site.entries)))


def hush_connections(site: SoakSite) -> Callable[[], None]:
    """Stall open connections to the store permanently; new ones work."""
    for entry in _random_entries(site):
        entry.proxy.silence()
        entry.disturbed_at = site.now()
    return lambda: None


def hush_before_change(site: SoakSite) -> Callable[[], None]:
    """Stall all open connections to the store permanently, just before a change."""
    for entry in site.entries:
        entry.proxy.silence()
        entry.disturbed_at = site.now()
    site.reactor.callLater(site.rng.uniform(0, 1.0), site.write_configuration)
    return lambda: None


def reset_connections(site: SoakSite) -> Callable[[], None]:
    """Reset open connections to the store."""
    for entry in _random_entries(site):
        entry.proxy.reset()
        entry.disturbed_at = site.now()
    return lambda: None


def delay_connections(site: SoakSite) -> Callable[[], None]:
    """Delay data between entries and the store by up to 0.3 s in each direction."""
    return _set_on_proxies(site, "delay_s", site.rng.uniform(0.05, 0.3), 0.0)


def cut_store_one_way(site: SoakSite) -> Callable[[], None]:
    """Drop what the store sends to entries; it still receives their requests."""
    return _set_on_proxies(site, "drop_replies", True, False)


def _set_on_proxies(site: SoakSite, name: str, value, normal) -> Callable[[], None]:
    entries = _random_entries(site)
    for entry in entries:
        setattr(entry.proxy, name, value)
        entry.disturbed_at = float("inf")

    def restore():
        for entry in entries:
            setattr(entry.proxy, name, normal)
            entry.disturbed_at = site.now()

    return restore


def forget_history(site: SoakSite) -> Callable[[], None]:
    """Discard the store's history and abort its watches."""
    site.api.compact()
    return lambda: None


def restore_store(site: SoakSite) -> Callable[[], None]:
    """Take a copy of the store, and return to it later.

    What was written meanwhile is written again within two seconds.
    """
    copy = site.api.store.copy()

    def restore():
        site.api.restore(copy)
        site.store_disturbed_at = max(site.store_disturbed_at, site.now())
        site.reactor.callLater(site.rng.uniform(0.1, 1.8), site.writers.repeat)

    return restore


def change_configuration(site: SoakSite) -> Callable[[], None]:
    """Write the next version of the configuration."""
    site.write_configuration()
    return lambda: None


def evacuate(site: SoakSite) -> Callable[[], None]:
    """Evacuate a domain, and return it to service later."""
    domain = site.rng.choice(DOMAINS)
    site.writers.put("evacuations", domain, {})
    return lambda: site.writers.delete("evacuations", domain)


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
    hush_before_change,
    reset_connections,
    delay_connections,
    cut_store_one_way,
    forget_history,
    restore_store,
    change_configuration,
    evacuate,
)
