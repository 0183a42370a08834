"""Randomized soak test: entries in processes, faults injected from outside."""
