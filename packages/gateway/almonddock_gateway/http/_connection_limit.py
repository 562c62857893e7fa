"""Bounds the number of connections of callers."""

from collections.abc import Iterable
from datetime import timedelta

from almonddock_gateway.http._caller_connection import CallerConnection


class ConnectionLimit:
    """Keeps descriptors free for what else a host opens.

    At the bound a connection that is not being served is closed for a new one:
    the one that is idle longest, or the one that has sent nothing for the
    longest time if none is idle. If all are being served, the new one is
    refused.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._open: set[CallerConnection] = set()

    def add(self, connection: CallerConnection) -> None:
        """Counts a new connection, and makes room for it."""
        if len(self._open) >= self._max_connections:
            replaced = _find_least_used(self._open)
            if replaced is None:
                connection.refuse()
            else:
                self._open.discard(replaced)
                _close(replaced)
        self._open.add(connection)

    def discard(self, connection: CallerConnection) -> None:
        """Forgets a connection that has closed."""
        self._open.discard(connection)


def _close(connection: CallerConnection) -> None:
    if connection.idle:
        connection.close_if_idle()
    else:
        connection.refuse()


def _find_least_used(
    connections: Iterable[CallerConnection],
) -> CallerConnection | None:
    unused = (one for one in connections if not one.serving)
    return min(unused, key=_rank, default=None)


def _rank(connection: CallerConnection) -> tuple[bool, timedelta]:
    if connection.idle:
        return False, connection.since
    return True, connection.progress_at
