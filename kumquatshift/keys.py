"""Authentication of datagrams between the entries of a site by keyed digests.

A sealed datagram is a digest of `DIGEST_BYTES` followed by the data. The
digest is BLAKE2b (RFC 7693) with a key from the settings::

    sealer = Sealer.from_config(cfg.keys)
    data = sealer.open(sealer.seal(b"heartbeat"))

`open` accepts the current and the previous key, so that during a key rotation
entries never reject each other. The digest neither encrypts the data nor detects
replayed datagrams; heartbeats have sequence numbers for that.
"""

from hashlib import blake2b
from hmac import compare_digest
from typing import Self

from .settings.common import KeysSection
from .settings.values import Secret

DIGEST_BYTES = 16
PERSONALIZATION = b"kumquat-peer"


class Sealer:
    """Seals datagrams with the current key, and opens them with either key.

    Without a key the digest only detects corruption; the settings allow that on
    loopback addresses only.
    """

    def __init__(self, current: bytes, previous: bytes | None = None):
        self._current = current
        self._accepted = (current,) if previous is None else (current, previous)

    @classmethod
    def from_config(cls, cfg: KeysSection) -> Self:
        """Return a sealer for the section ``keys`` of the settings."""
        previous = _bytes_of(cfg.previous) if cfg.previous else None
        return cls(_bytes_of(cfg.current), previous)

    def seal(self, data: bytes) -> bytes:
        """Return ``data`` prefixed with its digest."""
        return _digest(data, self._current) + data

    def open(self, datagram: bytes) -> bytes | None:
        """Return the data of a sealed datagram, or None if it is not authentic."""
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
