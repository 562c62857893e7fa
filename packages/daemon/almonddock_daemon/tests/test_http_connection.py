"""Tests of connections to targets that send what is no answer."""

import asyncio
import tracemalloc
import unittest

from almonddock_daemon.adapters._http_connection import (
    HttpConnection,
    HttpResponse,
)

WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody'


class FakeTransport(asyncio.Transport):
    """Records whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drops the bytes."""

    def abort(self) -> None:
        """Records the call."""
        self.aborted = True

    def is_closing(self) -> bool:
        """Whether it was aborted."""
        return self.aborted


class HttpConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.transport = FakeTransport()
        self.responses: list[HttpResponse | None] = []
        self.connection = HttpConnection(lambda connection: None)
        self.connection.connection_made(self.transport)

    def request(self) -> None:
        self.connection.request(b'GET', self.responses.append)

    def feed_until_closed(self, repeated: bytes) -> int:
        received = 0
        while not self.transport.aborted and received < 0x2000000:
            self.connection.data_received(repeated)
            received += len(repeated)
        return received

    def test_bytes_without_end_end_the_connection(self) -> None:
        """A target in trouble may send bytes until the connection is closed."""
        head = b'HTTP/1.1 200 OK\r\n'
        chunked = b'%btransfer-encoding: chunked\r\n\r\n' % head
        piece = b'a' * 1000
        for name, start, repeated, bound in (
            ('status line', b'HTTP/1.1 200 ', piece, 0x20000),
            ('header', b'%bx-long: ' % head, piece, 0x20000),
            ('headers', head, b'x-more: %b\r\n' % piece, 0x20000),
            ('trailers', b'%b0\r\n' % chunked, b'x: %b\r\n' % piece, 0x20000),
            ('chunk extension', b'%b1;' % chunked, piece, 0x20000),
            ('body', b'%b\r\n' % head, piece * 60, 0x1100000),
        ):
            with self.subTest(name=name):
                self.setUp()
                self.request()
                self.connection.data_received(start)
                self.assertLess(self.feed_until_closed(repeated), bound)
                self.connection.connection_lost(None)
                self.assertEqual(self.responses, [None])

    def test_small_chunks_take_no_more_memory_than_was_received(self) -> None:
        """Endless replies in two-byte chunks exhausted the memory of hosts."""
        chunks = b'2\r\nxx\r\n' * 0x4000
        self.request()
        self.connection.data_received(
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        tracemalloc.start()
        self.connection.data_received(chunks)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(held, len(chunks))

    def test_bytes_that_no_request_waits_for_end_the_connection(self) -> None:
        """The rest of a late copy would be taken for the next answer."""
        self.request()
        self.connection.data_received(WHOLE)
        self.connection.data_received(WHOLE[:-2])
        self.assertTrue(self.transport.aborted)

    def test_second_copy_in_the_same_segment_ends_the_connection(self) -> None:
        self.request()
        self.connection.data_received(WHOLE + WHOLE[:-2])
        self.assertTrue(self.transport.aborted)
        bodies = [one.body for one in self.responses if one is not None]
        self.assertEqual(bodies, [b'body'])

    def test_interim_response_is_not_the_answer(self) -> None:
        self.request()
        self.connection.data_received(b'HTTP/1.1 103 Early Hints\r\n\r\n')
        self.assertEqual(self.responses, [])
        self.connection.data_received(WHOLE)
        statuses = [one.status for one in self.responses if one is not None]
        self.assertEqual(statuses, [200])

    def test_response_cut_anywhere_is_none(self) -> None:
        """A target may stop in the middle of its head, and close."""
        for length, _ in enumerate(WHOLE):
            with self.subTest(length=length):
                self.setUp()
                self.request()
                self.connection.data_received(WHOLE[:length])
                self.connection.eof_received()
                self.connection.connection_lost(None)
                self.assertEqual(self.responses, [None])


if __name__ == '__main__':
    unittest.main()
