"""When an answer with shards missing goes out to callers far and near.

Load: one of four shards does not answer, and the caller's goal includes its
way to the host and the time that a busy host needs to send.
"""

import unittest
from dataclasses import replace
from datetime import timedelta

from almonddock_core.dispatch import DispatchedRequest, SendingDelay
from almonddock_core.dispatch._timing import plan_timing
from almonddock_core.tests.dispatch_cases import (
    MS,
    SECOND,
    DispatchCase,
    make_route,
)

GOAL = 100 * MS


def plan_partial(way: timedelta, delay: timedelta = timedelta()) -> timedelta:
    """Returns when an answer may go out that waits for a last shard."""
    route = make_route(4, latency_goal=GOAL)
    request = DispatchedRequest(
        'request-1', route, route.shards, timedelta(), SECOND
    )
    return plan_timing(replace(request, way=way), delay).partial_from


def plan_hedge(typical_latency: timedelta) -> timedelta:
    """Returns when a first attempt is hedged."""
    route = make_route(4, latency_goal=GOAL)
    request = DispatchedRequest(
        'request-1', route, route.shards, timedelta(), SECOND
    )
    timing = plan_timing(request, typical_latency=typical_latency)
    return timing.hedge_after


class TestAnswerDue(unittest.TestCase):
    """Answers go out while the way back still fits into the goal."""

    def test_nearby_caller(self) -> None:
        """A caller nearby, or of unknown distance, gets what it had."""
        for way in (timedelta(), MS, 14 * MS):
            self.assertEqual(85 * MS, plan_partial(way))

    def test_distant_caller(self) -> None:
        """The way and the time to send are left to the answer."""
        self.assertEqual(70 * MS, plan_partial(30 * MS))
        self.assertEqual(62 * MS, plan_partial(30 * MS, 8 * MS))

    def test_caller_out_of_reach(self) -> None:
        """A caller that gets no answer in time does not lose shards for it."""
        self.assertEqual(85 * MS, plan_partial(51 * MS))

    def test_delay_of_host(self) -> None:
        """A host that was slow to send before answers earlier."""
        case = DispatchCase(make_route(4, latency_goal=GOAL))
        case.context.sending.byte_time = MS / 10
        for _ in range(20):
            case.context.sending.observe(case.route, 11 * MS, 70)
        case.start()
        for attempt in range(3):
            case.reply(attempt)
        case.advance(84 * MS)
        self.assertEqual(1, case.count_answers())

    def test_first_answers_of_a_host(self) -> None:
        """Hosts of a large deployment sent their few answers 2 ms too late."""
        route = make_route(90, latency_goal=GOAL)
        case = DispatchCase(route)
        case.context.sending.byte_time = timedelta(seconds=8 / 12_500_000)
        transfer = 90 * 28 * case.context.sending.byte_time
        self.assertGreater(case.context.sending.estimate(route), MS + transfer)
        observed = make_route(90, name='observed', latency_goal=GOAL)
        for _ in range(3):
            case.context.sending.observe(observed, 9 * MS, 90 * 28)
        expected = 7 * MS + transfer
        self.assertGreater(case.context.sending.estimate(route), expected)

    def test_size_of_answers(self) -> None:
        """The last answer of a route tells how long the next one takes."""
        case = DispatchCase(make_route(4, latency_goal=GOAL))
        sending = case.context.sending
        sending.byte_time = MS / 10
        for _ in range(20):
            sending.observe(case.route, timedelta(), 100)
        self.assertAlmostEqual(10, sending.estimate(case.route) / MS, delta=0.5)
        sending.keep(frozenset())
        self.assertGreater(sending.estimate(case.route), 12 * MS)


class TestHedgeDue(unittest.TestCase):
    """Attempts are hedged once they are late and while it can still help."""

    def test_quick_targets(self) -> None:
        """Targets that answer soon are hedged at a share of the goal."""
        self.assertEqual(30 * MS, plan_hedge(10 * MS))

    def test_unknown_targets(self) -> None:
        """So are those of which nothing is known."""
        self.assertEqual(30 * MS, plan_hedge(timedelta()))

    def test_slow_targets(self) -> None:
        """Targets that take long are hedged after twice their time."""
        self.assertEqual(50 * MS, plan_hedge(25 * MS))

    def test_last_moment(self) -> None:
        """A hedge leaves its target the typical time to answer."""
        self.assertEqual(45 * MS, plan_hedge(40 * MS))
        self.assertEqual(30 * MS, plan_hedge(80 * MS))

    def test_first_replies(self) -> None:
        """A host that has just started knows nothing of its targets."""
        case = DispatchCase(make_route(4, latency_goal=GOAL)).start()
        for _ in range(19):
            case.dispatch.latency.observe(0.05)
        self.assertEqual(timedelta(), case.dispatch.latency.measured)
        case.dispatch.latency.observe(0.05)
        self.assertGreater(case.dispatch.latency.measured, 20 * MS)


class TestSendingDelay(unittest.TestCase):
    """The delay follows what was observed."""

    def test_steady(self) -> None:
        """A steady delay is expected without a margin after a while."""
        delay = SendingDelay()
        for _ in range(50):
            delay.observe(4 * MS)
        self.assertAlmostEqual(4, delay.expected / MS, places=1)

    def test_pause(self) -> None:
        """One pause of the process does not move answers for long."""
        delay = SendingDelay()
        delay.observe(5 * SECOND)
        for _ in range(20):
            delay.observe(timedelta())
        self.assertLess(delay.expected, 3 * MS)


if __name__ == '__main__':
    unittest.main()
