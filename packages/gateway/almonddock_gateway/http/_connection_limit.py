"""Bounds the number of connections of callers."""

from datetime import timedelta

from almonddock_gateway.http._caller_connection import CallerConnection

#: Beyond the limit, one in so many connections may still wait for its caller to
#: read a refusal.
LINGERING_SHARE = 8


class ConnectionLimit:
    """Keeps descriptors free for what else a host opens.

    At the bound a connection that is not being served makes room for a new one:
    one whose caller does not read its last answer, else the one that is idle
    longest, else the one that has sent nothing for the longest time. If all are
    being served, the new one is refused.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._max_open = max_connections + max_connections // LINGERING_SHARE
        self._open: set[CallerConnection] = set()

    def add(self, connection: CallerConnection) -> None:
        """Counts a new connection, and makes room for it."""
        if len(self._open) >= self._max_connections:
            replaced = min(
                filter(_is_replaceable, self._open), key=_rank, default=None
            )
            if replaced is None:
                connection.refuse()
            else:
                self._replace(replaced)
        self._open.add(connection)
        if len(self._open) > self._max_open:
            self._abort_refused()

    def discard(self, connection: CallerConnection) -> None:
        """Forgets a connection that has closed."""
        self._open.discard(connection)

    def _replace(self, connection: CallerConnection) -> None:
        if connection.unread_bytes:
            # They may never be read.
            self._abort(connection)
        elif connection.idle:
            self._open.discard(connection)
            connection.close_if_idle()
        else:
            connection.refuse()

    def _abort_refused(self) -> None:
        """Closes the connection whose last answer was written first."""
        ended = (one for one in self._open if one.ended)
        oldest = min(ended, key=_get_last_answer, default=None)
        if oldest is not None:
            self._abort(oldest)

    def _abort(self, connection: CallerConnection) -> None:
        self._open.discard(connection)
        connection.abort()


def _is_replaceable(connection: CallerConnection) -> bool:
    """Whether a connection is neither served nor about to close."""
    if connection.ended:
        return connection.unread_bytes > 0
    return not connection.serving


def _rank(connection: CallerConnection) -> tuple[int, timedelta]:
    if connection.ended:
        return 0, connection.since
    if connection.idle and not connection.unread_bytes:
        return 1, connection.since
    return 2, connection.progress_at


def _get_last_answer(connection: CallerConnection) -> timedelta:
    return connection.since
