"""What an entry tells of its decisions: the closed list of events.

Each is one line of the log; `docs/OPERATIONS.md` says how to read them.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class EventSink(Protocol):
    """Where decisions are told."""

    def emit(self, event: Event, **inputs: object) -> None:
        """Tell one decision with the inputs that led to it; never blocks."""
        ...


class Event(Enum):
    """Everything that is told."""

    STARTED = "started"
    READY = "ready"
    UNREADY = "unready"
    STOPPING = "stopping"
    STOPPED = "stopped"
    SETTINGS_RELOADED = "settings reloaded"
    SETTINGS_REJECTED = "settings rejected"
    METRICS_PORT_TAKEN = "metrics port taken"
    STORE_LOST = "store lost"
    STORE_REGAINED = "store regained"
    STORE_HISTORY_GONE = "store history gone"
    OBJECT_UNREADABLE = "object unreadable"
    CONFIG_IN_FORCE = "configuration in force"
    CONFIG_REJECTED = "configuration rejected"
    TARGET_LISTED = "target listed"
    TARGET_DRAINING = "target draining"
    TARGET_GONE = "target gone"
    TARGET_SUSPECTED = "target suspected"
    TARGET_TRUSTED = "target trusted"
    DOMAIN_EVACUATED = "domain evacuated"
    DOMAIN_RETURNED = "domain returned"
    PEER_JOINED = "peer joined"
    PEER_LOST = "peer lost"
    NEWS_FAILED = "news failed"
    READER_TAKEN = "reader duty taken"
    READER_LEFT = "reader duty left"
    FLOW_OPENED = "flow opened"
    FLOW_REPLACED = "flow placed again"
    FLOW_REFUSED = "flow refused"
    FLOW_RESET = "flow reset"
    PACKET_DROPPED = "packet dropped"
    INTERNAL_ERROR = "internal error"
    LINES_LEFT_OUT = "lines left out"
