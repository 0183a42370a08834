import io
import json

import treq
from behave import given, then, when
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.web.client import ResponseFailed

from kumquatshift.adapters.admin import json_chunks, listen_admin
from kumquatshift.logs import setup
from kumquatshift.settings.common import LogFormat, LogLevel
from tests.support.fake_source import FakeSource
from tests.support.waiting import result_of, use_reactor, wait_until

ADDRESS = "127.13.1.1"


@given("an admin port of a process that is {state}")
def step_listen(context, state):
    context.admin_log = io.StringIO()
    setup(LogLevel.WARNING, LogFormat.HUMAN, context.admin_log)
    reactor = use_reactor(context)
    port = listen_admin(reactor, ADDRESS, 0, FakeSource(state))
    context.add_cleanup(lambda: result_of(port.stopListening()))
    context.admin_port = port.getHost().port


@when('the admin page "{path}" is requested with {method}')
def step_ask(context, path, method):
    url = f"http://{ADDRESS}:{context.admin_port}{path}"
    try:
        response = result_of(treq.request(method, url, persistent=False))
        context.admin_status = response.code
        context.admin_text = result_of(response.text())
    except ResponseFailed:
        context.admin_text = None


@then('the admin response is {status:d} with "{text}"')
def step_answer(context, status, text):
    assert context.admin_status == status, context.admin_status
    assert text in context.admin_text, context.admin_text


@then('the admin response is {status:d} with ""')
def step_answer_any(context, status):
    assert context.admin_status == status, context.admin_status


@then('the admin response does not contain "{text}"')
def step_answer_without(context, text):
    assert text not in context.admin_text, context.admin_text


@then("the admin response is the dump as JSON")
def step_answer_json(context):
    dump = json.loads(context.admin_text)
    assert dump == FakeSource("large").dump()


@then("no chunk of it was larger than {count:d} bytes")
def step_chunks(context, count):
    chunks = list(json_chunks(FakeSource("large").dump()))
    assert "".join(chunks) == context.admin_text
    assert max(map(len, chunks)) <= count, max(map(len, chunks))


@then("the admin response breaks off")
def step_breaks(context):
    assert context.admin_text is None, context.admin_text[-200:]


class DisconnectingReader(Protocol):
    def connectionMade(self):  # noqa: N802
        self.transport.write(b"GET /dump HTTP/1.1\r\nHost: admin\r\n\r\n")

    def dataReceived(self, data):  # noqa: N802
        self.transport.abortConnection()

    def connectionLost(self, reason):  # noqa: N802
        self.factory.disconnected = True


@when('a reader of the admin page "/dump" disconnects early')
def step_disconnect(context):
    factory = ClientFactory.forProtocol(DisconnectingReader)
    factory.disconnected = False
    use_reactor(context).connectTCP(ADDRESS, context.admin_port, factory)
    wait_until(lambda: factory.disconnected)


@then("the admin port has logged nothing")
def step_no_log(context):
    assert not context.admin_log.getvalue(), context.admin_log.getvalue()


@then("a second admin port at its address is refused")
def step_port_refused(context):
    try:
        reactor = use_reactor(context)
        listen_admin(reactor, ADDRESS, context.admin_port, FakeSource("ready"))
    except CannotListenError:
        return
    raise AssertionError
