"""Keyed digests that prove that a datagram is from an entry of the site.

A sealed datagram is a digest of `DIGEST_BYTES` followed by the data. The
digest is BLAKE2b (RFC 7693) with a key from the settings::

    sealer = Sealer.from_config(cfg.keys)
    data = sealer.open(sealer.seal(b"beat"))

`open` takes the current and the previous key, so that keys are changed over
without a moment in which entries refuse each other. The digest neither hides
the data nor tells a replayed datagram from a new one; heartbeats carry
sequence numbers for that.
"""

from hashlib import blake2b
from hmac import compare_digest
from typing import Self

from .settings.common import KeysSection
from .settings.values import Secret

DIGEST_BYTES = 16
PERSONALIZATION = b"kumquat-peer"


class Sealer:
    """Seals datagrams with one key, and opens what either of two has sealed.

    Without a key the digest only finds damage; settings allow that on loopback
    addresses alone.
    """

    def __init__(self, current: bytes, previous: bytes | None = None):
        self._current = current
        self._accepted = (current,) if previous is None else (current, previous)

    @classmethod
    def from_config(cls, cfg: KeysSection) -> Self:
        """Make a sealer from the section ``keys`` of the settings."""
        previous = _bytes_of(cfg.previous) if cfg.previous else None
        return cls(_bytes_of(cfg.current), previous)

    def seal(self, data: bytes) -> bytes:
        """Return ``data`` with its digest in front."""
        return _digest(data, self._current) + data

    def open(self, datagram: bytes) -> bytes | None:
        """Return the data of a sealed datagram, None if it is not authentic."""
        if len(datagram) < DIGEST_BYTES:
            return None
        digest = datagram[:DIGEST_BYTES]
        data = datagram[DIGEST_BYTES:]
        for key in self._accepted:
            if compare_digest(digest, _digest(data, key)):
                return data
        return None


def _digest(data: bytes, key: bytes) -> bytes:
    hasher = blake2b(data, digest_size=DIGEST_BYTES, key=key, person=PERSONALIZATION)
    return hasher.digest()


def _bytes_of(secret: Secret | None) -> bytes:
    return b"" if secret is None else secret.value
