"""Hooks shared by all features.

Behave imports the steps of all features for each one, and the first import of
Twisted's reactor installs the default one. So the programs' reactor is installed
here, before any step is imported.
"""

from kumquatshift.programs.loop import install_reactor

install_reactor()
