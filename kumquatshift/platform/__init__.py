"""Adapters between the users' platform and the load balancer.

Field names and packet layouts of the platform are defined only in this package.
"""
