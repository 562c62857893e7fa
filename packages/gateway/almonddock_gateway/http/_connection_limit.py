"""Bounds the number of connections of callers."""

from collections.abc import Iterable
from datetime import timedelta

from almonddock_gateway.http._caller_connection import CallerConnection


class ConnectionLimit:
    """Keeps descriptors free for what else a host opens.

    At the bound the connection that is idle longest is closed for a new one.
    If none is idle, the new one is refused.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._open: set[CallerConnection] = set()

    def add(self, connection: CallerConnection) -> None:
        """Counts a new connection, and makes room for it."""
        if len(self._open) >= self._max_connections:
            idlest = _find_idlest(self._open)
            if idlest is None:
                connection.refuse()
            else:
                self._open.discard(idlest)
                idlest.close_if_idle()
        self._open.add(connection)

    def discard(self, connection: CallerConnection) -> None:
        """Forgets a connection that has closed."""
        self._open.discard(connection)


def _find_idlest(
    connections: Iterable[CallerConnection],
) -> CallerConnection | None:
    idle = (connection for connection in connections if connection.idle)
    return min(idle, key=_get_start, default=None)


def _get_start(connection: CallerConnection) -> timedelta:
    return connection.since
