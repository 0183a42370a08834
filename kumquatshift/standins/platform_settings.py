"""Settings of the platform stand-in, and the VMs that it lists."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from ..fields import format_value

VM_STATES = ("live", "leaving")


@dataclass(frozen=True)
class VmRow:
    """One VM as the platform lists it."""

    name: str
    domain: str
    role: str
    address: str
    state: str = "live"

    @classmethod
    def from_json(cls, value: Mapping) -> "VmRow":
        """Read one item of the list."""
        try:
            return cls.checked(cls(**value))
        except TypeError as exc:
            raise ValueError(f"{format_value(value)}; {exc}") from exc

    @staticmethod
    def checked(row: "VmRow") -> "VmRow":
        """Return the row if all its fields are text and its state is known."""
        if not all(isinstance(text, str) for text in asdict(row).values()):
            raise ValueError(
                f"{format_value(asdict(row))}; allowed: text in every field"
            )
        if row.state not in VM_STATES:
            raise ValueError(f"state {row.state!r}; allowed: {', '.join(VM_STATES)}")
        return row


@dataclass(frozen=True)
class PlatformSettings:
    """Where the stand-in listens and what it starts with; times in seconds."""

    address: str = "127.0.0.10"
    port: int = 8400
    vms_lag_s: float = 2.0
    history: int = 10_000
    certificate: str = ""
    key: str = ""
    vms: tuple[VmRow, ...] = ()
