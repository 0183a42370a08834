"""Hooks shared by all features.

The steps of all features are loaded into one process, so the reactor that the
programs use is installed before any of them asks Twisted for one.
"""

from kumquatshift.programs.loop import install_reactor

install_reactor()
