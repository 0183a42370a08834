"""Hooks shared by all features.

Steps of all features are imported for each one, and the first import of
Twisted's reactor fixes which it is; so the programs' own is installed here.
"""

import asyncio

from twisted.internet import asyncioreactor

loop = asyncio.new_event_loop()
asyncio.set_event_loop(loop)
asyncioreactor.install(loop)
