"""Tests of the connections of callers."""

import asyncio
import gc
import unittest
import weakref
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from almonddock_core.model import ManualClock
from almonddock_gateway.http import (
    CallerConnection,
    CallerRequest,
    ConnectionLimit,
    ConnectionSettings,
    Exchange,
    ReplyMemory,
    RequestMemory,
)
from almonddock_gateway.tests.fakes import (
    LIMITS,
    FakeTransport,
    measure_memory,
)

GET = b'GET /a/b?c HTTP/1.1\r\nhost: desk.example\r\n\r\n'
POST = b'POST /a/ HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody'
CHUNKED = (
    b'POST /a/ HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'
)

#: The bounds on what all connections hold of requests and unread answers.
MAX_REQUEST_BYTES = 0x100000
MAX_ANSWER_BYTES = 0x100000


class FakeExchange:
    """An exchange that records whether it was abandoned."""

    def __init__(self) -> None:
        self.abandoned = False

    def abandon(self) -> None:
        """Records that the caller has disconnected."""
        self.abandoned = True


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.requests: list[CallerRequest] = []
        self.exchanges: list[FakeExchange] = []
        self.sent: list[FakeTransport] = []
        self.limits = LIMITS
        self.stopping = False
        #: Raised by the handling of a request; None handles it.
        self.fault: Exception | None = None
        self.settings = ConnectionSettings(
            handle=self.handle,
            get_limits=lambda: self.limits,
            is_stopping=lambda: self.stopping,
            opened=lambda connection: None,
            closed=lambda connection: None,
            clock=self.clock,
            requests=RequestMemory(self.clock, MAX_REQUEST_BYTES),
            answers=ReplyMemory(MAX_ANSWER_BYTES),
        )
        self.transport = FakeTransport()
        self.connection = self.connect(self.transport)

    def connect(self, transport: FakeTransport) -> CallerConnection:
        connection = CallerConnection(self.settings)
        connection.connection_made(transport)
        return connection

    def handle(
        self,
        request: CallerRequest,
        connection: CallerConnection,
    ) -> Exchange:
        if self.fault is not None:
            raise self.fault
        self.requests.append(request)
        self.exchanges.append(FakeExchange())
        return self.exchanges[-1]

    def read_statuses(self) -> list[int]:
        lines = self.transport.written.split(b'\r\n')
        return [
            int(line.split()[1])
            for line in lines
            if line.startswith(b'HTTP/1.1 ')
        ]

    async def test_requests_are_read_whole(self) -> None:
        for encoded, method, body in (
            (GET, b'GET', b''),
            (POST, b'POST', b'body'),
            (CHUNKED, b'POST', b'body'),
        ):
            for cut in (0, 1, 20, len(encoded) - 1):
                with self.subTest(encoded=encoded, cut=cut):
                    self.setUp()
                    self.connection.data_received(encoded[:cut])
                    self.assertEqual(self.requests, [])
                    self.connection.data_received(encoded[cut:])
                    request = self.requests[0]
                    self.assertEqual(request.method, method)
                    self.assertEqual(request.body, body)

    async def test_last_answer_on_a_reset_connection_aborts_it(
        self,
    ) -> None:
        """``write_eof`` raises if a reset precedes ``connection_lost``."""
        self.connection.data_received(GET)
        self.stopping = True
        self.transport.reset = True
        self.connection.send(200, (), b'')
        self.assertTrue(self.transport.closed)

    async def test_error_of_the_host_is_no_bad_request(self) -> None:
        """The caller is told that the outcome is unknown, and can retry."""
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context['exception'])
        )
        self.fault = KeyError('unexpected')
        self.connection.data_received(GET)
        self.assertEqual(self.read_statuses(), [502])
        self.assertTrue(self.transport.ended)
        self.assertEqual(errors, [self.fault])

    async def test_bad_requests_get_one_error_status(self) -> None:
        long_header = b'x' * 400
        for encoded, status in (
            (b'rubbish\r\n\r\n', 400),
            (GET.replace(b'\r\n\r\n', b'\r\ncontent-length: x\r\n\r\n'), 400),
            (POST.replace(b'body', b''), None),
            (POST.replace(b' 4', b' 21'), 413),
            (b'GET /%b HTTP/1.1\r\nhost: x\r\n\r\n' % long_header, 431),
            (b'GET / HTTP/1.1\r\na: %b\r\n\r\n' % long_header, 431),
            (
                CHUNKED.replace(b'2\r\nbo', b'1e\r\n%b' % (b'x' * 30)),
                413,
            ),
        ):
            with self.subTest(encoded=encoded):
                self.setUp()
                self.connection.data_received(encoded)
                expected = [] if status is None else [status]
                self.assertEqual(self.read_statuses(), expected)
                self.assertEqual(self.requests, [])
                self.assertEqual(self.transport.ended, status is not None)

    async def test_small_pieces_of_requests_take_little_memory(self) -> None:
        """A caller can send a body, or a head, in very small pieces.

        The limits on both count bytes; an object for each chunk takes many
        times its size, and a read can be larger than a head may be.
        """
        chunks = CHUNKED[: CHUNKED.index(b'2\r\nbo')] + b'2\r\nxx\r\n' * 0x8000
        lines = GET[:-2] + b'x:y\r\n' * 0xC000
        for encoded in (chunks, lines):
            with self.subTest(start=encoded[:20]):
                self.setUp()
                self.limits = replace(LIMITS, body_bytes=0x40000)
                _, peak = measure_memory(self.connection.data_received, encoded)
                self.assertLess(peak, 2 * len(encoded))

    async def test_closed_connection_keeps_no_part_of_its_request(
        self,
    ) -> None:
        """Callers that break off a body filled the memory of hosts."""
        self.limits = replace(LIMITS, body_bytes=0x80000)
        body = b'x' * 0x40000
        head = POST.replace(b' 4\r\n\r\nbody', b' 500000\r\n\r\n')
        self.connection.data_received(head)

        def receive_and_lose(part: bytes) -> None:
            self.connection.data_received(part)
            self.connection.connection_lost(None)

        held, _ = measure_memory(receive_and_lose, body)
        self.assertLess(held, len(body) // 8)

    async def test_closed_connection_is_freed_without_the_collector(
        self,
    ) -> None:
        transport = FakeTransport()
        connection = self.connect(transport)
        connection.data_received(GET[:20])
        freed = weakref.ref(connection)
        gc.disable()
        self.addCleanup(gc.enable)
        connection.connection_lost(None)
        del connection
        self.assertIsNone(freed())

    async def test_conflicting_lengths_are_rejected(self) -> None:
        smuggled = (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        self.connection.data_received(smuggled + GET)
        self.assertEqual(self.read_statuses(), [400])
        self.assertEqual(self.requests, [])

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        self.connection.data_received(GET + POST + GET)
        self.assertEqual(len(self.requests), 1)
        for status in (200, 404, 503):
            self.connection.send(status, (), b'')
        self.assertEqual(self.read_statuses(), [200, 404, 503])

    async def test_stopping_host_answers_requests_behind_the_current_one(
        self,
    ) -> None:
        """The first answer closed the connection, and the rest got none."""
        for behind, rest in (
            (GET + POST, b''),
            (GET + POST[:9], POST[9:]),
            (POST[:-1], POST[-1:]),
        ):
            with self.subTest(behind=behind):
                self.setUp()
                self.stopping = True
                self.connection.data_received(GET + behind)
                self.connection.send(200, (), b'')
                self.assertFalse(self.transport.ended)
                self.connection.data_received(rest)
                while not self.transport.ended:
                    answered = self.read_statuses()
                    self.connection.send(200, (), b'')
                    self.assertNotEqual(self.read_statuses(), answered)
                self.assertEqual(len(self.requests), len(self.read_statuses()))
                closing = self.transport.written.split(b'connection: close')
                self.assertEqual(len(closing), 2)
                self.assertNotIn(b'HTTP/1.1', closing[1])

    async def test_caller_that_reads_no_answers_gets_no_more(self) -> None:
        """Answers to requests in line were buffered without a bound."""
        self.connection.data_received(GET + GET + GET)
        self.connection.pause_writing()
        self.assertTrue(self.transport.reading_paused)
        self.connection.send(200, (), b'')
        self.assertEqual(len(self.requests), 1)
        self.connection.resume_writing()
        self.assertFalse(self.transport.reading_paused)
        self.assertEqual(len(self.requests), 2)
        self.connection.send(200, (), b'')
        self.assertEqual(len(self.requests), 3)
        self.assertEqual(self.read_statuses(), [200, 200])

    async def test_request_before_malformed_bytes_is_answered(
        self,
    ) -> None:
        self.connection.data_received(b'%brubbish\r\n\r\n' % GET)
        self.connection.send(200, (), b'')
        self.assertEqual(self.read_statuses(), [200])
        self.assertTrue(self.transport.ended)

    async def test_disconnect_abandons_the_exchange(self) -> None:
        self.connection.data_received(GET)
        self.connection.connection_lost(None)
        self.assertTrue(self.exchanges[0].abandoned)
        self.connection.send(200, (), b'')
        self.assertEqual(self.transport.written, b'')

    async def test_connection_closes_when_asked_or_stopping(self) -> None:
        closing = GET.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n')
        for encoded, stopping, closed in (
            (GET, False, False),
            (closing, False, True),
            (GET, True, True),
        ):
            with self.subTest(encoded=encoded, stopping=stopping):
                self.setUp()
                self.stopping = stopping
                self.connection.data_received(encoded)
                self.connection.send(200, (), b'')
                said = b'connection: close' in self.transport.written
                self.assertEqual(said, closed)
                self.assertEqual(self.transport.ended, closed)

    async def test_idle_close_keeps_connections_with_a_request(self) -> None:
        for encoded, closed in ((b'', True), (GET, False), (GET[:9], False)):
            with self.subTest(encoded=encoded):
                self.setUp()
                if encoded:
                    self.connection.data_received(encoded)
                self.connection.close_if_idle()
                self.assertEqual(self.transport.closed, closed)

    async def test_slow_headers_and_idle_connections_time_out(self) -> None:
        for encoded, seconds, statuses, closed in (
            (GET[:9], 2, [], False),
            (GET[:9], 4, [408], False),
            (b'', 14, [], False),
            (b'', 16, [], True),
            (GET, 16, [], False),
        ):
            with self.subTest(encoded=encoded, seconds=seconds):
                self.setUp()
                if encoded:
                    self.connection.data_received(encoded)
                self.clock.advance(timedelta(seconds=seconds))
                self.connection.enforce_timeouts()
                self.assertEqual(self.read_statuses(), statuses)
                self.assertEqual(self.transport.closed, closed)

    async def test_body_that_stops_arriving_times_out(self) -> None:
        """It was kept until the idle timeout, and ended without an answer."""
        for seconds, steps, statuses in (
            (2, 1, []),
            (4, 1, [408]),
            (2, 4, []),
            (2, 8, [408]),
        ):
            with self.subTest(seconds=seconds, steps=steps):
                self.setUp()
                head = POST.replace(b' 4\r\n\r\nbody', b' 20\r\n\r\n')
                self.connection.data_received(head)
                for _ in range(steps):
                    self.connection.data_received(b'b')
                    self.clock.advance(timedelta(seconds=seconds))
                    self.connection.enforce_timeouts()
                self.assertEqual(self.read_statuses(), statuses)
                self.assertEqual(self.requests, [])

    async def test_body_behind_a_long_request_gets_its_time(self) -> None:
        self.connection.data_received(GET + POST[:-1])
        self.clock.advance(timedelta(seconds=10))
        self.connection.enforce_timeouts()
        self.connection.send(200, (), b'')
        self.connection.enforce_timeouts()
        self.connection.data_received(POST[-1:])
        self.connection.send(200, (), b'')
        self.assertEqual(self.read_statuses(), [200, 200])

    def send_parts(self, encoded: bytes, count: int) -> list[FakeTransport]:
        """Sends the same bytes on many connections."""
        transports = []
        for _ in range(count):
            transport = FakeTransport()
            connection = self.connect(transport)
            connection.data_received(encoded)
            transports.append(transport)
        return transports

    def send_to_many(self, encoded: bytes) -> None:
        self.sent = self.send_parts(encoded, 60)

    async def test_bodies_of_many_callers_take_bounded_memory(self) -> None:
        """Each body was bounded, but all together filled the memory."""
        self.limits = replace(LIMITS, body_bytes=0x40000)
        body = b'b' * 0x30000
        head = POST.replace(b' 4\r\n\r\nbody', b' 200000\r\n\r\n')
        lines = GET[:-2] + b'x:y\r\n' * 0x200
        for encoded in (head + body, (head + body + b'b' * 3392) * 9, lines):
            with self.subTest(start=encoded[:20], size=len(encoded)):
                self.setUp()
                self.limits = replace(
                    LIMITS, header_bytes=0x4000, body_bytes=0x40000
                )
                held, _ = measure_memory(self.send_to_many, encoded)
                self.assertLess(held, 1.5 * MAX_REQUEST_BYTES)
                refused = [one for one in self.sent if one.ended]
                self.assertGreater(len(refused), 0)

    async def test_refusal_for_memory_says_when_to_retry(self) -> None:
        self.limits = replace(LIMITS, body_bytes=0x400000)
        head = POST.replace(b' 4\r\n\r\nbody', b' 4000000\r\n\r\n')
        self.connection.data_received(head + b'b' * 0x110000)
        self.assertEqual(self.read_statuses(), [503])
        self.assertIn(b'retry-after: 0.1\r\n', self.transport.written)
        self.assertIn(b'connection: close\r\n', self.transport.written)
        self.assertTrue(self.transport.ended)
        self.assertEqual(self.requests, [])
        self.assertEqual(self.settings.requests.held, 0)

    async def test_requests_being_served_are_not_refused(self) -> None:
        self.limits = replace(LIMITS, body_bytes=0x100000)
        head = POST.replace(b' 4\r\n\r\nbody', b' 1000000\r\n\r\n')
        self.connection.data_received(head + b'b' * 1_000_000)
        others = self.send_parts(head + b'b' * 900_000, 1)
        self.assertTrue(others[0].ended)
        self.connection.data_received(head + b'b' * 900_000)
        self.assertEqual(len(self.requests), 1)
        self.connection.send(200, (), b'')
        self.assertEqual(self.read_statuses(), [200])
        self.assertEqual(self.settings.requests.held, 0)

    async def test_small_requests_are_served_beside_large_bodies(self) -> None:
        self.limits = replace(LIMITS, body_bytes=0x40000)
        head = POST.replace(b' 4\r\n\r\nbody', b' 200000\r\n\r\n')
        self.send_parts(head + b'b' * 0x30000, 20)
        self.send_parts(GET, 30)
        self.assertEqual(len(self.requests), 30)

    async def test_unread_answers_of_many_callers_are_bounded(self) -> None:
        """Each caller may leave one large answer unread."""
        transports = []
        for size in range(40_000, 80_000, 1000):
            transport = FakeTransport()
            connection = self.connect(transport)
            transports.append(transport)
            connection.data_received(GET)
            transport.unread = size
            connection.send(200, (), b'')
        unread = [one.unread for one in transports if not one.closed]
        self.assertLessEqual(sum(unread), MAX_ANSWER_BYTES)
        self.assertGreater(sum(unread), MAX_ANSWER_BYTES // 2)

    async def test_idle_callers_leave_descriptors_for_others(self) -> None:
        """Idle connections took all, and readiness was not answered."""
        limit = ConnectionLimit(3)
        self.settings = replace(self.settings, opened=limit.add)
        transports = [FakeTransport() for _ in range(6)]
        for number, transport in enumerate(transports):
            self.clock.advance(timedelta(seconds=1))
            connection = self.connect(transport)
            if number == 0:
                connection.data_received(GET)
        self.assertEqual(
            [transport.closed for transport in transports],
            [False, True, True, True, False, False],
        )

    async def test_incomplete_heads_do_not_keep_others_out(self) -> None:
        """64 of them made readiness answer 503."""
        limit = ConnectionLimit(3)
        self.settings = replace(self.settings, opened=limit.add)
        transports = [FakeTransport() for _ in range(4)]
        for transport in transports:
            self.clock.advance(timedelta(seconds=1))
            self.connect(transport).data_received(GET[:20])
        self.assertEqual(
            [transport.ended for transport in transports],
            [True, False, False, False],
        )

    async def test_caller_is_refused_when_no_connection_is_idle(self) -> None:
        limit = ConnectionLimit(1)
        self.settings = replace(
            self.settings, opened=limit.add, closed=limit.discard
        )
        first = self.connect(FakeTransport())
        first.data_received(GET)
        self.connection = self.connect(self.transport)
        self.assertEqual(self.read_statuses(), [503])
        self.assertTrue(self.transport.ended)
        self.connection.data_received(GET)
        self.assertEqual(len(self.requests), 1)
        for ended in (self.connection, first):
            ended.connection_lost(None)
        self.transport = FakeTransport()
        self.connect(self.transport).data_received(GET)
        self.assertEqual(len(self.requests), 2)

    async def test_refused_callers_count_until_they_are_gone(self) -> None:
        """Each stayed open for a second, beyond the limit."""
        limit = ConnectionLimit(2)
        self.settings = replace(self.settings, opened=limit.add)
        transports = [FakeTransport() for _ in range(8)]
        for transport in transports:
            self.clock.advance(timedelta(seconds=1))
            self.connect(transport).data_received(GET[:20])
        still_open = [one for one in transports if not one.closed]
        self.assertLessEqual(len(still_open), 3)
        self.assertFalse(transports[-1].ended)

    async def test_caller_that_reads_no_answer_makes_room(self) -> None:
        """Its connection was left open until it had read all."""
        limit = ConnectionLimit(1)
        self.settings = replace(self.settings, opened=limit.add)
        unread = FakeTransport()
        first = self.connect(unread)
        first.data_received(GET)
        first.send(200, (), b'long')
        unread.unread = 100
        with patch.object(unread, 'abort') as abort:
            self.connect(FakeTransport())
        abort.assert_called_once_with()

    async def test_head_gets_no_body(self) -> None:
        self.connection.data_received(GET.replace(b'GET', b'HEAD'))
        self.connection.send(200, (), b'body')
        self.assertTrue(self.transport.written.endswith(b'\r\n\r\n'))

    async def test_continue_is_sent_only_for_an_allowed_body(self) -> None:
        for length, expected in ((4, [100]), (21, [413])):
            with self.subTest(length=length):
                self.setUp()
                self.connection.data_received(
                    b'POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n'
                    b'content-length: %d\r\n\r\n' % length,
                )
                self.assertEqual(self.read_statuses(), expected)


if __name__ == '__main__':
    unittest.main()
