"""A seed gives one schedule, and all kinds of faults come."""

import unittest
from datetime import timedelta

from soak.schedule import FaultKind, draw_schedule
from soak.settings import SoakSettings

TARGETS = 20
START = timedelta(seconds=5)


class ScheduleTest(unittest.TestCase):
    def test_same_seed_gives_the_same_faults(self) -> None:
        settings = SoakSettings(seed=7)
        first = draw_schedule(settings, TARGETS, START)
        self.assertEqual(first, draw_schedule(settings, TARGETS, START))
        other = draw_schedule(SoakSettings(seed=8), TARGETS, START)
        self.assertNotEqual(first, other)

    def test_faults_fit_the_run(self) -> None:
        for seed in range(30):
            settings = SoakSettings(seed=seed)
            for fault in draw_schedule(settings, TARGETS, START):
                self.assertGreaterEqual(fault.at, START)
                self.assertLess(fault.subject, TARGETS)
                if fault.kind.name.startswith(('HOST_', 'LINK_')):
                    self.assertLess(fault.subject, settings.hosts)

    def test_every_kind_comes(self) -> None:
        kinds = {
            fault.kind
            for seed in range(50)
            for fault in draw_schedule(SoakSettings(seed=seed), TARGETS, START)
        }
        self.assertEqual(kinds, set(FaultKind))


if __name__ == '__main__':
    unittest.main()
