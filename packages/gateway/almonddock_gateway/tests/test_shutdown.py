"""Tests of the order of a graceful shutdown."""

import unittest
from datetime import timedelta

from almonddock_core.model import ManualClock
from almonddock_gateway.shutdown import ShutdownSteps, finish_requests

#: The clock of the tests moves by this share of the time at each check.
STEP_SHARE = 0.01
TOTAL = timedelta(milliseconds=100)


class StepClock(ManualClock):
    """Moves on whenever it is read, so that no test waits for long."""

    def now(self) -> timedelta:
        """Returns the time, and moves it on."""
        self.advance(TOTAL * STEP_SHARE)
        return super().now()


class FinishRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def finish(self, busy_until: str) -> list[str]:
        """Returns the steps; requests run until one of them was taken."""
        taken: list[str] = []
        steps = ShutdownSteps(
            close_idle=lambda: taken.append('close_idle'),
            refuse_new=lambda: taken.append('refuse_new'),
            withdraw_waiting=lambda: taken.append('withdraw_waiting'),
            give_up=lambda: taken.append('give_up'),
            is_busy=lambda: busy_until not in taken,
        )
        await finish_requests(steps, TOTAL, StepClock())
        return taken

    async def test_all_requests_are_answered_before_the_end(self) -> None:
        """What is open at the end is cut by the end of the process."""
        for busy_until in ('refuse_new', 'withdraw_waiting', 'never'):
            with self.subTest(busy_until=busy_until):
                self.assertEqual(
                    await self.finish(busy_until),
                    ['close_idle', 'refuse_new', 'withdraw_waiting', 'give_up'],
                )


if __name__ == '__main__':
    unittest.main()
