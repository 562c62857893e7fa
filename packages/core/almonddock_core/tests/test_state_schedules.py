import unittest

from almonddock_core.tests.state_schedules import Schedule

SCHEDULES = 60


class ScheduleTest(unittest.TestCase):
    def test_no_host_goes_back_and_all_agree_at_the_end(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.assertEqual(Schedule(seed).run(), [])
