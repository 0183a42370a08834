"""Objects of the platform stand-in: one version counter and conditional writes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

NO_OBJECT = {"error": "no such object"}


class Refused(Exception):  # noqa: N818
    """The store does not do what was asked; ``answer`` says why."""

    def __init__(self, code: int, answer: Mapping):
        super().__init__(code, answer)
        self.code = code
        self.answer = answer


@dataclass
class Store:
    """Objects, their one version counter, and the log of their changes."""

    history: int = 10_000
    version: int = 0
    objects: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)

    def put(self, key, expected, operation, body):
        """Write one object if version ``expected`` stands (0: none does)."""
        standing = self.live(key)
        self._match(key, expected)
        created = standing["created"] if standing else self.version + 1
        return self._append(key, created, operation, False, body)

    def delete(self, key, expected, operation):
        """Delete one object if version ``expected`` stands."""
        standing = self.live(key)
        if standing is None:
            raise Refused(404, self.objects.get(key) or NO_OBJECT)
        self._match(key, expected)
        return self._append(key, standing["created"], operation, True, None)

    def live(self, key, version=None):
        """Return the object as it stood at a version, None if it did not."""
        found = self.at(version).get(key)
        return None if found is None or found["deleted"] else found

    def at(self, version=None):
        """Return all objects, tombstones included, at a version."""
        if version is None or version >= self.version:
            return self.objects
        past = [obj for obj in self.changes if obj["version"] <= version]
        return {(obj["kind"], obj["name"]): obj for obj in past}

    def since(self, version):
        """Return the changes after a version; refuse one that is too old."""
        if version < self.version - self.history:
            raise Refused(410, {"error": f"version {version} is too old"})
        return [obj for obj in self.changes if obj["version"] > version]

    def _match(self, key, expected):
        standing = self.live(key)
        found = standing["version"] if standing else 0
        if found != expected:
            raise Refused(409, self.objects.get(key) or NO_OBJECT)

    def _append(self, key, created, operation, deleted, body):
        self.version += 1
        kind, name = key
        obj = {
            "kind": kind,
            "name": name,
            "version": self.version,
            "created": created,
            "operation": operation,
            "deleted": deleted,
            "body": body,
        }
        self.objects[key] = obj
        self.changes.append(obj)
        return obj
