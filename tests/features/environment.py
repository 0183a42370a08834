"""Hooks shared by all features.

Steps of all features are imported for each one, and the first import of
Twisted's reactor fixes which it is; so the programs' own is installed here.
"""

from kumquatshift.programs.loop import install_reactor

install_reactor()
