"""Socket options of connections."""

import asyncio
import socket
import sys
from datetime import timedelta

#: The fields ``tcpi_rtt`` and ``tcpi_min_rtt`` of Linux's ``struct tcp_info``:
#: unsigned 32-bit numbers of microseconds at these offsets.
SMOOTHED_OFFSET = 68
MINIMUM_OFFSET = 148
FIELD_BYTES = 4
TCP_INFO_BYTES = MINIMUM_OFFSET + FIELD_BYTES
UNMEASURED = 0, 0xFFFFFFFF


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


def measure_way(
    transport: asyncio.BaseTransport | None, *, is_reused: bool
) -> timedelta:
    """Returns the network time between the caller's first byte and its last.

    It is a round trip, and another one if the caller has opened the connection
    for this request; zero if it is unknown.
    """
    endpoint = transport.get_extra_info('socket') if transport else None
    if endpoint is None or sys.platform != 'linux':
        return timedelta()
    try:
        tcp_info = endpoint.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return timedelta()
    round_trip = read_round_trip(tcp_info)
    return round_trip if is_reused else 2 * round_trip


def read_round_trip(tcp_info: bytes) -> timedelta:
    """Returns the round trip in a ``struct tcp_info``; zero if it has none.

    The shortest one is preferred: the smoothed one includes the time for which
    the peer delays acknowledgements. Old kernels return a shorter structure.
    """
    for offset in (MINIMUM_OFFSET, SMOOTHED_OFFSET):
        field = tcp_info[offset : offset + FIELD_BYTES]
        microseconds = int.from_bytes(field, sys.byteorder)
        if microseconds not in UNMEASURED:
            return timedelta(microseconds=microseconds)
    return timedelta()
