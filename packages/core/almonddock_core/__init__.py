"""Decisions of the query tier, as state machines without input or output.

Every state machine takes events together with ``now``, a ``timedelta`` since
the process started, and returns actions. Nothing here opens a socket, reads
a clock or uses the global random generator, so the same code runs in the
daemon, in scenarios under a virtual clock and in property tests.
"""
