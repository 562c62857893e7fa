"""Requests while targets are cold."""

import unittest

from almonddock_core.dispatch import (
    BudgetLimits,
)
from almonddock_core.tests.dispatch_cases import (
    MS,
    SECOND,
    DispatchCase,
    make_route,
)

NO_EXTRA_ATTEMPTS = BudgetLimits(ratio=0, slack=0, window=10 * SECOND)


class ColdTargetTest(unittest.TestCase):
    def test_cold_target_gets_no_more_than_its_rate(self) -> None:
        case = DispatchCase(make_route(), cold_rate=2, replicas=1)
        target = case.targets.list_usable('desk', case.now)[0]
        target.cold_until = SECOND
        served = 0
        for _ in range(100):
            case.now += 5 * MS
            case.start()
            served += case.dispatch.answer is None
        self.assertLessEqual(served, 2)
        case.now = SECOND
        self.assertIsNone(case.start().dispatch.answer)

    def test_restarted_target_is_limited_during_a_store_outage(
        self,
    ) -> None:
        """The entry of the restarted target does not show the restart yet."""
        for rate, bound in ((2, 2), (0, 100)):
            case = DispatchCase(make_route(), replicas=1, cold_rate=rate)
            target = case.targets.list_usable('desk', case.now)[0]
            case.now = 10 * SECOND
            case.context.assume_cold(target, case.now)
            served = 0
            for _ in range(100):
                case.now += 5 * MS
                case.start()
                served += case.dispatch.answer is None
            self.assertLessEqual(served, bound)
            self.assertGreaterEqual(served, bound // 2)
            case.now += 3 * SECOND
            self.assertIsNone(case.start().dispatch.answer)

    def test_warm_replica_takes_requests_beyond_the_rate_of_a_cold_one(
        self,
    ) -> None:
        case = DispatchCase(make_route(), cold_rate=2)
        target = case.targets.list_usable('desk', case.now)[0]
        target.cold_until = SECOND
        for _ in range(20):
            case.start()
            self.assertIsNone(case.dispatch.answer)


if __name__ == '__main__':
    unittest.main()
