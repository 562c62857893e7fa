"""Tests of connections to targets."""

import unittest

from almonddock_gateway.http import ClientConnection, HttpReply, ReplyMatch
from almonddock_gateway.targets import read_reply
from almonddock_gateway.tests.fakes import NAMES, FakeTransport

OK = b'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-stamp: s\r\n'
WHOLE = b'%bcontent-length: 4\r\n\r\nbody' % OK
FOREIGN = (
    b'HTTP/1.1 200 OK\r\nx-attempt: a0\r\nx-stamp: s\r\n'
    b'content-length: 3\r\n\r\nold'
)
UNFRAMED = b'%b\r\nbody' % OK
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
        if reply is not None and read_reply(reply, b'a1', NAMES) is None:
            return ReplyMatch.FOREIGN
        self.replies.append(reply)
        return ReplyMatch.ACCEPTED

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

    def test_malformed_reply_ends_the_connection(self) -> None:
        self.request(b'rubbish\r\n\r\n')
        self.assertTrue(self.transport.closed)
        self.end(clean=False)
        self.assertEqual(self.list_bodies(), [None])

    def test_bytes_after_a_reply_end_the_connection(self) -> None:
        for extra in (FOREIGN, WHOLE, b'more'):
            with self.subTest(extra=extra):
                self.setUp()
                self.request(WHOLE + extra)
                self.assertEqual(self.list_bodies(), [b'body'])
                self.assertTrue(self.transport.closed)

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


if __name__ == '__main__':
    unittest.main()
