"""Load generator: sends requests to a running system and reports the results."""
