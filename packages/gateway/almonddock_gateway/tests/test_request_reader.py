"""What is read of a request between its head and its end."""

import unittest
from dataclasses import replace

from almonddock_gateway.http._messages import split_received
from almonddock_gateway.http._request_reader import (
    CallerRequest,
    RequestReader,
)
from almonddock_gateway.tests.fakes import LIMITS

HEAD = b'POST /a/ HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'


class FakeReceiver:
    """Records requests and rejections."""

    def __init__(self) -> None:
        self.received: list[CallerRequest] = []
        self.rejected: list[int] = []

    def receive(self, request: CallerRequest) -> None:
        """Records a request."""
        self.received.append(request)

    def reject(self, status: int) -> None:
        """Records a rejection."""
        self.rejected.append(status)

    def expect_body(self) -> None:
        """Ignores the call."""


class RequestReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = LIMITS
        self.receiver = FakeReceiver()
        self.reader = RequestReader(lambda: self.limits, self.receiver)
        self.reader.reading_head = True

    def feed(self, encoded: bytes) -> None:
        for part in split_received(encoded):
            if not self.receiver.rejected:
                self.reader.feed(part)

    def test_what_follows_a_head_without_end_is_refused(self) -> None:
        """The parser kept a trailer line without end, 2 MB of each caller."""
        for start, unit in (
            (b'1\r\na\r\n0\r\nx: ', b'x'),
            (b'1\r\na\r\n0\r\n', b'a:b\r\n'),
            (b'1\r\na\r\n1;x=', b'x'),
        ):
            with self.subTest(start=start):
                self.setUp()
                self.feed(HEAD + start)
                self.assertEqual(self.receiver.rejected, [])
                self.feed(unit * 400)
                self.assertEqual(self.receiver.rejected, [431])

    def test_unfinished_line_counts_as_held(self) -> None:
        self.limits = replace(LIMITS, header_bytes=0x4000)
        self.feed(HEAD)
        before = self.reader.estimate_memory()
        self.feed(b'1\r\na\r\n0\r\nx: ')
        self.feed(b'x' * 0x3000)
        self.assertGreaterEqual(self.reader.estimate_memory() - before, 0x3000)

    def test_trailer_is_no_header(self) -> None:
        """It could replace the deadline, or the id, of a request."""
        self.feed(b'%b1\r\na\r\n0\r\nx-deadline: 9\r\n\r\n' % HEAD)
        request = self.receiver.received[0]
        self.assertEqual(request.body, b'a')
        self.assertIsNone(request.find(b'x-deadline'))

    def test_body_in_chunks_of_one_byte_is_read_whole(self) -> None:
        """The least honest framing: five bytes for each of the body."""
        self.limits = replace(LIMITS, body_bytes=0x1000)
        chunks = b'1\r\na\r\n' * 0x1000
        self.feed(b'%b%b0\r\n\r\n' % (HEAD, chunks))
        self.assertEqual(self.receiver.rejected, [])
        self.assertEqual(self.receiver.received[0].body, b'a' * 0x1000)


if __name__ == '__main__':
    unittest.main()
