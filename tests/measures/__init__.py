"""Measures that run the engines on the tests' fakes; see `kumquatshift.measures`."""
