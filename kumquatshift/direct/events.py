"""All events that an entry logs.

Each event is one line of the log; `docs/OPERATIONS.md` explains them.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class EventSink(Protocol):
    """Receives events, normally to log them."""

    def emit(self, event: Event, **inputs: object) -> None:
        """Record an event with the inputs of its decision; must not block."""
        ...


class Event(Enum):
    """An event; the value is its name in the log."""

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
    STORE_RESTORED = "store restored"
    STORE_LISTED = "store listed"
    STORE_CHANGED = "store changes received"
    PEER_UPDATED = "peer update received"
    STORE_CALL_ABANDONED = "store call abandoned"
    SUSPENDED = "machine suspended"
    READER_FOLLOWED = "reader followed"
    OBJECT_UNREADABLE = "object unreadable"
    CONFIG_IN_FORCE = "configuration in force"
    OBJECTIVES_IGNORED = "objectives ignored"
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
