"""The single event loop of a program."""

import asyncio

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor


def install_reactor():
    """Install and return Twisted's reactor on a new asyncio loop.

    Twisted, gRPC and aiocoap then share one loop on one thread. Call this once,
    before any other code imports Twisted's reactor.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    reactor = AsyncioSelectorReactor(loop)
    installReactor(reactor)
    return reactor
