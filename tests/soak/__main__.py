"""Run the soak from the command line."""

from .run import main

main()
