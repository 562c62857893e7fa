"""Options of the sockets under connections."""

import asyncio
import socket


def set_user_timeout(
    transport: asyncio.BaseTransport,
    milliseconds: int,
) -> None:
    """Ends a connection whose written bytes stay unconfirmed for so long.

    The kernel would go on for minutes, for a peer that is gone.
    """
    endpoint = transport.get_extra_info('socket')
    if endpoint is not None:
        endpoint.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            milliseconds,
        )
