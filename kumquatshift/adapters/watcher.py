"""Keeping a watch on the platform, and polling its list of VMs."""

import random
from collections.abc import Callable, Iterable

from returns.pipeline import is_successful
from twisted.internet.defer import CancelledError
from twisted.internet.task import LoopingCall

from ..engine.objects import Versioned
from ..errors import ErrorKind, Failure
from ..logs import Part, logger_for
from ..platform_port import Expired, Listing, Platform, Progress, Vm

WATCH_SILENCE_S = 10.0
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 2.0
VM_POLL_S = 5.0

log = logger_for(Part.PLATFORM)


class Backoff:
    """Growing waits with jitter, so that clients do not come back together."""

    def __init__(self, rng=None):
        self._rng = rng or random.Random()
        self._tries = 0

    def reset(self):
        """Start again with the shortest wait."""
        self._tries = 0

    def next_s(self) -> float:
        """Return the next wait in seconds, between half and all of its step."""
        step = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**self._tries)
        self._tries = min(self._tries + 1, 16)
        return step * (0.5 + self._rng.random() / 2)


class PlatformWatch:
    """Tells every change of the platform's objects for as long as it is held.

    It lists, then watches from the list's version. A watch on which nothing
    came for 10 s is dropped; then, as after `Expired`, it lists anew, so that
    changes arrive even while every watch hangs.
    An object that stands in ``known`` but not in a list is told as deleted only
    if the list is newer: a stale list takes nothing away. Changes may be told
    twice and out of order; the receiver keeps the highest version of each.
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
        self._known = known
        self._backoff = Backoff(rng)
        self._held = False
        self._since = None
        self._list = None
        self._watch = None
        self._timer = None
        self._failing = False

    @property
    def held(self) -> bool:
        """Whether the watch is wanted."""
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
        if self._list is not None:
            self._list.cancel()

    def _open(self):
        if self._since is None:
            self._relist()
        else:
            self._start_watch()

    def _relist(self):
        self._list = fut = self._platform.list_objects()
        fut.addCallbacks(self._listed, self._list_broke)

    def _listed(self, answer):
        self._list = None
        if not self._held:
            return
        if not is_successful(answer):
            self._retry(answer.failure())
            return
        listing = answer.unwrap()
        for obj in listing.items:
            self._on_object(obj)
        for obj in self._gone(listing):
            self._on_object(obj)
        self._since = listing.version
        self._start_watch()

    def _list_broke(self, reason):
        self._list = None
        reason.trap(CancelledError)

    def _gone(self, listing: Listing):
        """Return tombstones for what a newer list no longer holds."""
        listed = {(obj.kind, obj.name) for obj in listing.items}
        listed.update(listing.skipped)
        return [
            Versioned(obj.kind, obj.name, listing.version, None, obj.created)
            for obj in list(self._known())
            if obj.body is not None
            and (obj.kind, obj.name) not in listed
            and obj.version < listing.version
        ]

    def _start_watch(self):
        self._watch = self._platform.watch_objects(
            self._since, self._on_event, self._on_end
        )
        self._expect_event()

    def _on_event(self, event):
        if not self._held:
            return
        self._expect_event()
        self._backoff.reset()
        if self._failing:
            log.info("The watch works again.")
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
        self._retry(failure)

    def _retry(self, failure):
        if not self._failing:
            log.warning(
                "No watch: {}; it is tried again until it works.", failure.message
            )
        self._failing = True
        self._set_timer(self._backoff.next_s(), self._open)

    def _expect_event(self):
        self._set_timer(WATCH_SILENCE_S, self._on_silence)

    def _on_silence(self):
        self._stop_watch()
        self._since = None
        text = f"nothing came on the watch for {WATCH_SILENCE_S:g} s"
        self._retry(Failure(ErrorKind.TIMEOUT, text))

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
    """Fetches the platform's list of VMs every 5 s while it is held.

    A poll that fails changes nothing: the last list stays in use.
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
        return self._platform.list_vms().addCallback(self._polled)

    def _polled(self, answer):
        if is_successful(answer):
            self._failing = False
            if self._loop.running:
                self._on_vms(answer.unwrap())
        elif not self._failing:
            self._failing = True
            log.warning("{}; the last list of VMs stays.", answer.failure().message)
