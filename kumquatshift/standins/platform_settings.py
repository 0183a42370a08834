"""Settings of the platform stand-in, and the VMs that it lists."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from ..fields import format_value

VM_STATES = ("live", "leaving")


@dataclass(frozen=True)
class VmRow:
    """One VM in the VM list of the platform."""

    name: str
    domain: str
    role: str
    address: str
    state: str = "live"

    @classmethod
    def from_json(cls, value: Mapping) -> "VmRow":
        """Parse one item of the VM list."""
        try:
            return cls.checked(cls(**value))
        except TypeError as exc:
            raise ValueError(f"{format_value(value)}; {exc}") from exc

    @staticmethod
    def checked(row: "VmRow") -> "VmRow":
        """Return the row; raise ValueError on a non-text field or an unknown state."""
        if not all(isinstance(text, str) for text in asdict(row).values()):
            raise ValueError(
                f"{format_value(asdict(row))}; allowed: text in every field"
            )
        if row.state not in VM_STATES:
            raise ValueError(f"state {row.state!r}; allowed: {', '.join(VM_STATES)}")
        return row


@dataclass(frozen=True)
class PlatformSettings:
    """Listening address and initial state of the stand-in; times in seconds."""

    address: str = "127.0.0.10"
    port: int = 8400
    vms_lag_s: float = 2.0
    history: int = 10_000
    certificate: str = ""
    key: str = ""
    vms: tuple[VmRow, ...] = ()
