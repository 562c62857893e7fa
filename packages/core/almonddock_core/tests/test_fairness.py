"""Turns of organisations that compete for too little room."""

import heapq
import itertools
import unittest
from datetime import timedelta

from almonddock_core.fairness import MAX_DELAY, FairShares
from almonddock_core.routing import (
    Caller,
    Organisation,
    Quota,
    Route,
    build_organisation_table,
)

WORK = timedelta(milliseconds=100)
SECOND = timedelta(seconds=1)


ROUTE = Route(
    name='search',
    host='desk.example',
    prefix='/',
    idempotent=True,
    timeout=SECOND,
    latency_goal=SECOND,
    max_attempts=2,
    priority=0,
)


def build_caller(name: str, priority: int = 0, rate: float = 0) -> Caller:
    """Returns a caller of an organisation."""
    quota = Quota(rate, rate) if rate else None
    organisation = Organisation(name, priority=priority, quota=quota)
    return Caller(ROUTE, organisation)


def play_contention(
    rates: dict[str, int], room: int, seconds: int
) -> dict[str, int]:
    """Returns how many requests of each organisation are served.

    Each sends so many requests a second, evenly; ``room`` of all are served a
    second, in the order of their turns, within a second of their arrival.
    """
    shares = FairShares()
    arrivals = sorted(
        (SECOND * second + SECOND * number / rate, name)
        for name, rate in rates.items()
        for second in range(seconds)
        for number in range(rate)
    )
    waiting: list[tuple[timedelta, int, timedelta, str]] = []
    served = dict.fromkeys(rates, 0)
    order = itertools.count()
    for place in range(room * seconds):
        now = SECOND * place / room
        while arrivals and arrivals[0][0] <= now:
            arrived, name = arrivals.pop(0)
            caller = build_caller(name)
            turn = arrived + shares.measure_delay(caller, arrived)
            shares.record(caller, WORK, arrived)
            heapq.heappush(waiting, (turn, next(order), arrived, name))
        while waiting:
            _, _, arrived, name = heapq.heappop(waiting)
            if now - arrived <= SECOND:
                served[name] += 1
                break
    return served


class FairSharesTest(unittest.TestCase):
    def test_hot_organisation_harms_only_itself(self) -> None:
        """One that sent eight times its usual took the room of all others."""
        rates = {**dict.fromkeys('abcdefghi', 4), 'hot': 32}
        served = play_contention(rates, room=48, seconds=10)
        for name in 'abcdefghi':
            with self.subTest(name=name):
                self.assertGreaterEqual(served[name], 36)
        self.assertGreaterEqual(served['hot'], 80)

    def test_organisations_share_by_their_rates(self) -> None:
        """A large one within its rate is not behind small ones in theirs."""
        shares = FairShares()
        large, small = build_caller('large', rate=80), build_caller('s', rate=8)
        for _ in range(10):
            shares.record(large, WORK, SECOND)
        shares.record(small, WORK, SECOND)
        self.assertFalse(shares.measure_delay(large, SECOND))
        self.assertFalse(shares.measure_delay(small, SECOND))
        shares.record(small, WORK * 3, SECOND)
        self.assertGreater(shares.measure_delay(small, SECOND), timedelta())

    def test_no_limit_is_not_the_smallest_one(self) -> None:
        """One without a quota was delayed as if owed next to nothing."""
        shares = FairShares()
        limited = [build_caller(name, rate=50) for name in 'abc']
        shares.apply_organisations(
            build_organisation_table(
                (caller.organisation, (caller.organisation.name.encode(),))
                for caller in limited
                if caller.organisation
            ),
        )
        for caller in limited:
            shares.record(caller, WORK, SECOND)
        for caller in (build_caller('unlimited'), Caller(ROUTE)):
            shares.record(caller, WORK, SECOND)
            self.assertFalse(shares.measure_delay(caller, SECOND))

    def test_turn_comes_after_the_longest_delay(self) -> None:
        """Nobody waits behind newcomers without end, however much it took."""
        shares = FairShares()
        shares.record(build_caller('idle'), WORK, SECOND)
        hot = build_caller('hot', priority=3)
        for _ in range(1000):
            shares.record(hot, WORK, SECOND)
        self.assertEqual(shares.measure_delay(hot, SECOND), MAX_DELAY)

    def test_flood_of_urgent_requests_ends_no_others(self) -> None:
        """Strict ranks would serve no request of a lower one in it."""
        shares = FairShares()
        urgent, other = build_caller('a'), build_caller('b', priority=1)
        waited = shares.measure_delay(other, SECOND)
        self.assertGreater(waited, shares.measure_delay(urgent, SECOND))
        self.assertLess(waited, SECOND)

    def test_idle_organisation_earns_no_credit(self) -> None:
        shares = FairShares()
        for name in 'ab':
            shares.record(build_caller(name), WORK, SECOND)
        new = build_caller('new')
        self.assertFalse(shares.measure_delay(new, SECOND * 60))
        shares.record(new, WORK, SECOND * 60)
        shares.drop_idle(SECOND * 60)
        self.assertEqual(len(shares), 1)

    def test_refused_work_is_taken_back(self) -> None:
        shares = FairShares()
        hot, other = build_caller('hot'), build_caller('other')
        shares.record(other, WORK, SECOND)
        shares.record(hot, WORK * 9, SECOND)
        shares.record(hot, -WORK * 9, SECOND)
        self.assertFalse(shares.measure_delay(hot, SECOND))

    def test_machine_may_have_run_for_long(self) -> None:
        """The clock of a machine does not begin with the process."""
        now = timedelta(days=400)
        shares = FairShares()
        shares.drop_idle(now)
        self.assertEqual(len(shares), 0)

    def test_work_is_forgotten_over_days(self) -> None:
        shares = FairShares()
        hot, other = build_caller('hot'), build_caller('other')
        shares.record(hot, WORK * 9, SECOND)
        for day in range(1, 4):
            now = timedelta(days=day)
            shares.record(other, WORK, now)
            shares.record(hot, WORK, now)
            self.assertFalse(shares.measure_delay(hot, now))


if __name__ == '__main__':
    unittest.main()
