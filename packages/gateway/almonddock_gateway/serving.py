"""The listeners of a host, and the connections that they accepted."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.model import Clock
from almonddock_core.routing import CallerLimits
from almonddock_gateway.http import (
    CallerConnection,
    CallerRequest,
    ConnectionSettings,
    Exchange,
)
from almonddock_gateway.settings import Address

#: New connections that the kernel keeps until they are accepted.
BACKLOG = 1024

#: The usual limits of HTTP servers, until the operators' limits are known.
START_HEADER_BYTES = 16_384
START_BODY_BYTES = 262_144

#: Limits for callers before the first configuration was read.
START_LIMITS = CallerLimits(
    header_bytes=START_HEADER_BYTES,
    body_bytes=START_BODY_BYTES,
    header_timeout=timedelta(seconds=3),
    idle_timeout=timedelta(minutes=1),
)

Handle = Callable[[CallerRequest, CallerConnection], Exchange | None]


class CallerServers:
    """Listens for callers, the balancer, and the reader of metrics."""

    def __init__(
        self,
        get_limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._get_limits = get_limits
        self._is_stopping = is_stopping
        self._clock = clock
        self._servers: list[asyncio.Server] = []
        self._connections: set[CallerConnection] = set()

    async def listen(self, address: Address, handle: Handle) -> None:
        """Accepts connections; ``handle`` gets their requests."""
        shared = ConnectionSettings(
            handle=handle,
            get_limits=self._get_limits,
            is_stopping=self._is_stopping,
            opened=self._connections.add,
            closed=self._connections.discard,
            clock=self._clock,
        )
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(shared),
            address.host,
            address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._servers.append(server)

    def enforce_timeouts(self) -> None:
        """Ends connections whose callers take too long."""
        for connection in tuple(self._connections):
            connection.enforce_timeouts()

    def close_idle(self) -> None:
        """Closes connections without a request."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()
