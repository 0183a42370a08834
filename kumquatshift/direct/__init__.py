"""Direct return: targets answer callers themselves, entries see one direction.

The packet of a flow carries a cookie that names its target, so any entry can
forward it without a record of the flow. All modules here are pure decisions, on
the clock that they are given; `docs/PLATFORM.md` shows how they fit together.
"""
