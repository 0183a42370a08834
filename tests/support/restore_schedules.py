"""Random series of changes, restores and faults of a domain of entries."""

from hypothesis import strategies as st

from tests.support.feed_domain import KIND, FeedDomain

STABLE_WINDOW_S = 4.0
# A change is known this long after it, or after the end of all faults.
SETTLE_S = STABLE_WINDOW_S
STEP_S = 0.05
OBJECTS = 60

EVENTS = (
    "change",
    "create",
    "delete",
    "copy",
    "restore",
    "write again",
    "compact",
    "store refuses",
    "store is silent",
    "store works",
    "cut entry",
    "pause entry",
    "kill entry",
    "add entry",
    "heal",
)


def schedules():
    """Return a strategy of schedules: (event, number, seconds until the next one)."""
    event = st.tuples(
        st.sampled_from(EVENTS),
        st.integers(0, 11),
        st.sampled_from((0.0, 0.05, 0.3, 0.7, 1.5)),
    )
    return st.lists(event, min_size=4, max_size=25)


class RestoreRun:
    """One run of a schedule, with the invariants that are checked meanwhile."""

    def __init__(self, count, breaks_watches, seed):
        self.domain = domain = FeedDomain(seed=seed)
        for number in range(OBJECTS):
            domain.store.put(KIND, f"o{number}", 0)
        domain.add(count)
        domain.run(6.0)
        domain.breaks_watches = breaks_watches
        self.copy = domain.store.copy()
        self.lost = {}
        self.writes = 0
        self.reverted = []
        self._known = {}

    def run(self, schedule):
        for event, number, wait_s in schedule:
            self._play(event, number)
            self._run(wait_s)

    def settle(self):
        """End all faults, change one object, and run until all must be known."""
        domain = self.domain
        domain.trouble = None
        for node in domain.nodes:
            node.own_store_fault = None
            node.is_paused = False
        domain.store.put(KIND, "o7", -1)
        self._run(SETTLE_S)

    def behind(self):
        """Return the names of live entries that do not know what the store has."""
        wanted = self.domain.values()
        return [n.me.name for n in self._live() if n.listener.values != wanted]

    def _live(self):
        return [node for node in self.domain.nodes if node.is_up]

    def _play(self, event, number):
        domain, store = self.domain, self.domain.store
        live = self._live()
        node = live[number % len(live)]
        self.writes += 1
        match event:
            case "change":
                for _ in range(number * 4 + 1):
                    self.writes += 1
                    store.put(KIND, f"o{self.writes % 5}", self.writes)
            case "create":
                store.put(KIND, f"n{self.writes}", self.writes)
            case "delete":
                store.delete(KIND, f"o{number + 10}")
            case "copy":
                self.copy = store.copy()
            case "restore":
                self.lost = domain.values()
                store.restore(self.copy)
            case "write again" if self.lost:
                domain.write_again(self.lost)
            case "compact":
                store.compact()
            case "store refuses" | "store is silent":
                domain.trouble = event.removeprefix("store ")
            case "store works":
                domain.trouble = None
            case "cut entry":
                node.own_store_fault = "is silent"
            case "pause entry":
                node.is_paused = True
            case "kill entry" if len(live) > 2:
                node.is_up = False
            case "add entry" if len(domain.nodes) < 16:
                domain.add(1)
            case "heal":
                node.own_store_fault = None
                node.is_paused = False

    def _run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.domain.run(STEP_S)
            self._check_revisions()

    def _check_revisions(self):
        for node in self._live():
            status = node.feed.status(self.domain.clock.seconds())
            if status is None:
                continue
            if status.revision < self._known.get(node.me.name, status.revision):
                self.reverted.append((node.me.name, status.revision))
            self._known[node.me.name] = status.revision
