"""Socket options of connections."""

import asyncio
import socket


def set_user_timeout(
    transport: asyncio.BaseTransport,
    milliseconds: int,
) -> None:
    """Sets the time after which unacknowledged bytes end a connection.

    Otherwise the kernel retransmits for minutes to an unreachable peer.
    """
    endpoint = transport.get_extra_info('socket')
    if endpoint is not None:
        endpoint.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            milliseconds,
        )
