"""Tests of target choice, cold targets, isolation and the retry budget."""

import random
import unittest
from datetime import timedelta

from almonddock_core.dispatch import (
    BudgetLimits,
    RetryBudget,
    SlidingWindowCounter,
)
from almonddock_core.placement import (
    ColdStartLimiter,
    Reachability,
    TypicalLatency,
    UnrepeatableRequest,
    choose_near,
    choose_target,
    is_isolated,
)
from almonddock_core.routing import KnownTarget, TargetTable
from almonddock_core.tests.dispatch_cases import (
    HERE,
    MS,
    SECOND,
    THERE,
    make_entry,
)

START = timedelta()


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        table = TargetTable()
        table.put(make_entry('near'), START)
        table.put(make_entry('far', data_centre=THERE), START)
        usable = table.list_usable('desk', START)
        self.near = usable[0]
        self.far = usable[1]

    def choose(self, now: timedelta = START) -> KnownTarget:
        chosen = choose_target([self.near, self.far], HERE, now)
        assert chosen is not None
        return chosen

    def test_own_data_centre_comes_first(self) -> None:
        self.assertIs(self.choose(), self.near)

    def test_long_local_queue_sends_work_to_a_remote_target(self) -> None:
        self.near.health.in_flight = 2
        self.assertIs(self.choose(), self.far)

    def test_target_that_lets_a_request_wait_is_avoided(self) -> None:
        """It must not be sent twice, so nothing else tells before its reply."""
        request = UnrepeatableRequest(START, 40 * MS)
        self.near.health.unrepeatable[request] = None
        self.assertIs(self.choose(20 * MS), self.near)
        self.assertIs(self.choose(100 * MS), self.far)
        del self.near.health.unrepeatable[request]
        self.assertIs(self.choose(100 * MS), self.near)

    def test_slow_target_is_avoided_and_used_again(self) -> None:
        for _ in range(3):
            self.near.health.observe_reply(10, START)
        self.assertIs(self.choose(), self.far)
        self.assertIs(self.choose(20 * SECOND), self.near)

    def test_nearest_target_is_the_one_that_a_comparison_of_all_finds(
        self,
    ) -> None:
        """A query takes it without the others, and may not choose worse."""
        rng = random.Random(1)
        found = 0
        for _ in range(2000):
            self.setUp()
            for target in (self.near, self.far):
                health = target.health
                health.in_flight = rng.randrange(3)
                for _ in range(rng.randrange(3)):
                    health.observe_reply(rng.uniform(0, 3), START)
                if rng.randrange(10) == 0:
                    health.observe_connection_failure(START)
                target.cold_until = rng.choice((START, START, SECOND))
            now = rng.randrange(500) * MS
            targets = [self.far, self.near]
            near = choose_near(targets, HERE, now, lambda one, at: True)
            if near is not None:
                found += 1
                self.assertIs(near, choose_target(targets, HERE, now))
            unusable = choose_near(targets, HERE, now, lambda one, at: False)
            self.assertIsNone(unusable)
        self.assertGreater(found, 500)

    def test_cancelled_request_counts_as_slow(self) -> None:
        for _ in range(3):
            self.near.health.observe_cancellation(6, START)
        self.assertIs(self.choose(), self.far)

    def test_slow_target_is_avoided_by_a_host_with_few_requests(self) -> None:
        """With 26 hosts, each asks a target about once a second."""
        asked_slow = 0
        for second in range(8):
            now = second * SECOND
            if self.choose(now) is self.near:
                asked_slow += 1
                # Hedged after two typical latencies; the hedge is answered
                # one later.
                self.near.health.observe_cancellation(3, now)
            else:
                self.far.health.observe_reply(1, now)
        self.assertLessEqual(asked_slow, 3)

    def test_failing_target_is_avoided(self) -> None:
        self.near.health.observe_failure(START)
        self.assertIs(self.choose(), self.far)

    def test_warm_remote_target_is_preferred_to_a_cold_one(self) -> None:
        self.near.cold_until = SECOND
        self.assertIs(self.choose(), self.far)
        self.assertIs(self.choose(2 * SECOND), self.near)

    def test_ejected_target_is_tried_if_nothing_else_is_left(self) -> None:
        self.near.health.observe_connection_failure(START)
        self.assertIs(self.choose(), self.far)
        chosen = choose_target([self.near], HERE, START)
        self.assertIs(chosen, self.near)

    def test_good_reply_ends_an_ejection(self) -> None:
        health = self.near.health
        for _ in range(5):
            health.observe_connection_failure(START)
        self.assertEqual(health.ejected_until, 2 * SECOND)
        health.observe_reply(1, START)
        self.assertEqual(health.ejected_until, START)

    def test_none_is_chosen_without_candidates(self) -> None:
        self.assertIsNone(choose_target([], HERE, START))


class TypicalLatencyTest(unittest.TestCase):
    def test_follows_the_median_and_not_the_tail(self) -> None:
        latency = TypicalLatency(100 * MS)
        for number in range(1000):
            latency.observe(1 if number % 10 == 0 else 0.03)
        self.assertAlmostEqual(latency.seconds, 0.03, delta=0.01)


class IsolationTest(unittest.TestCase):
    def test_isolation_by_answers_and_unreachable_targets(self) -> None:
        now = 10 * SECOND
        for reached, unreachable, lacks_coverage, expected in (
            (SECOND, 10, True, True),
            (None, 10, True, True),
            (now, 10, True, False),
            (SECOND, 1, True, False),
            (SECOND, 10, False, False),
        ):
            with self.subTest(reached=reached, unreachable=unreachable):
                reachability = Reachability(
                    reached, unreachable, lacks_coverage
                )
                self.assertIs(is_isolated(reachability, now), expected)


class ColdStartLimiterTest(unittest.TestCase):
    def test_all_hosts_together_keep_to_the_rate_of_a_target(self) -> None:
        for hosts in (1, 2, 4, 33):
            for rate in (2, 10, 50):
                with self.subTest(hosts=hosts, rate=rate):
                    sent = self.count_sent(hosts, rate, seconds=1)
                    # The required limit: 1.5 times the rate, plus 5 requests.
                    self.assertLessEqual(sent, rate * 1.5 + 5)
                    later = self.count_sent(hosts, rate, seconds=10)
                    self.assertGreater(later, rate * 9)

    def test_target_that_turns_cold_under_load_gets_no_burst(
        self,
    ) -> None:
        """Each host has just sent a warm target its usual share."""
        for hosts in (1, 4, 33):
            sent = self.count_sent(hosts, 4, seconds=1, was_warm=True)
            self.assertLessEqual(sent, 4)
            later = self.count_sent(hosts, 4, seconds=10, was_warm=True)
            self.assertGreater(later, 4 * 8)

    def test_target_that_turns_cold_again_gets_a_new_bucket(self) -> None:
        limiter = ColdStartLimiter('kyu-1')
        limiter.may_send('target', 10, START)
        limiter.record_sent('target')
        later = START + 60 * SECOND
        self.assertTrue(limiter.may_send('target', 10, later))
        limiter.drop_warm([])
        self.assertFalse(limiter.may_send('target', 10, later, was_warm=True))

    def test_rate_zero_is_no_limit(self) -> None:
        limiter = ColdStartLimiter('kyu-1')
        for _ in range(100):
            self.assertTrue(limiter.may_send('target', 0, START))

    def count_sent(
        self,
        hosts: int,
        rate: float,
        seconds: int,
        *,
        was_warm: bool = False,
    ) -> int:
        names = [f'kyu-{number}' for number in range(hosts)]
        limiters = [
            ColdStartLimiter(name, [peer for peer in names if peer != name])
            for name in names
        ]
        sent = 0
        for step in range(seconds * 100):
            for limiter in limiters:
                now = 10 * step * MS
                if limiter.may_send('target', rate, now, was_warm=was_warm):
                    limiter.record_sent('target')
                    sent += 1
        return sent


class BudgetTest(unittest.TestCase):
    def test_sum_over_hosts_keeps_to_the_bound(self) -> None:
        limits = BudgetLimits(ratio=0.2, slack=52, window=10 * SECOND)
        for hosts in (1, 4, 33):
            with self.subTest(hosts=hosts):
                extras = sum(
                    self.spend_all(limits, hosts, requests=50)
                    for _ in range(hosts)
                )
                self.assertLessEqual(extras, 0.2 * 50 * hosts + 52)
                self.assertGreater(extras, 0.1 * 50 * hosts)

    def test_restart_of_every_host_keeps_to_the_bound(self) -> None:
        limits = BudgetLimits(ratio=0, slack=52, window=10 * SECOND)
        before = sum(self.spend_all(limits, 4, 0) for _ in range(4))
        after = sum(self.spend_all(limits, 4, 0) for _ in range(4))
        self.assertLessEqual(before + after, 52)

    def test_idle_counts_are_forgotten_and_others_are_not(self) -> None:
        limits = BudgetLimits(ratio=0, slack=4, window=10 * SECOND)
        budget = RetryBudget(limits)
        spent = [budget.try_spend('desk', (), START) for _ in range(5)]
        self.assertFalse(spent[-1])
        budget.drop_idle(SECOND)
        self.assertFalse(budget.try_spend('desk', (), SECOND))
        budget.drop_idle(30 * SECOND)
        self.assertTrue(budget.try_spend('desk', (), 30 * SECOND))

    def test_window_slides(self) -> None:
        count = SlidingWindowCounter(10 * SECOND)
        for second in range(30):
            count.add(second * SECOND)
            self.assertLessEqual(count.count(second * SECOND), 11)
        self.assertGreaterEqual(count.count(29 * SECOND), 10)
        self.assertEqual(count.count(60 * SECOND), 0)

    def spend_all(
        self,
        limits: BudgetLimits,
        hosts: int,
        requests: int,
    ) -> int:
        budget = RetryBudget(limits)
        budget.hosts = hosts
        for _ in range(requests):
            budget.count_request('route', START)
        spent = 0
        while budget.try_spend('desk', ('route',), START):
            spent += 1
        return spent


if __name__ == '__main__':
    unittest.main()
