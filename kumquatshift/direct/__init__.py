"""Direct server return: targets reply to callers directly, bypassing the entry.

Entries see only packets from callers. Each packet carries a cookie that
identifies its target, so any entry can forward it without per-flow state. The
modules here do no I/O and take the current time as an argument;
`docs/PLATFORM.md` describes how they fit together.
"""
