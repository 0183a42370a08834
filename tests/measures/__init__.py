"""Measures that run the engines on the test support; see `kumquatshift.measures`."""
