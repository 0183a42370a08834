"""What the load tool is started with."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields

from kumquatshift.standins.fabric import UDP, ListenAddress
from kumquatshift.standins.packets import Endpoint


@dataclass(frozen=True)
class Load:
    """How much load is put on each service; times are in seconds.

    ``callers`` send requests one after another, ``interval_s`` apart;
    ``watches`` stay open. ``post_share`` of the requests are not idempotent,
    and ``big_share`` fetch ``big_bytes`` block by block. A request without an
    answer after ``request_timeout_s`` is lost, and a watch that hears nothing
    for ``silence_s`` is broken. A domain that was taken out may still get
    packets for ``out_grace_s``.
    """

    duration_s: float = 25.0
    seed: int = 1
    callers: int = 20
    watches: int = 10
    interval_s: float = 0.25
    post_share: float = 0.5
    big_share: float = 0.05
    big_bytes: int = 4096
    work_ms: int = 5
    request_timeout_s: float = 20.0
    silence_s: float = 9.0
    out_grace_s: float = 3.0

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]):
        """Read the section ``bench``; what is left out keeps its default."""
        given = {item.name: item for item in fields(cls) if item.name in cfg}
        return cls(**{name: item.type(cfg[name]) for name, item in given.items()})


@dataclass(frozen=True)
class BenchSettings:
    """The load, the platform's URL, and the services' addresses by name."""

    platform: str
    load: Load = field(default_factory=Load)
    services: Mapping[str, Endpoint] = field(default_factory=dict)

    @classmethod
    def from_config(cls, cfg):
        """Read the sections ``bench``, ``platform`` and ``services``."""
        return cls(
            platform=cfg["platform"]["url"].rstrip("/"),
            load=Load.from_config(cfg["bench"]),
            services={
                name: ListenAddress.from_text(text).endpoint
                for name, text in cfg["services"].items()
                if ListenAddress.from_text(text).protocol == UDP
            },
        )
