"""Hedges stop where they stay unanswered, and start again."""

import unittest
from datetime import timedelta

from almonddock_core.dispatch import HedgeHistory
from almonddock_core.tests.dispatch_cases import (
    MS,
    SECOND,
    DispatchCase,
    make_route,
)

SERVICE = 'desk'

#: Ages of hedges that ended without a reply, in typical latencies.
OVERDUE = 5
YOUNG = 1


def make_history(
    unanswered: int, answered: int = 0, age: float = OVERDUE
) -> HedgeHistory:
    """Returns a history with the outcomes of hedges at one service."""
    history = HedgeHistory()
    history.may_hedge(SERVICE, SECOND)
    for _ in range(unanswered):
        history.record_unanswered(SERVICE, age, SECOND)
    for _ in range(answered):
        history.record_answered(SERVICE, SECOND)
    return history


class HedgeHistoryTest(unittest.TestCase):
    def test_hedges_stop_only_where_most_stay_unanswered(self) -> None:
        cases = (
            ('nothing known', make_history(0), True),
            ('too few', make_history(2), True),
            ('unanswered', make_history(4), False),
            ('half answered', make_history(4, 4), True),
            ('ended too soon to tell', make_history(9, age=YOUNG), True),
        )
        for name, history, allowed in cases:
            with self.subTest(name):
                self.assertIs(history.may_hedge(SERVICE, SECOND), allowed)
                self.assertTrue(history.may_hedge('other', SECOND))

    def test_one_hedge_finds_out_whether_they_are_answered_again(self) -> None:
        history = make_history(40)
        self.assertFalse(history.may_hedge(SERVICE, SECOND))
        later = 3 * SECOND
        self.assertTrue(history.may_hedge(SERVICE, later))
        self.assertFalse(history.may_hedge(SERVICE, later + 100 * MS))
        for _ in range(20):
            history.record_answered(SERVICE, later)
        self.assertTrue(history.may_hedge(SERVICE, later + 100 * MS))

    def test_outcomes_are_forgotten(self) -> None:
        history = make_history(8)
        history.drop_idle(1.5 * SECOND)
        self.assertFalse(history.may_hedge(SERVICE, 1.5 * SECOND))
        history.drop_idle(20 * SECOND)
        self.assertTrue(history.may_hedge(SERVICE, 20 * SECOND))

    def test_requests_record_the_hedges_that_they_cancel(self) -> None:
        case = DispatchCase(make_route(), deadline=timedelta(seconds=9))
        for _ in range(4):
            case.start()
            case.now += 31 * MS
            case.actions.extend(case.dispatch.tick(case.now))
            case.now += 200 * MS
            case.reply(0)
        case.start()
        sent = len(case.list_sent())
        case.now += 31 * MS
        case.actions.extend(case.dispatch.tick(case.now))
        self.assertEqual(len(case.list_sent()), sent)
        self.assertEqual(case.dispatch.decisions.not_hedged, [SERVICE])


if __name__ == '__main__':
    unittest.main()
