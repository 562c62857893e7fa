"""The caller's network time, as the kernel measures it."""

import asyncio
import sys
import unittest
from datetime import timedelta

from almonddock_gateway.http._sockets import (
    FIELD_BYTES,
    MINIMUM_OFFSET,
    SMOOTHED_OFFSET,
    measure_way,
    read_round_trip,
)

MS = timedelta(milliseconds=1)


def make_tcp_info(smoothed: int, shortest: int) -> bytes:
    """Returns a structure of the kernel with two round trips."""
    return b''.join(
        (
            bytes(SMOOTHED_OFFSET),
            smoothed.to_bytes(FIELD_BYTES, sys.byteorder),
            bytes(MINIMUM_OFFSET - SMOOTHED_OFFSET - FIELD_BYTES),
            shortest.to_bytes(FIELD_BYTES, sys.byteorder),
        ),
    )


class TestRoundTrip(unittest.TestCase):
    """The shortest round trip is read, as far as the kernel has one."""

    def test_delayed_acknowledgements(self) -> None:
        """The smoothed round trip is not used beside the shortest one."""
        self.assertEqual(6 * MS, read_round_trip(make_tcp_info(40_000, 6000)))

    def test_shortest_unknown(self) -> None:
        """The smoothed one stands in for one that was not measured."""
        for shortest in (0, 0xFFFFFFFF):
            tcp_info = make_tcp_info(6400, shortest)
            self.assertEqual(6.4 * MS, read_round_trip(tcp_info))

    def test_short_structure(self) -> None:
        """Kernels return as many fields as they know."""
        tcp_info = make_tcp_info(6400, 0)
        self.assertEqual(6.4 * MS, read_round_trip(tcp_info[:104]))
        self.assertEqual(timedelta(), read_round_trip(tcp_info[:60]))


class TestWay(unittest.IsolatedAsyncioTestCase):
    """The way of a caller on this machine is short, and never negative."""

    async def test_loopback(self) -> None:
        """A new connection costs the caller a round trip more."""
        accepted: asyncio.Future[asyncio.BaseTransport] = (
            asyncio.get_running_loop().create_future()
        )
        server = await asyncio.start_server(
            lambda _, writer: accepted.set_result(writer.transport),
            '127.0.0.1',
        )
        address = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        transport = await accepted
        reused = measure_way(transport, is_reused=True)
        self.assertGreaterEqual(reused, timedelta())
        if sys.platform == 'linux':
            self.assertEqual(
                2 * reused, measure_way(transport, is_reused=False)
            )
        writer.close()
        transport.close()
        server.close()

    def test_closed(self) -> None:
        """Nothing is known of a connection that has ended."""
        self.assertEqual(timedelta(), measure_way(None, is_reused=False))


if __name__ == '__main__':
    unittest.main()
