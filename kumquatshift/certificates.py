"""Checks of certificate files when the settings are loaded."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from ipaddress import IPv4Address, ip_address
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PublicFormat,
    load_pem_private_key,
)


@dataclass(frozen=True)
class CertificateFault:
    """A fault of one file; ``file`` is its key in the settings."""

    file: str
    found: str
    allowed: str


class _UnusableFileError(Exception):
    """A file that cannot be read or parsed, so that no further checks apply."""

    def __init__(self, found: str, allowed: str):
        super().__init__(found)
        self.found = found
        self.allowed = allowed


def ca_faults(path: str, now: datetime) -> list[CertificateFault]:
    """Return the faults of a file of CA certificates."""
    try:
        certificates = _read_certificates(path)
    except _UnusableFileError as exc:
        return [CertificateFault("ca", exc.found, exc.allowed)]
    return _date_faults("ca", certificates, now)


def certificate_faults(
    ca: str, certificate: str, key: str, now: datetime, address: str = ""
) -> list[CertificateFault]:
    """Return the faults of a CA file, a certificate and its key.

    The certificate must be valid at ``now``, match the key and chain to one of
    the CAs. If ``address`` is given, it must be among the alternative names, since
    peers compare these with the address that they call (RFC 2818, section 3.1).
    """
    faults = ca_faults(ca, now)
    chain: list[x509.Certificate] = []
    try:
        chain = _read_certificates(certificate)
        faults += _date_faults("certificate", chain, now)
        faults += _address_faults(chain[0], address)
    except _UnusableFileError as exc:
        faults.append(CertificateFault("certificate", exc.found, exc.allowed))
    faults += _key_faults(key, chain)
    if chain and not any(fault.file == "ca" for fault in faults):
        faults += _issuer_faults(chain, _read_certificates(ca))
    return faults


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        reason = exc.strerror or "unreadable"
        raise _UnusableFileError(f"'{path}': {reason}", "a readable file") from exc


def _read_certificates(path: str) -> list[x509.Certificate]:
    data = _read(path)
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError as exc:
        allowed = "certificates in PEM form"
        raise _UnusableFileError(f"'{path}', not in that form", allowed) from exc


def _date_faults(
    file: str, certificates: Iterable[x509.Certificate], now: datetime
) -> list[CertificateFault]:
    faults = []
    for each in certificates:
        first, last = each.not_valid_before_utc, each.not_valid_after_utc
        if now > last:
            found = f"one that expired at {last:%Y-%m-%d %H:%M} UTC"
            faults.append(
                CertificateFault(file, found, "a currently valid certificate")
            )
        if now < first:
            found = f"one not valid before {first:%Y-%m-%d %H:%M} UTC"
            faults.append(
                CertificateFault(file, found, "a currently valid certificate")
            )
    return faults


def _address_faults(leaf: x509.Certificate, address: str) -> list[CertificateFault]:
    if not address or IPv4Address(address) in _addresses(leaf):
        return []
    found = f"one that does not name {address}"
    allowed = f"a certificate with the alternative name IP:{address}"
    return [CertificateFault("certificate", found, allowed)]


def _addresses(leaf: x509.Certificate) -> list:
    try:
        names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except x509.ExtensionNotFound:
        return []
    found = names.value.get_values_for_type(x509.IPAddress)
    return [ip_address(str(each)) for each in found]


def _key_faults(path: str, chain: list[x509.Certificate]) -> list[CertificateFault]:
    try:
        key = load_pem_private_key(_read(path), password=None)
    except _UnusableFileError as exc:
        return [CertificateFault("key", exc.found, exc.allowed)]
    except (ValueError, TypeError):
        allowed = "a private key in PEM form, without a password"
        return [CertificateFault("key", f"'{path}', not in that form", allowed)]
    if chain and _public_bytes(key.public_key()) != _public_bytes(
        chain[0].public_key()
    ):
        allowed = "the private key of the certificate"
        return [CertificateFault("key", "the key of another certificate", allowed)]
    return []


def _public_bytes(key) -> bytes:
    return key.public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)


def _issuer_faults(
    chain: list[x509.Certificate], authorities: list[x509.Certificate]
) -> list[CertificateFault]:
    for each in chain:
        if any(_is_issued_by(each, authority) for authority in authorities):
            return []
        if not any(_is_issued_by(each, other) for other in chain):
            break
    issuer = chain[0].issuer.rfc4514_string()
    allowed = "a certificate that one of [tls] ca has issued"
    return [CertificateFault("certificate", f"one issued by {issuer}", allowed)]


def _is_issued_by(certificate: x509.Certificate, issuer: x509.Certificate) -> bool:
    try:
        certificate.verify_directly_issued_by(issuer)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True
