"""Tests of connections to targets."""

import gc
import itertools
import unittest
import weakref

from almonddock_gateway.http import (
    ClientConnection,
    HttpReply,
    ReplyMatch,
    ReplyMemory,
)
from almonddock_gateway.targets import match_reply
from almonddock_gateway.tests.fakes import (
    NAMES,
    FakeTransport,
    measure_memory,
)

OK = b'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-stamp: s\r\n'
WHOLE = b'%bcontent-length: 4\r\n\r\nbody' % OK
FOREIGN = (
    b'HTTP/1.1 200 OK\r\nx-attempt: a0\r\nx-stamp: s\r\n'
    b'content-length: 3\r\n\r\nold'
)
UNFRAMED = b'%b\r\nbody' % OK
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n' % OK


class ClientConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replies: list[HttpReply | None] = []
        self.released = 0
        self.closed = 0
        self.transport = FakeTransport()
        self.connection = ClientConnection(self.release, self.close)
        self.connection.connection_made(self.transport)

    def release(self, connection: ClientConnection) -> None:
        self.released += 1

    def close(self, connection: ClientConnection) -> None:
        self.closed += 1

    def receive(self, reply: HttpReply | None) -> ReplyMatch:
        match = ReplyMatch.ACCEPTED
        if reply is not None:
            match = match_reply(reply, b'a1', NAMES)
        if match is ReplyMatch.ACCEPTED:
            self.replies.append(reply)
        return match

    def request(self, *parts: bytes) -> None:
        self.connection.request(b'GET', self.receive)
        for part in parts:
            self.connection.data_received(part)

    def end(self, *, clean: bool) -> None:
        if clean:
            self.connection.eof_received()
        self.connection.connection_lost(None if clean else OSError())

    def list_bodies(self) -> list[bytes | None]:
        return [None if reply is None else reply.body for reply in self.replies]

    def test_whole_replies(self) -> None:
        for case in (
            (WHOLE,),
            (WHOLE[:30], WHOLE[30:]),
            (CHUNKED,),
            (FOREIGN, WHOLE),
            (FOREIGN + WHOLE,),
            (b'HTTP/1.1 100 Continue\r\n\r\n%b' % WHOLE,),
        ):
            with self.subTest(case=case):
                self.setUp()
                self.request(*case)
                self.assertEqual(self.list_bodies(), [b'body'])
                self.assertEqual(self.released, 1)
                self.assertFalse(self.transport.closed)

    def test_reply_delimited_by_the_end_of_its_connection(self) -> None:
        for clean, expected in ((True, b'body'), (False, None)):
            with self.subTest(clean=clean):
                self.setUp()
                self.request(UNFRAMED)
                self.end(clean=clean)
                self.assertEqual(self.list_bodies(), [expected])

    def test_truncated_replies_are_reported_as_none(self) -> None:
        for part in (b'', WHOLE[:20], WHOLE[:-1], CHUNKED[:-3]):
            for clean in (True, False):
                with self.subTest(part=part, clean=clean):
                    self.setUp()
                    if part:
                        self.request(part)
                    else:
                        self.request()
                    self.end(clean=clean)
                    self.assertEqual(self.list_bodies(), [None])

    def test_reply_cut_anywhere_is_reported_as_none(self) -> None:
        """A target that stops within its head has given no answer.

        Cut replies were seen to reach callers as complete, empty answers.
        """
        trailer = b'%b0\r\nx-last: 1\r\n\r\n' % CHUNKED[: -len(b'0\r\n\r\n')]
        for whole in (WHOLE, CHUNKED, trailer, INTERIM + WHOLE):
            parts = [whole[:end] for end in range(1, len(whole))]
            for case in itertools.product(parts, (True, False), (True, False)):
                with self.subTest(case=case):
                    part, clean, used = case
                    self.setUp()
                    if used:
                        self.request(WHOLE)
                        self.replies = []
                    self.request(part)
                    self.end(clean=clean)
                    self.assertEqual(self.list_bodies(), [None])

    def test_reply_without_a_length_cut_in_its_head_is_none(self) -> None:
        for length in range(1, len(UNFRAMED) - len(b'body')):
            with self.subTest(part=UNFRAMED[:length]):
                self.setUp()
                self.request(UNFRAMED[:length])
                self.end(clean=True)
                self.assertEqual(self.list_bodies(), [None])

    def test_malformed_reply_ends_the_connection(self) -> None:
        self.request(b'rubbish\r\n\r\n')
        self.assertTrue(self.transport.closed)
        self.end(clean=False)
        self.assertEqual(self.list_bodies(), [None])

    def test_status_that_http_does_not_define_is_no_reply(self) -> None:
        """Callers got a status of 600 and more, or waited after 000."""
        for status in (b'000', b'001', b'099', b'600', b'999'):
            with self.subTest(status=status):
                self.setUp()
                self.request(WHOLE.replace(b'200', status))
                self.assertTrue(self.transport.closed)
                self.end(clean=False)
                self.assertEqual(self.list_bodies(), [None])

    def test_statuses_at_the_bounds_are_replies(self) -> None:
        for status in (200, 299, 418, 599):
            with self.subTest(status=status):
                self.setUp()
                self.request(WHOLE.replace(b'200', b'%d' % status))
                self.assertEqual(self.list_bodies(), [b'body'])
                self.assertEqual(self.released, 1)

    def test_bytes_after_a_reply_end_the_connection(self) -> None:
        for extra in (FOREIGN, WHOLE, b'more'):
            with self.subTest(extra=extra):
                self.setUp()
                self.request(WHOLE + extra)
                self.assertEqual(self.list_bodies(), [b'body'])
                self.assertTrue(self.transport.closed)

    def test_head_mixed_with_that_of_a_broken_copy_is_none(self) -> None:
        """A copy broke off in its head, and the next reply followed.

        The two were read as one reply, under the stamp of the copy.
        """
        copy = WHOLE.replace(b'a1', b'a0').replace(b'x-stamp: s', b'x-stamp: t')
        end = copy.index(b'\r\n\r\n')
        for length in range(1, end + 2):
            with self.subTest(part=copy[:length]):
                self.setUp()
                self.request(copy[:length] + WHOLE)
                self.end(clean=False)
                stamps = [
                    reply.find(b'x-stamp') for reply in self.replies if reply
                ]
                self.assertIn(stamps, ([], [b's']))

    def test_next_request_waits_for_the_end_of_the_received_bytes(
        self,
    ) -> None:
        """A second copy of a reply is no reply to the next request.

        A request that is sent as soon as a reply is complete would take what
        follows in the same segment for its own.
        """
        unnamed = b'HTTP/1.1 200 OK\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n'
        for extra in (WHOLE, unnamed, WHOLE[:30], b'more'):
            with self.subTest(extra=extra):
                self.setUp()
                self.connection = ClientConnection(self.send_next, self.close)
                self.connection.connection_made(self.transport)
                self.request(WHOLE + extra)
                self.assertTrue(self.transport.closed)
                self.end(clean=False)
                self.assertEqual(self.list_bodies(), [b'body'])

    def test_bytes_without_end_end_the_connection(self) -> None:
        """A target in trouble may send bytes until the connection is closed."""
        head = b'HTTP/1.1 200 OK\r\n'
        chunked = b'%btransfer-encoding: chunked\r\n\r\n' % head
        piece = b'a' * 1000
        for name, start, repeated in (
            ('status line', b'HTTP/1.1 200 ', piece),
            ('header', b'%bx-long: ' % head, piece),
            ('headers', head, b'x-more: %b\r\n' % piece),
            ('interim replies', b'', INTERIM * 50),
            ('replies to other requests', b'', FOREIGN * 20),
            ('trailers', b'%b0\r\n' % chunked, b'x-more: %b\r\n' % piece),
            ('chunk extension', b'%b1;' % chunked, piece),
        ):
            with self.subTest(name=name):
                self.setUp()
                self.request(start)
                received = self.feed_until_closed(repeated)
                self.assertLess(received, 0x20000)
                self.end(clean=False)
                self.assertEqual(self.list_bodies(), [None])

    def test_body_without_end_ends_the_connection(self) -> None:
        for start, repeated in (
            (b'%b\r\n' % OK, b'a' * 0x10000),
            (b'%bcontent-length: 999999999\r\n\r\n' % OK, b'a' * 0x10000),
            (
                b'%btransfer-encoding: chunked\r\n\r\n' % OK,
                b'1\r\na\r\n' * 0x3000,
            ),
        ):
            with self.subTest(start=start):
                self.setUp()
                self.request(start)
                received = self.feed_until_closed(repeated)
                self.assertLess(received, 0x1100000)
                self.end(clean=False)
                self.assertEqual(self.list_bodies(), [None])

    def test_body_in_small_chunks_is_no_excess(self) -> None:
        body = b'1\r\na\r\n' * 50_000
        self.request(
            b'%btransfer-encoding: chunked\r\n\r\n' % OK,
            body,
            b'0\r\n\r\n',
        )
        self.assertEqual(self.list_bodies(), [b'a' * 50_000])

    def test_small_chunks_take_no_more_memory_than_they_are_counted_for(
        self,
    ) -> None:
        """Endless replies in two-byte chunks exhausted the memory of hosts.

        Each chunk was kept as an object of its own, so the limit on the bytes
        received allowed eight times as much memory.
        """
        chunks = b'2\r\nxx\r\n' * 0x4000
        self.request(b'%btransfer-encoding: chunked\r\n\r\n' % OK)
        held, _ = measure_memory(
            self.connection.data_received, *itertools.repeat(chunks, 9)
        )
        self.assertLess(held, 9 * len(chunks))
        self.connection.data_received(b'0\r\n\r\n')
        self.assertEqual(self.list_bodies(), [b'xx' * 0x4000 * 9])

    def test_closed_connection_keeps_no_part_of_its_reply(self) -> None:
        """Retries of endless replies filled the memory of hosts."""
        self.request(b'%bcontent-length: 999999\r\n\r\n' % OK)
        body = b'x' * 0x40000

        def receive_and_lose(part: bytes) -> None:
            self.connection.data_received(part)
            self.connection.connection_lost(None)

        held, _ = measure_memory(receive_and_lose, body)
        self.assertLess(held, len(body) // 8)

    def test_requests_that_targets_do_not_read_are_counted(self) -> None:
        """Their bodies wait in the memory of the host."""
        memory = ReplyMemory(max_bytes=1000)
        connection = ClientConnection(self.release, self.close, memory)
        connection.connection_made(self.transport)
        connection.request(b'POST', self.receive)
        for unread, held in ((900, 900), (10, 10), (1100, 0)):
            self.transport.unread = unread
            if unread < held:
                connection.resume_writing()
            else:
                connection.pause_writing()
            self.assertEqual(memory.held, held)
        self.assertTrue(self.transport.closed)

    def test_finished_reply_is_not_counted_again(self) -> None:
        """A server may answer before it has read the whole request."""
        memory = ReplyMemory()
        connection = ClientConnection(self.release, self.close, memory)
        connection.connection_made(self.transport)
        connection.request(b'POST', self.receive)
        self.transport.unread = 900_000
        connection.pause_writing()
        body = b'x' * 50_000
        connection.data_received(b'%bcontent-length: 50000\r\n\r\n' % OK + body)
        self.transport.unread = 0
        connection.resume_writing()
        self.assertEqual(memory.held, 0)

    def test_closed_connection_is_freed_without_the_collector(self) -> None:
        connection = ClientConnection(self.release, self.close)
        connection.connection_made(FakeTransport())
        freed = weakref.ref(connection)
        gc.disable()
        self.addCleanup(gc.enable)
        connection.connection_lost(None)
        del connection
        self.assertIsNone(freed())

    def test_short_header_lines_in_one_read_take_little_memory(self) -> None:
        """A read of 256 KB was parsed whole before the limit of a head."""
        for start in (b'', b'transfer-encoding: chunked\r\n\r\n0\r\n'):
            with self.subTest(start=start):
                self.setUp()
                self.request(OK + start)
                lines = b'x:y\r\n' * 0xC000
                _, peak = measure_memory(self.connection.data_received, lines)
                self.assertLess(peak, 2 * len(lines))
                self.assertTrue(self.transport.closed)

    def test_reply_with_too_many_headers_is_none(self) -> None:
        for count, body in ((200, b'body'), (300, None)):
            with self.subTest(count=count):
                self.setUp()
                head = OK + b'x: y\r\n' * count
                self.request(b'%bcontent-length: 4\r\n\r\nbody' % head)
                self.end(clean=False)
                self.assertEqual(self.list_bodies(), [body])

    def send_next(self, connection: ClientConnection) -> None:
        connection.request(b'', self.receive)

    def feed_until_closed(self, repeated: bytes) -> int:
        received = 0
        while not self.transport.closed and received < 0x2000000:
            self.connection.data_received(repeated)
            received += len(repeated)
        return received

    def test_unsolicited_bytes_end_the_connection(self) -> None:
        self.request(WHOLE)
        self.connection.data_received(FOREIGN)
        self.assertTrue(self.transport.closed)
        self.assertEqual(self.list_bodies(), [b'body'])

    def test_connection_is_not_released_after_a_closing_reply(self) -> None:
        self.request(
            b'%bconnection: close\r\ncontent-length: 0\r\n\r\n' % OK,
        )
        self.assertEqual(self.list_bodies(), [b''])
        self.assertEqual(self.released, 0)
        self.assertTrue(self.transport.closed)

    def test_keep_alive_time_is_read(self) -> None:
        self.request(
            b'%bkeep-alive: timeout=7, max=9\r\ncontent-length: 0\r\n\r\n' % OK,
        )
        self.assertEqual(self.connection.keep_alive, 7)

    def test_closed_connection_reports_nothing(self) -> None:
        self.request()
        self.connection.close()
        self.end(clean=False)
        self.assertEqual(self.replies, [])


class ReplyMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = ReplyMemory(max_bytes=10_000)

    def connect(self) -> tuple[ClientConnection, FakeTransport]:
        transport = FakeTransport()
        connection = ClientConnection(
            lambda _: None, lambda _: None, self.memory
        )
        connection.connection_made(transport)
        connection.request(b'GET', lambda _: ReplyMatch.ACCEPTED)
        return connection, transport

    def test_largest_incomplete_replies_are_given_up(self) -> None:
        """Targets that send without end leave honest replies their room."""
        honest, honest_transport = self.connect()
        honest.data_received(WHOLE[:-1])
        others = [self.connect() for _ in range(20)]
        for turn in range(10):
            for connection, transport in others:
                if not transport.closed:
                    start = b'' if turn else UNFRAMED
                    connection.data_received(start + b'a' * 1000)
                self.assertLessEqual(self.memory.held, 10_000)
        self.assertFalse(honest_transport.closed)
        self.assertTrue(any(transport.closed for _, transport in others))
        honest.data_received(WHOLE[-1:])
        self.assertTrue(honest.usable)

    def test_ended_replies_are_not_held(self) -> None:
        for ended in ('complete', 'lost'):
            with self.subTest(ended=ended):
                connection, _ = self.connect()
                connection.data_received(WHOLE[:-1])
                self.assertEqual(self.memory.held, len(WHOLE) - 1)
                if ended == 'complete':
                    connection.data_received(WHOLE[-1:])
                else:
                    connection.connection_lost(None)
                self.assertEqual(self.memory.held, 0)


if __name__ == '__main__':
    unittest.main()
