"""Keeps a watch of the platform open, and polls its list of VMs."""

import random
from collections.abc import Callable, Iterable

from returns.pipeline import is_successful
from twisted.internet.defer import CancelledError
from twisted.internet.task import LoopingCall

from ..engine.objects import Versioned
from ..eras import era_and_number
from ..errors import ErrorKind, Failure
from ..logs import Part, logger_for
from ..platform_port import Expired, Listing, Platform, Progress, Vm

# A watch without an event for this long is opened again, since a dead connection looks
# the same; the platform sends its version on each new one.
WATCH_RENEW_S = 2.0

# After this long, even new watches are taken to hang.
WATCH_SILENCE_S = 10.0
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 2.0
VM_POLL_S = 5.0

# After the platform came back from an older copy, operators have this long to write
# again what it lacks.
RESTORE_GRACE_S = 2.3

log = logger_for(Part.PLATFORM)


class Backoff:
    """Exponential backoff with jitter, so that clients do not retry in step."""

    def __init__(self, rng=None):
        self._rng = rng or random.Random()
        self._attempts = 0

    def reset(self):
        """Return to the shortest wait."""
        self._attempts = 0

    def next_s(self) -> float:
        """Return the next wait: between half and all of a maximum that doubles."""
        max_wait_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**self._attempts)
        self._attempts = min(self._attempts + 1, 16)
        return max_wait_s * (0.5 + self._rng.random() / 2)


class PlatformWatch:
    """Reports every change of the platform's objects while the watch is held open.

    It lists, then watches from the version of the list. A watch without an event
    for 2 s is opened again. Without any for 10 s, as after `Expired`, it lists again,
    so that changes arrive even while every watch hangs.
    An object of ``known`` that is missing from a list is reported as deleted only
    if the list is newer than the object: a stale list deletes nothing. The first
    list after the platform came back from an older copy is not reported but read
    again after `RESTORE_GRACE_S`. Changes
    may be reported twice and out of order; the receiver keeps the highest
    version of each object.
    """

    def __init__(
        self,
        platform: Platform,
        clock,
        on_object: Callable[[Versioned], None],
        known: Callable[[], Iterable[Versioned]],
        rng=None,
    ):
        self._platform = platform
        self._clock = clock
        self._on_object = on_object
        self._known_objects = known
        self._backoff = Backoff(rng)
        self._held = False
        self._since = None
        self._pending_list = None
        self._watch = None
        self._timer = None
        self._heard_at = 0.0
        self._failing = False
        self._awaited_era = 0

    @property
    def held(self) -> bool:
        """Whether the watch is to be kept open."""
        return self._held

    def hold(self, wanted: bool) -> None:
        """Start or stop; asking twice changes nothing."""
        if wanted == self._held:
            return
        self._held = wanted
        if wanted:
            self._backoff.reset()
            self._open()
        else:
            self._close()

    def _close(self):
        self._stop_timer()
        self._stop_watch()
        if self._pending_list is not None:
            self._pending_list.cancel()

    def _open(self):
        if self._since is None:
            self._relist()
        else:
            self._start_watch()

    def _relist(self):
        self._pending_list = fut = self._platform.list_objects()
        fut.addCallbacks(self._on_list, self._on_list_error)

    def _on_list(self, answer):
        self._pending_list = None
        if not self._held:
            return
        if not is_successful(answer):
            self._schedule_retry(answer.failure())
            return
        listing = answer.unwrap()
        if self._is_restored(listing):
            self._set_timer(RESTORE_GRACE_S, self._open)
            return
        for obj in listing.items:
            self._on_object(obj)
        for obj in self._missing_tombstones(listing):
            self._on_object(obj)
        self._since = listing.version
        self._start_watch()

    def _on_list_error(self, reason):
        self._pending_list = None
        reason.trap(CancelledError)

    def _is_restored(self, listing: Listing) -> bool:
        """Return whether this is the first list of an era, and objects are known."""
        era, number = era_and_number(listing.version)
        known = max((obj.version for obj in self._known_objects()), default=None)
        if known is None or era <= era_and_number(known)[0] or era == self._awaited_era:
            return False
        self._awaited_era = era
        log.warning(
            "The platform came back from a copy of version {}, in era {}; keeping what"
            " is known for {:g} s.",
            number,
            era,
            RESTORE_GRACE_S,
        )
        return True

    def _missing_tombstones(self, listing: Listing):
        """Return tombstones for known objects that are missing from a newer list."""
        listed = {(obj.kind, obj.name) for obj in listing.items}
        listed.update(listing.skipped)
        return [
            Versioned(obj.kind, obj.name, listing.version, None, obj.created)
            for obj in list(self._known_objects())
            if obj.body is not None
            and (obj.kind, obj.name) not in listed
            and obj.version < listing.version
        ]

    def _start_watch(self):
        self._heard_at = self._clock.seconds()
        self._open_watch()

    def _open_watch(self):
        self._watch = self._platform.watch_objects(
            self._since, self._on_event, self._on_end
        )
        self._set_timer(WATCH_RENEW_S, self._on_quiet)

    def _on_event(self, event):
        if not self._held:
            return
        self._heard_at = self._clock.seconds()
        self._set_timer(WATCH_RENEW_S, self._on_quiet)
        self._backoff.reset()
        if self._failing:
            log.info("The watch of the platform works again.")
        self._failing = False
        self._since = max(self._since, event.version)
        if not isinstance(event, Progress):
            self._on_object(event)

    def _on_end(self, failure: Failure):
        self._watch = None
        if not self._held:
            return
        if isinstance(failure, Expired):
            self._since = None
        self._schedule_retry(failure)

    def _schedule_retry(self, failure):
        if not self._failing:
            log.warning(
                "The watch of the platform failed: {}; retrying.", failure.message
            )
        self._failing = True
        self._set_timer(self._backoff.next_s(), self._open)

    def _on_quiet(self):
        self._stop_watch()
        if self._clock.seconds() - self._heard_at < WATCH_SILENCE_S:
            self._open_watch()
            return
        self._since = None
        text = f"no event on the watch for {WATCH_SILENCE_S:g} s"
        self._schedule_retry(Failure(ErrorKind.TIMEOUT, text))

    def _stop_watch(self):
        if self._watch is not None:
            self._watch.stop()
            self._watch = None

    def _set_timer(self, wait_s, call):
        self._stop_timer()
        self._timer = self._clock.callLater(wait_s, call)

    def _stop_timer(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class VmPoller:
    """Polls the platform's list of VMs every 5 s while it is switched on by `hold`.

    After a failed poll the last list stays in use.
    """

    def __init__(
        self,
        platform: Platform,
        clock,
        on_vms: Callable[[tuple[Vm, ...]], None],
        interval_s: float = VM_POLL_S,
    ):
        self._platform = platform
        self._on_vms = on_vms
        self._interval_s = interval_s
        self._loop = LoopingCall(self._poll)
        self._loop.clock = clock
        self._failing = False

    def hold(self, wanted: bool) -> None:
        """Start or stop; asking twice changes nothing."""
        if wanted and not self._loop.running:
            self._loop.start(self._interval_s)
        elif not wanted and self._loop.running:
            self._loop.stop()

    def _poll(self):
        return self._platform.list_vms().addCallback(self._on_poll)

    def _on_poll(self, answer):
        if is_successful(answer):
            self._failing = False
            if self._loop.running:
                self._on_vms(answer.unwrap())
        elif not self._failing:
            self._failing = True
            log.warning(
                "Cannot list VMs: {}; keeping the last list.", answer.failure().message
            )
