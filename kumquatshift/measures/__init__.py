"""Benchmarks and simulations of the load balancer, with the bounds on their results.

`make measure` runs them all, prints one table and writes build/measures.json.
"""
