"""Decisions of an entry about work that waits, as functions of values.

No module here opens a connection, starts a task or writes a log. Each
names the load pattern that it answers; tests/direct/decisions replays it.
"""
