"""TLS between the processes of the system, and to the platform.

Processes authenticate each other with certificates of the CA in the settings;
without certificates they communicate in clear text, which the settings allow on
loopback addresses only. The files are checked when the settings are loaded, see
`certificates`.
"""

from collections.abc import Callable
from functools import partial
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

# Otherwise a new channel shares the connection of an earlier one to the same endpoint.
CHANNEL_OPTIONS = (("grpc.use_local_subchannel_pool", 1),)


def server_credentials(section: TlsSection) -> grpc.ServerCredentials | None:
    """Return mutual TLS credentials for a gRPC server, None for clear text."""
    if not section.enabled:
        return None
    pair = (_read_file(section.key), _read_file(section.certificate))
    return grpc.ssl_server_credentials(
        [pair], root_certificates=_read_file(section.ca), require_client_auth=True
    )


def channel_opener(section: TlsSection) -> Callable[[str], grpc.aio.Channel]:
    """Return a function that opens a gRPC channel to ``ADDRESS:PORT``."""
    if not section.enabled:
        return partial(grpc.aio.insecure_channel, options=CHANNEL_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        _read_file(section.ca), _read_file(section.key), _read_file(section.certificate)
    )
    return partial(
        grpc.aio.secure_channel, credentials=credentials, options=CHANNEL_OPTIONS
    )


def admin_context(section: TlsSection) -> CertificateOptions | None:
    """Return the TLS options of an admin port, None for clear text."""
    if not section.enabled:
        return None
    own = _OwnCertificate(section)
    return CertificateOptions(
        privateKey=own.key,
        certificate=own.certificate,
        extraCertChain=own.chain,
        trustRoot=trustRootFromCertificates(_load_authorities(section.ca)),
    )


def entry_agent(reactor, section: TlsSection) -> IAgent:
    """Return an HTTP agent for the admin ports of entries."""
    if not section.enabled:
        return Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
    policy = _ClientCertificatePolicy(section)
    return Agent(reactor, policy, connectTimeout=CONNECT_TIMEOUT_S)


def platform_agent(reactor, ca: str = "") -> IAgent:
    """Return an HTTP agent for the platform that trusts only ``ca``, if given."""
    if not ca:
        return Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
    trust = trustRootFromCertificates(_load_authorities(ca))
    policy = BrowserLikePolicyForHTTPS(trust)
    return Agent(reactor, policy, connectTimeout=CONNECT_TIMEOUT_S)


@implementer(IPolicyForHTTPS)
class _ClientCertificatePolicy:
    """Presents the process's certificate to servers, and trusts only its CA."""

    def __init__(self, section: TlsSection):
        self._own = _OwnCertificate(section)
        self._trust = trustRootFromCertificates(_load_authorities(section.ca))

    def creatorForNetloc(self, hostname: bytes, port: int):  # noqa: N802
        """Return the TLS options for a connection to one server."""
        return optionsForClientTLS(
            hostname.decode("ascii"),
            trustRoot=self._trust,
            extraCertificateOptions={
                "privateKey": self._own.key,
                "certificate": self._own.certificate,
                "extraCertChain": self._own.chain,
            },
        )


class _OwnCertificate:
    """The process's certificate, key and chain as pyOpenSSL objects."""

    def __init__(self, section: TlsSection):
        first, *rest = load_pem_x509_certificates(_read_file(section.certificate))
        self.key = crypto.load_privatekey(crypto.FILETYPE_PEM, _read_file(section.key))
        self.certificate = crypto.X509.from_cryptography(first)
        self.chain = [crypto.X509.from_cryptography(each) for each in rest]


def _load_authorities(path: str) -> list[Certificate]:
    found = load_pem_x509_certificates(_read_file(path))
    return [Certificate(crypto.X509.from_cryptography(each)) for each in found]


def _read_file(path: str) -> bytes:
    return Path(path).read_bytes()
