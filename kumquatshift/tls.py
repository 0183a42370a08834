"""TLS between the system's own processes, and to the platform.

Processes prove themselves to each other with certificates of the authority
that the settings name; without certificates they talk in the clear, which
settings allow on loopback addresses alone. The files are checked when the
settings are loaded, see `certificates`.
"""

from collections.abc import Callable
from pathlib import Path

import grpc
from cryptography.x509 import load_pem_x509_certificates
from OpenSSL import crypto
from twisted.internet.ssl import (
    Certificate,
    CertificateOptions,
    optionsForClientTLS,
    trustRootFromCertificates,
)
from twisted.web.client import Agent, BrowserLikePolicyForHTTPS
from twisted.web.iweb import IAgent, IPolicyForHTTPS
from zope.interface import implementer

from .settings.common import TlsSection

CONNECT_TIMEOUT_S = 5.0


def server_credentials(section: TlsSection) -> grpc.ServerCredentials | None:
    """Return what a gRPC server shows and asks for, None for a clear one."""
    if not section.enabled:
        return None
    pair = (_read(section.key), _read(section.certificate))
    return grpc.ssl_server_credentials(
        [pair], root_certificates=_read(section.ca), require_client_auth=True
    )


def channel_opener(section: TlsSection) -> Callable[[str], grpc.aio.Channel]:
    """Return a function that opens a gRPC channel to ``ADDRESS:PORT``."""
    if not section.enabled:
        return grpc.aio.insecure_channel
    credentials = grpc.ssl_channel_credentials(
        _read(section.ca), _read(section.key), _read(section.certificate)
    )
    return lambda place: grpc.aio.secure_channel(place, credentials)


def admin_context(section: TlsSection) -> CertificateOptions | None:
    """Return what an admin port shows and asks for, None for a clear one."""
    if not section.enabled:
        return None
    own = _Own(section)
    return CertificateOptions(
        privateKey=own.key,
        certificate=own.certificate,
        extraCertChain=own.chain,
        trustRoot=trustRootFromCertificates(_authorities(section.ca)),
    )


def entry_agent(reactor, section: TlsSection) -> IAgent:
    """Return an HTTP agent for the admin ports of entries."""
    if not section.enabled:
        return Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
    policy = _ClientCertificatePolicy(section)
    return Agent(reactor, policy, connectTimeout=CONNECT_TIMEOUT_S)


def platform_agent(reactor, ca: str = "") -> IAgent:
    """Return an HTTP agent for the platform, trusting ``ca`` alone if given."""
    if not ca:
        return Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
    trust = trustRootFromCertificates(_authorities(ca))
    policy = BrowserLikePolicyForHTTPS(trust)
    return Agent(reactor, policy, connectTimeout=CONNECT_TIMEOUT_S)


@implementer(IPolicyForHTTPS)
class _ClientCertificatePolicy:
    """Shows the own certificate to every server, and trusts one authority."""

    def __init__(self, section: TlsSection):
        self._own = _Own(section)
        self._trust = trustRootFromCertificates(_authorities(section.ca))

    def creatorForNetloc(self, hostname: bytes, port: int):  # noqa: N802
        """Return the options of a connection to one server."""
        return optionsForClientTLS(
            hostname.decode("ascii"),
            trustRoot=self._trust,
            extraCertificateOptions={
                "privateKey": self._own.key,
                "certificate": self._own.certificate,
                "extraCertChain": self._own.chain,
            },
        )


class _Own:
    """The own certificate, its key and its chain, as pyOpenSSL has them."""

    def __init__(self, section: TlsSection):
        first, *rest = load_pem_x509_certificates(_read(section.certificate))
        self.key = crypto.load_privatekey(crypto.FILETYPE_PEM, _read(section.key))
        self.certificate = crypto.X509.from_cryptography(first)
        self.chain = [crypto.X509.from_cryptography(each) for each in rest]


def _authorities(path: str) -> list[Certificate]:
    found = load_pem_x509_certificates(_read(path))
    return [Certificate(crypto.X509.from_cryptography(each)) for each in found]


def _read(path: str) -> bytes:
    return Path(path).read_bytes()
