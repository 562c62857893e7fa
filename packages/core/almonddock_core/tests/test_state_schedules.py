import unittest

from almonddock_core.tests.state_schedules import Schedule

SCHEDULES = 60


class ScheduleTest(unittest.TestCase):
    def test_revisions_never_decrease_and_hosts_converge(self) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.assertEqual(Schedule(seed).run(), [])
