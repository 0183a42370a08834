"""Create certificate authorities and certificates for tests."""

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from ipaddress import IPv4Address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

from kumquatshift.settings.common import TlsSection

DAY = timedelta(days=1)


@dataclass(frozen=True)
class IssuedCertificate:
    """A certificate with its private key."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    def pem(self) -> bytes:
        return self.certificate.public_bytes(Encoding.PEM)

    def key_pem(self) -> bytes:
        return self.key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())


def make_authority(
    name: str, parent: IssuedCertificate | None = None
) -> IssuedCertificate:
    return _issue(name, parent, 30 * DAY, is_authority=True)


def make_leaf(
    authority: IssuedCertificate, address: str, lifetime: timedelta = 10 * DAY
) -> IssuedCertificate:
    return _issue("leaf", authority, lifetime, address=address)


def write_files(
    folder: str,
    authority: IssuedCertificate,
    leaf: IssuedCertificate,
    chain: tuple[IssuedCertificate, ...] = (),
) -> TlsSection:
    """Write three files of a process: its authority, certificate and key.

    Returns the TLS settings that name them.
    """
    paths = [str(Path(folder) / f"{id(leaf)}-{name}.pem") for name in ("a", "c", "k")]
    Path(paths[0]).write_bytes(authority.pem())
    Path(paths[1]).write_bytes(b"".join(each.pem() for each in (leaf, *chain)))
    Path(paths[2]).write_bytes(leaf.key_pem())
    return TlsSection(*paths)


def _issue(
    name, issuer, lifetime, address=None, is_authority=False
) -> IssuedCertificate:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    expires_at = datetime.now(UTC) + lifetime
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer.certificate.subject if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(min(expires_at, datetime.now(UTC)) - DAY)
        .not_valid_after(expires_at)
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
    )
    if address:
        names = [x509.IPAddress(IPv4Address(address))]
        builder = builder.add_extension(
            x509.SubjectAlternativeName(names), critical=False
        )
    signer = issuer.key if issuer else key
    return IssuedCertificate(builder.sign(signer, SHA256()), key)
