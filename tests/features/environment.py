"""Hooks shared by all features."""
