"""How many connections a target gets, how fast, and which are silent."""

from collections.abc import Hashable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.deployment import TargetEntry


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """When a connection with work outstanding counts as silent."""

    #: The time without a reply after which it may be silent.
    silence: timedelta = timedelta(seconds=1)
    #: Later requests on other connections that were answered meanwhile.
    overtakers: int = 3


@dataclass(frozen=True, slots=True)
class _Request:
    since: timedelta
    #: Requests to the target that began later and have been answered.
    overtaken: int = 0


class ConnectionPlan:
    """Keeps the connections to one target within its limits.

    Call :meth:`reserve` before dialling and :meth:`free` when a connection
    has ended or could not be made; :meth:`begin` and :meth:`end` around each
    request. Close what :meth:`find_silent` returns.
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
        self._next_dial = timedelta()
        self._requests: dict[Hashable, _Request] = {}

    def reserve(self, now: timedelta) -> timedelta | None:
        """Returns when to dial; None when the target has enough."""
        if self._count >= self._limit:
            return None
        self._count += 1
        dial_at = max(now, self._next_dial)
        self._next_dial = dial_at + self._spacing
        return dial_at

    def free(self) -> None:
        """Takes back one reservation."""
        self._count -= 1

    def begin(self, connection: Hashable, now: timedelta) -> None:
        """Notes that a request was sent on a connection."""
        self._requests[connection] = _Request(now)

    def end(self, connection: Hashable, *, answered: bool) -> None:
        """Notes that the request on a connection has ended."""
        ended = self._requests.pop(connection, None)
        if ended is None or not answered:
            return
        for other, request in self._requests.items():
            if request.since < ended.since:
                self._requests[other] = _Request(
                    request.since,
                    request.overtaken + 1,
                )

    def find_silent(self, now: timedelta) -> tuple[Hashable, ...]:
        """Returns connections without a reply while others got theirs."""
        return tuple(
            connection
            for connection, request in self._requests.items()
            if now - request.since >= self._settings.silence
            and request.overtaken >= self._settings.overtakers
        )
