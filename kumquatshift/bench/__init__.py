"""Load and measurement: real callers against a running system."""
