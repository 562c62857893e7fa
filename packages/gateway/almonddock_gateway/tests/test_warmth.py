"""Tests of the health checks made while the store is away."""

import os
import unittest
from datetime import timedelta

from almonddock_core.dispatch import Dispatch, DispatchedRequest, Send
from almonddock_core.model import ManualClock
from almonddock_core.routing import Service, build_routing_table
from almonddock_core.tests.dispatch_cases import (
    LIMITS,
    MS,
    SECOND,
    DispatchCase,
    make_route,
)
from almonddock_gateway.controllers import (
    WarmthController,
    WarmthDependencies,
)
from almonddock_gateway.http import HttpReply, ReplyMatch
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    Telemetry,
)
from almonddock_gateway.tests.fakes import NAMES
from almonddock_gateway.tests.relay_cases import FakePools

RATE = 6.0
SERVICE = Service('desk', 10, RATE, 3 * SECOND, '/health')


class WarmthTest(unittest.TestCase):
    def setUp(self) -> None:
        writer = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, writer)
        self.case = DispatchCase(make_route(), replicas=1)
        self.context = self.case.context
        self.context.table = build_routing_table(
            1, LIMITS, [SERVICE], [self.case.route]
        )
        self.target = self.case.targets.list_all()[0]
        self.clock = ManualClock(10 * SECOND)
        self.news_read = self.clock.now()
        self.pools = FakePools()
        self.pool = self.pools.pool
        self.controller = WarmthController(
            WarmthDependencies(
                self.context,
                self.pools,
                NAMES,
                self.clock,
                Telemetry(LineWriter(writer, {}), GatewayMetrics(), self.clock),
                lambda: self.news_read,
            ),
        )

    def advance(self, span: timedelta, *, used: bool = True) -> None:
        self.clock.advance(span)
        if used:
            self.target.health.reached = self.clock.now()
        self.controller.check([SERVICE])

    def answer(self, *headers: tuple[bytes, bytes]) -> ReplyMatch:
        return self.pool.attempts[-1].receive(HttpReply(200, headers, b''))

    def test_targets_in_use_are_checked_while_the_news_is_old(self) -> None:
        self.advance(200 * MS)
        self.assertEqual(self.pool.attempts, [])
        self.advance(200 * MS)
        self.assertEqual(len(self.pool.attempts), 1)
        encoded = self.pool.attempts[0].encode()
        self.assertTrue(encoded.startswith(b'GET /health HTTP/1.1'))
        self.advance(50 * MS)
        self.assertEqual(len(self.pool.attempts), 1)
        self.answer()
        self.advance(50 * MS, used=False)
        self.assertEqual(len(self.pool.attempts), 1)
        self.advance(50 * MS)
        self.assertEqual(len(self.pool.attempts), 2)
        self.assertEqual(self.target.cold_until, timedelta())

    def test_check_without_a_reply_is_cancelled(self) -> None:
        self.advance(SECOND)
        self.advance(SECOND)
        self.assertEqual(self.pool.cancelled, self.pool.attempts[:1])
        self.assertEqual(len(self.pool.attempts), 2)

    def test_what_is_no_warmth_changes_nothing(self) -> None:
        for headers in (
            ((b'x-cold', b'rubbish'),),
            ((b'x-cold', b'-5'),),
            ((b'x-cold', b'0'),),
            (),
        ):
            with self.subTest(headers=headers):
                self.advance(SECOND)
                self.assertIs(self.answer(*headers), ReplyMatch.ACCEPTED)
                self.assertEqual(self.target.cold_until, timedelta())

    def test_reply_to_an_earlier_request_is_no_health_reply(self) -> None:
        self.advance(SECOND)
        foreign = (b'x-attempt', b'a1'), (b'x-cold', b'500')
        self.assertIs(self.answer(*foreign), ReplyMatch.FOREIGN)
        self.assertEqual(self.target.cold_until, timedelta())

    def test_reply_of_another_target_marks_it_as_replaced(self) -> None:
        self.advance(SECOND)
        self.answer((b'x-target', b'another'))
        self.assertTrue(self.target.replaced)

    def test_target_that_turns_cold_during_an_outage_is_spared(self) -> None:
        """Load: 40 requests a second at one target while the store is away.

        It turns cold in the second half of the first second. It got 38 to 41
        requests in a second; it bears 6 and the users' slack, 14 together.
        """
        sent: list[timedelta] = []
        for _ in range(80):
            self.clock.advance(25 * MS)
            now = self.clock.now()
            cold_ms = 0 if now < 10.5 * SECOND else 2000
            if self.start_request(now):
                sent.append(now)
            self.controller.check([SERVICE])
            if self.pool.attempts and not self.pool.attempts[-1].ended:
                self.pool.attempts[-1].ended = True
                self.answer((b'x-cold', b'%d' % cold_ms))
        cold = [at for at in sent if at >= 10.5 * SECOND]
        self.assertGreater(len(sent), 20)
        self.assertLessEqual(find_peak(cold, SECOND), RATE * 1.5 + 5)

    def start_request(self, now: timedelta) -> bool:
        """Sends a request that is answered at once; whether it was sent."""
        route = self.case.route
        dispatch = Dispatch(
            DispatchedRequest('r', route, ('desk',), now, now + SECOND),
            self.context,
        )
        sent = any(isinstance(one, Send) for one in dispatch.start(now))
        if sent:
            self.target.health.reached = now
            self.target.health.in_flight = 0
        return sent


def find_peak(times: list[timedelta], window: timedelta) -> int:
    counts = [
        sum(start <= at < start + window for at in times) for start in times
    ]
    return max(counts, default=0)


if __name__ == '__main__':
    unittest.main()
