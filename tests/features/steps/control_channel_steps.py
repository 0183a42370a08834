import asyncio

import grpc
from behave import given, then, when

from kumquatshift import tls
from kumquatshift.adapters.control import ControlClient, ControlServicer, serve
from tests.features.steps.tls_steps import ADDRESS, files_of
from tests.soak.proxy import StoreProxy
from tests.support.waiting import installed_reactor, result_of_coroutine, use_reactor

SERVER_PORT = 7391
CALL_GAP_S = 0.2


@given("an entry whose control calls pass through a proxy, with {kind} files")
def step_entry(context, kind):
    reactor = use_reactor(context)
    context.files = files_of(context, kind)
    start(context)
    context.proxy = StoreProxy(reactor, ADDRESS, (ADDRESS, SERVER_PORT))
    port = reactor.listenTCP(0, context.proxy, interface=ADDRESS)
    context.add_cleanup(port.stopListening)
    context.endpoint = f"{ADDRESS}:{port.getHost().port}"
    context.client = ControlClient(tls.channel_opener(context.files))
    context.add_cleanup(lambda: result_of_coroutine(context.client.close()))


def start(context):
    """Start the control server of the entry."""
    servicer = ControlServicer(lambda digests: (), lambda sender, batch: None)
    endpoint = f"{ADDRESS}:{SERVER_PORT}"
    work = serve(servicer, endpoint, tls.server_credentials(context.files))
    context.server = result_of_coroutine(work)
    context.add_cleanup(stop, context)


def stop(context):
    if context.server is not None:
        result_of_coroutine(context.server.stop(None))
    context.server = None


async def sync(context):
    """Return the status of a call, None if it was answered."""
    try:
        await context.client.sync(context.endpoint, (0,))
    except grpc.aio.AioRpcError as exc:
        return exc.code()
    return None


@given("it has answered a call to synchronise objects")
def step_has_answered(context):
    assert result_of_coroutine(sync(context)) is None


@when("the connection falls silent, and {count:d} calls are made at once")
def step_silent(context, count):
    context.proxy.silence()

    async def calls():
        return await asyncio.gather(*(sync(context) for _ in range(count)))

    context.statuses = result_of_coroutine(calls())


@then("they fail at their deadline")
def step_fail(context):
    expected = grpc.StatusCode.DEADLINE_EXCEEDED
    assert all(each is expected for each in context.statuses), context.statuses


@when("calls have failed for {seconds:g} s because the entry was down")
def step_down(context, seconds):
    stop(context)
    context.proxy.reset()

    async def calls():
        for _ in range(round(seconds / CALL_GAP_S)):
            assert await sync(context) is not None
            await asyncio.sleep(CALL_GAP_S)

    result_of_coroutine(calls(), timeout_s=30.0)
    start(context)


@then("the next call is answered within {limit:g} s")
@then("the next call is answered within {limit:g} s of its return")
def step_next_answered(context, limit):
    reactor = installed_reactor()
    begin_s = reactor.seconds()
    status = result_of_coroutine(sync(context))
    assert status is None, status
    assert reactor.seconds() - begin_s < limit
