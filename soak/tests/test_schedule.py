"""A seed determines its schedule, and every kind of fault is drawn."""

import unittest
from datetime import timedelta

from soak.regressions import load_cases
from soak.schedule import (
    LATER_GROUPS,
    LATER_KINDS,
    FaultKind,
    draw_schedule,
)
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

    def test_kinds_can_be_chosen(self) -> None:
        settings = SoakSettings(seed=3, kinds=('HOST_KILL', 'STORE_DOWN'))
        faults = draw_schedule(settings, TARGETS, START)
        kinds = {fault.kind for fault in faults}
        self.assertEqual(kinds, {FaultKind.HOST_KILL, FaultKind.STORE_DOWN})

    def test_later_kinds_leave_the_other_faults_of_a_seed_alone(self) -> None:
        settings = SoakSettings(seed=502)
        faults = draw_schedule(settings, TARGETS, START)
        others = [one for one in faults if one.kind not in LATER_KINDS]
        self.assertLess(len(others), len(faults))
        kinds = tuple(
            kind.name for kind in FaultKind if kind not in LATER_KINDS
        )
        alone = SoakSettings(seed=502, kinds=kinds)
        self.assertEqual(draw_schedule(alone, TARGETS, START), others)

    def test_a_later_group_leaves_the_groups_before_it_alone(self) -> None:
        newest = list(LATER_GROUPS.values())[-1]
        faults = draw_schedule(SoakSettings(seed=502), TARGETS, START)
        before = [one for one in faults if one.kind not in newest]
        self.assertLess(len(before), len(faults))
        kinds = tuple(kind.name for kind in FaultKind if kind not in newest)
        alone = SoakSettings(seed=502, kinds=kinds)
        self.assertEqual(draw_schedule(alone, TARGETS, START), before)

    def test_regressions_name_their_causes(self) -> None:
        cases = load_cases()
        self.assertTrue(cases)
        for case in cases:
            settings = case.make_settings()
            self.assertEqual(settings.seed, case.seed)
            self.assertTrue(draw_schedule(settings, TARGETS, START))
            self.assertGreater(len(case.cause), 10)

    def test_every_kind_is_drawn(self) -> None:
        kinds = {
            fault.kind
            for seed in range(50)
            for fault in draw_schedule(SoakSettings(seed=seed), TARGETS, START)
        }
        self.assertEqual(kinds, set(FaultKind))


if __name__ == '__main__':
    unittest.main()
