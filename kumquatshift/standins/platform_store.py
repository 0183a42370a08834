"""Object store of the platform stand-in: versioned, with conditional writes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

NO_OBJECT = {"error": "no such object"}


class Refused(Exception):  # noqa: N818
    """The store refuses a call; ``answer`` is the response body with the reason."""

    def __init__(self, code: int, answer: Mapping):
        super().__init__(code, answer)
        self.code = code
        self.answer = answer


@dataclass(frozen=True)
class StoreCopy:
    """State of a store at one moment, from which it can be restored."""

    version: int
    objects: Mapping
    changes: list


@dataclass
class Store:
    """Objects, the version counter that they share, and their change log.

    ``era`` rises each time that the store is restored from a copy.
    """

    history: int = 10_000
    version: int = 0
    era: int = 0
    objects: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)

    def copy(self):
        """Return a copy of the current state."""
        return StoreCopy(self.version, dict(self.objects), list(self.changes))

    def restore(self, copy):
        """Return to the state of a copy; versions since then are given out again."""
        self.era += 1
        self.version = copy.version
        self.objects = dict(copy.objects)
        self.changes = list(copy.changes)

    def put(self, key, expected, operation, body):
        """Write one object if its version is ``expected`` (0: does not exist)."""
        current = self.live(key)
        self._check_version(key, expected)
        if current is None:
            creation = {"created": self.version + 1, "created_era": self.era}
        else:
            creation = _creation(current)
        return self._append(key, creation, operation, False, body)

    def delete(self, key, expected, operation):
        """Delete one object if its version is ``expected``."""
        current = self.live(key)
        if current is None:
            raise Refused(404, self.objects.get(key) or NO_OBJECT)
        self._check_version(key, expected)
        return self._append(key, _creation(current), operation, True, None)

    def live(self, key, version=None):
        """Return the object as of a version, or None if it did not exist."""
        found = self.at(version).get(key)
        return None if found is None or found["deleted"] else found

    def at(self, version=None):
        """Return all objects as of a version, tombstones included."""
        if version is None or version >= self.version:
            return self.objects
        past = [obj for obj in self.changes if obj["version"] <= version]
        return {(obj["kind"], obj["name"]): obj for obj in past}

    def since(self, version):
        """Return the changes since a version; raise `Refused` if it is too old."""
        if version < self.version - self.history:
            raise Refused(410, {"error": f"version {version} is too old"})
        if version > self.version:
            raise Refused(410, {"error": f"version {version} was lost"})
        return [obj for obj in self.changes if obj["version"] > version]

    def _check_version(self, key, expected):
        current = self.live(key)
        found = current["version"] if current else 0
        if found != expected:
            raise Refused(409, self.objects.get(key) or NO_OBJECT)

    def _append(self, key, creation, operation, deleted, body):
        self.version += 1
        kind, name = key
        obj = {
            "kind": kind,
            "name": name,
            "version": self.version,
            **creation,
            "operation": operation,
            "deleted": deleted,
            "body": body,
        }
        self.objects[key] = obj
        self.changes.append(obj)
        return obj


def _creation(obj):
    return {name: obj[name] for name in ("created", "created_era")}
