import tempfile
from datetime import UTC, datetime, timedelta
from pathlib import Path

import grpc
from behave import given, then, when
from cryptography.hazmat.primitives.serialization import (
    BestAvailableEncryption,
    Encoding,
    PrivateFormat,
)
from OpenSSL import SSL
from returns.pipeline import is_successful
from service_identity import VerificationError
from treq.client import HTTPClient
from twisted.internet.ssl import CertificateOptions
from twisted.web.client import ResponseNeverReceived
from twisted.web.server import Site

from kumquatshift import tls
from kumquatshift.adapters.admin import admin_root, listen_admin
from kumquatshift.settings import EntrySettings
from kumquatshift.settings.common import TlsSection
from tests.support.authority import make_authority, make_leaf, write_files
from tests.support.fake_source import FakeSource
from tests.support.waiting import result_of, result_of_coroutine, use_reactor

ADDRESS = "127.13.2.1"
OTHER_ADDRESS = "127.13.2.9"
METHOD = "/kumquatshift.Test/Echo"
CALL_TIMEOUT_S = 3
PAST = timedelta(days=-1)
SITE_CA = make_authority("site")
OTHER_CA = make_authority("stranger")
INTERMEDIATE_CA = make_authority("intermediate", SITE_CA)
NO_FILES = TlsSection("", "", "")


def files_of(context, kind):
    """Return the TLS settings of a process with files of the given kind."""
    if kind == "no":
        return NO_FILES
    folder = scratch_folder(context)
    if kind == "intermediate":
        leaf = make_leaf(INTERMEDIATE_CA, ADDRESS)
        return write_files(folder, SITE_CA, leaf, (INTERMEDIATE_CA,))
    if kind == "another CA's":
        return write_files(folder, SITE_CA, make_leaf(OTHER_CA, ADDRESS))
    if kind == "expired":
        return write_files(folder, SITE_CA, make_leaf(SITE_CA, ADDRESS, PAST))
    if kind == "another VM's":
        return write_files(folder, SITE_CA, make_leaf(SITE_CA, OTHER_ADDRESS))
    return write_files(folder, SITE_CA, make_leaf(SITE_CA, ADDRESS))


def scratch_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return folder.name


def with_password(leaf):
    encryption = BestAvailableEncryption(b"secret")
    return leaf.key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, encryption)


@given("the TLS files of entry settings: {state}")
def step_files(context, state):
    kinds = {
        "with an intermediate authority": "intermediate",
        "the certificate expired": "expired",
        "the certificate of another CA": "another CA's",
        "the certificate for another VM": "another VM's",
    }
    context.tls_now = datetime.now(UTC)
    context.tls_files = files = files_of(context, kinds.get(state, "valid"))
    words = state.split()
    if words[-1] == "missing":
        Path(getattr(files, words[1])).unlink()
    elif words[-1] == "PEM":
        Path(getattr(files, words[1])).write_text("-----BEGIN NONSENSE-----")
    elif words[-1] == "unreadable":
        Path(files.key).unlink()
        Path(files.key).mkdir()
    elif words[-1] == "tomorrow":
        context.tls_now -= timedelta(days=2)
    elif state == "the authority expired":
        context.tls_now += timedelta(days=60)
    elif state == "the key of another certificate":
        Path(files.key).write_bytes(make_leaf(SITE_CA, ADDRESS).key_pem())
    elif words[-1] == "password":
        Path(files.key).write_bytes(with_password(make_leaf(SITE_CA, ADDRESS)))


def load_with_tls(context):
    files = context.tls_files
    path = Path(scratch_folder(context)) / "entry.ini"
    path.write_text(
        f"[entry]\nname = e1\ndomain = a\naddress = {ADDRESS}\n"
        f"[fabric]\naddress = 127.13.2.8\n"
        f"[tls]\nca = {files.ca}\ncertificate = {files.certificate}\nkey = {files.key}"
    )
    return EntrySettings.load(path, context.tls_now)


@then("the entry settings with TLS are loaded")
def step_tls_loads(context):
    result = load_with_tls(context)
    assert is_successful(result), result


@then('the entry settings with TLS are rejected with "{expected}"')
def step_tls_rejected(context, expected):
    problems = [str(problem) for problem in load_with_tls(context).failure()]
    assert any(expected in problem for problem in problems), problems


async def echo(request, context):
    return request


async def start_server(files):
    server = grpc.aio.server()
    handler = grpc.unary_unary_rpc_method_handler(echo)
    generic = grpc.method_handlers_generic_handler(
        "kumquatshift.Test", {"Echo": handler}
    )
    server.add_generic_rpc_handlers((generic,))
    credentials = tls.server_credentials(files)
    if credentials is None:
        port = server.add_insecure_port(f"{ADDRESS}:0")
    else:
        port = server.add_secure_port(f"{ADDRESS}:0", credentials)
    await server.start()
    return server, port


async def call(open_channel, place):
    async with open_channel(place) as channel:
        return await channel.unary_unary(METHOD)(b"hello", timeout=CALL_TIMEOUT_S)


@given("a gRPC server with {kind} files")
def step_grpc_server(context, kind):
    use_reactor(context)
    files = files_of(context, kind)
    server, context.grpc_port = result_of_coroutine(start_server(files))
    context.add_cleanup(lambda: result_of_coroutine(server.stop(None)))


@when("a gRPC client with {kind} files calls it")
def step_grpc_call(context, kind):
    open_channel = tls.channel_opener(files_of(context, kind))
    try:
        work = call(open_channel, f"{ADDRESS}:{context.grpc_port}")
        context.grpc_outcome = result_of_coroutine(work)
    except grpc.aio.AioRpcError as exc:
        context.grpc_outcome = exc.code()


@then("the gRPC call is answered")
def step_grpc_answered(context):
    assert context.grpc_outcome == b"hello", context.grpc_outcome


@then("the gRPC call fails")
def step_grpc_fails(context):
    assert context.grpc_outcome is grpc.StatusCode.UNAVAILABLE, context.grpc_outcome


@given("an HTTPS admin port with {kind} files")
def step_admin_server(context, kind):
    options = tls.admin_context(files_of(context, kind))
    reactor = use_reactor(context)
    keep_port(context, listen_admin(reactor, ADDRESS, 0, FakeSource(), options))


def keep_port(context, port):
    context.add_cleanup(lambda: result_of(port.stopListening()))
    context.https_port = port.getHost().port


@when("an HTTPS client with {kind} files calls it")
def step_admin_call(context, kind):
    call_https(context, tls.entry_agent(use_reactor(context), files_of(context, kind)))


def call_https(context, agent):
    url = f"https://{ADDRESS}:{context.https_port}/ready"
    try:
        answer = result_of(HTTPClient(agent).get(url))
        context.https_outcome = result_of(answer.text())
    except ResponseNeverReceived as exc:
        context.https_outcome = exc.reasons[0].value


@then("the HTTPS call is answered")
def step_https_answered(context):
    assert context.https_outcome == "ready\n", context.https_outcome


@then("the HTTPS call fails")
def step_https_fails(context):
    assert isinstance(context.https_outcome, SSL.Error | VerificationError)


@given("an HTTPS platform with {kind} files")
def step_platform(context, kind):
    files = files_of(context, kind)
    own = tls.admin_context(files)
    options = CertificateOptions(privateKey=own.privateKey, certificate=own.certificate)
    reactor = use_reactor(context)
    site = Site(admin_root(FakeSource()))
    keep_port(context, reactor.listenSSL(0, site, options, interface=ADDRESS))


@when("the platform is called with {trusted} as the CA")
def step_call_platform(context, trusted):
    path = ""
    if trusted != "the system's CAs":
        path = str(Path(scratch_folder(context)) / "ca.pem")
        authority = SITE_CA if trusted == "its own" else OTHER_CA
        Path(path).write_bytes(authority.pem())
    call_https(context, tls.platform_agent(use_reactor(context), path))
