"""Adapters between the engine's ports and the network."""
