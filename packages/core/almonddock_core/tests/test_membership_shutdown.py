import unittest
from datetime import timedelta

from almonddock_core.membership import (
    ShutdownPhase,
    ShutdownPlan,
    ShutdownSettings,
)

SECOND = timedelta(seconds=1)
SETTINGS = ShutdownSettings(notice=3 * SECOND, drain_limit=10 * SECOND)


class ShutdownPlanTest(unittest.TestCase):
    def test_passes_through_its_phases_in_order(self) -> None:
        plan = ShutdownPlan(SETTINGS)
        self.assertIs(plan.advance(0, SECOND), ShutdownPhase.SERVING)
        self.assertTrue(plan.begin(2 * SECOND))
        self.assertFalse(plan.begin(3 * SECOND))
        steps = (
            (0, 4, ShutdownPhase.NOTICE),
            (2, 5, ShutdownPhase.DRAINING),
            (1, 6, ShutdownPhase.DRAINING),
            (0, 7, ShutdownPhase.DONE),
            (1, 8, ShutdownPhase.DONE),
        )
        for outstanding, second, phase in steps:
            with self.subTest(second=second):
                found = plan.advance(outstanding, second * SECOND)
                self.assertIs(found, phase)

    def test_ends_at_the_drain_limit_with_a_request_outstanding(self) -> None:
        plan = ShutdownPlan(SETTINGS)
        plan.begin(SECOND)
        for second, phase in (
            (13, ShutdownPhase.DRAINING),
            (14, ShutdownPhase.DONE),
        ):
            self.assertIs(plan.advance(1, second * SECOND), phase)
