"""Limits the connections to a target and detects unresponsive ones."""

from collections.abc import Hashable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.deployment import TargetEntry


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """When a connection with an outstanding request counts as unresponsive."""

    #: The shortest time that the request must have been without a reply.
    silence: timedelta = timedelta(seconds=1)
    #: The number of later requests on other connections that must have been
    #: answered in the meantime.
    overtakers: int = 3


@dataclass(frozen=True, slots=True)
class _Request:
    since: timedelta
    #: The number of later requests to the target that have been answered.
    overtaken: int = 0


class ConnectionLimiter:
    """Keeps the connections to one target within its limits.

    Call :meth:`reserve` before connecting and :meth:`free` when a connection
    has closed or failed; :meth:`begin` and :meth:`end` around each request.
    Close the connections that :meth:`find_unresponsive` returns.
    """

    def __init__(
        self,
        entry: TargetEntry,
        settings: ConnectionSettings,
    ) -> None:
        self._limit = entry.connections
        self._spacing = timedelta(milliseconds=entry.connect_ms)
        self._settings = settings
        self._count = 0
        self._next_connect = timedelta()
        self._requests: dict[Hashable, _Request] = {}

    def reserve(self, now: timedelta) -> timedelta | None:
        """Returns when to connect; None at the limit of connections."""
        if self._count >= self._limit:
            return None
        self._count += 1
        connect_at = max(now, self._next_connect)
        self._next_connect = connect_at + self._spacing
        return connect_at

    def free(self) -> None:
        """Releases one reservation."""
        self._count -= 1

    def begin(self, connection: Hashable, now: timedelta) -> None:
        """Records that a request was sent on a connection."""
        self._requests[connection] = _Request(now)

    def end(self, connection: Hashable, *, answered: bool) -> None:
        """Records that the request on a connection has ended."""
        ended = self._requests.pop(connection, None)
        if ended is None or not answered:
            return
        for other, request in self._requests.items():
            if request.since < ended.since:
                self._requests[other] = _Request(
                    request.since,
                    request.overtaken + 1,
                )

    def find_unresponsive(self, now: timedelta) -> tuple[Hashable, ...]:
        """Returns connections without a reply while others were answered."""
        return tuple(
            connection
            for connection, request in self._requests.items()
            if now - request.since >= self._settings.silence
            and request.overtaken >= self._settings.overtakers
        )
