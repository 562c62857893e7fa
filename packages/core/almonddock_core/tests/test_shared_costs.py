"""Hosts tell each other which targets are slow or fail."""

import heapq
import itertools
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.dispatch import (
    BudgetLimits,
    Dispatch,
    DispatchContext,
    DispatchedRequest,
    Finish,
    ForwardedAnswer,
    RetryBudget,
    Send,
)
from almonddock_core.dispatch._actions import Action
from almonddock_core.placement import ColdStartLimiter, choose_target
from almonddock_core.placement._health import MAX_REPORTED_COST
from almonddock_core.routing import (
    CostReports,
    KnownTarget,
    Route,
    TargetTable,
    build_routing_table,
)
from almonddock_core.tests.dispatch_cases import (
    HERE,
    LIMITS,
    MS,
    SECOND,
    THERE,
    make_entry,
    make_reply,
    make_route,
)

BUDGET = BudgetLimits(ratio=0.2, slack=430, window=10 * SECOND)

#: The interval at which followers ask a watcher.
EXCHANGE = SECOND / 2

#: The work of one request at a sound target, and at a slow one.
WORK = 90 * MS
SLOW_WORK = 720 * MS


@dataclass(slots=True)
class Fleet:
    """Hosts of one data centre, each with its own view of three targets.

    Load: eight non-idempotent requests a second in all, so with many hosts
    each one asks a target every ten seconds or less often.
    """

    size: int
    sharing: bool
    slow: frozenset[str] = frozenset()
    slow_work: timedelta = SLOW_WORK
    now: timedelta = timedelta()
    in_time: int = 0
    late: int = 0
    _events: list[tuple[timedelta, int, Callable[[], None]]] = field(
        default_factory=list,
    )
    _order: 'itertools.count[int]' = field(default_factory=itertools.count)
    _rng: random.Random = field(default_factory=lambda: random.Random(5))
    route: Route = field(init=False)
    contexts: list[DispatchContext] = field(init=False)
    reports: list[CostReports] = field(init=False)

    def __post_init__(self) -> None:
        """Creates the hosts."""
        self.route = make_route(
            idempotent=False,
            timeout=1500 * MS,
            latency_goal=347 * MS,
        )
        self.contexts = [self._make_context() for _ in range(self.size)]
        self.reports = [CostReports(one.targets, HERE) for one in self.contexts]

    def run(self, until: timedelta, per_second: float) -> None:
        """Sends requests to hosts in random order, and exchanges reports."""
        gap = SECOND / per_second
        arrival = self.now
        while arrival < until:
            self._schedule(arrival, self._start_request)
            arrival += gap
        exchange = self.now
        while self.sharing and exchange < until:
            self._schedule(exchange, self._exchange)
            exchange += EXCHANGE
        while self._events and self._events[0][0] < until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = until

    def _make_context(self) -> DispatchContext:
        targets = TargetTable()
        for number in range(3):
            targets.put(make_entry(f't{number}'), self.now)
        budget = RetryBudget(BUDGET)
        budget.hosts = self.size
        context = DispatchContext(
            HERE, targets, budget, ColdStartLimiter('kyu-1')
        )
        context.table = build_routing_table(1, LIMITS, [], [self.route])
        return context

    def _schedule(self, at: timedelta, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _start_request(self) -> None:
        context = self._rng.choice(self.contexts)
        dispatch = Dispatch(
            DispatchedRequest(
                'r', self.route, ('desk',), self.now, self.now + 1500 * MS
            ),
            context,
        )
        self._carry_out(dispatch, dispatch.start(self.now))

    def _carry_out(self, dispatch: Dispatch, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                target_id = action.target.entry.target_id
                work = self.slow_work if target_id in self.slow else WORK
                work *= self._rng.uniform(0.8, 1.2)
                self._schedule(
                    self.now + work, self._make_reply(dispatch, action.attempt)
                )
            elif isinstance(action, Finish):
                self._count(dispatch, action)
        if dispatch.answer is None:
            self._schedule(dispatch.wake_at, self._make_tick(dispatch))

    def _make_reply(
        self, dispatch: Dispatch, number: int
    ) -> Callable[[], None]:
        return lambda: self._carry_out(
            dispatch, dispatch.receive(number, make_reply(), self.now)
        )

    def _make_tick(self, dispatch: Dispatch) -> Callable[[], None]:
        return lambda: self._carry_out(dispatch, dispatch.tick(self.now))

    def _count(self, dispatch: Dispatch, finish: Finish) -> None:
        served = isinstance(finish.answer, ForwardedAnswer)
        goal = dispatch.request.arrived + self.route.latency_goal
        if served and self.now <= goal:
            self.in_time += 1
        else:
            self.late += 1

    def _exchange(self) -> None:
        """All tell the watcher, the first host, which tells all."""
        watcher, *followers = self.reports
        for one in followers:
            watcher.record(one.list_observed(self.now), self.now)
        known = watcher.list_known(self.now)
        for one in followers:
            one.record(known, self.now)


def play(size: int, *, sharing: bool) -> Fleet:
    """Plays a calm time, then eight seconds with two slow targets."""
    fleet = Fleet(size, sharing)
    fleet.run(20 * SECOND, 8)
    fleet.slow = frozenset(('t0', 't1'))
    fleet.run(22 * SECOND, 8)
    fleet.in_time = 0
    fleet.late = 0
    fleet.run(30 * SECOND, 8)
    return fleet


class SharedCostsTest(unittest.TestCase):
    def test_many_hosts_avoid_slow_targets_as_soon_as_few(self) -> None:
        """Two of three targets turn slow; each request goes to one.

        Without reports each host learns by late answers of its own, which
        took 78 hosts longer than the targets were slow.
        """
        few = play(4, sharing=False)
        for size in (26, 78, 300):
            with self.subTest(size=size):
                alone = play(size, sharing=False)
                together = play(size, sharing=True)
                self.assertGreaterEqual(together.in_time, 0.9 * few.in_time)
                self.assertGreater(alone.late, 2 * together.late)

    def test_targets_that_let_requests_wait_are_avoided_before_they_reply(
        self,
    ) -> None:
        """Two of three targets take longer than the callers wait.

        Nothing answers before then, and these requests are not cancelled.
        """
        for size in (4, 26, 78):
            with self.subTest(size=size):
                fleet = Fleet(size, sharing=True, slow_work=30 * SECOND)
                fleet.run(20 * SECOND, 8)
                fleet.slow = frozenset(('t0', 't1'))
                fleet.in_time = 0
                fleet.run(24 * SECOND, 8)
                self.assertGreaterEqual(fleet.in_time, 0.75 * 4 * 8)

    def test_targets_are_used_again_once_they_are_sound(self) -> None:
        fleet = play(26, sharing=True)
        fleet.slow = frozenset()
        fleet.run(45 * SECOND, 8)
        for one in fleet.reports:
            self.assertEqual(one.list_known(fleet.now), ())


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = TargetTable()
        for number in range(8):
            place = HERE if number < 4 else THERE
            entry = make_entry(f't{number}', data_centre=place)
            self.table.put(entry, timedelta())
        self.reports = CostReports(self.table, HERE)

    def list_known(self, now: timedelta = SECOND) -> list[str]:
        return [target_id for target_id, _ in self.reports.list_known(now)]

    def test_report_ends_by_itself(self) -> None:
        self.reports.record([('t1', 4)], timedelta())
        self.assertEqual(self.list_known(), ['t1'])
        self.assertEqual(self.list_known(15 * SECOND), [])

    def test_host_that_is_cut_off_condemns_no_data_centre(self) -> None:
        """It cannot reach any target there, which others can."""
        cut_off = [(f't{number}', 12) for number in range(4, 8)]
        self.reports.record([*cut_off, ('t0', 5)], timedelta())
        self.assertEqual(self.list_known(), ['t0'])

    def test_host_that_is_cut_off_tells_nothing_of_that_data_centre(
        self,
    ) -> None:
        """Its report would name 256 targets, too few to be doubted."""
        for number in range(500):
            entry = make_entry(f'u{number}', data_centre=THERE)
            self.table.put(entry, timedelta())
        for target in self.table.list_all():
            if target.entry.data_centre == THERE:
                target.health.unreachable = True
        self.get_target(0).health.unreachable = True
        observed = [name for name, _ in self.reports.list_observed(SECOND)]
        self.assertEqual(observed, ['t0'])

    def test_target_that_this_host_found_failing_stays_the_last_choice(
        self,
    ) -> None:
        """A host that lies does not send the load to targets that are down."""
        accused, failing = (self.get_target(number) for number in (0, 1))
        self.reports.record([('t0', 1000)], timedelta())
        for _ in range(8):
            failing.health.observe_failure(timedelta())
        chosen = choose_target([failing, accused], HERE, timedelta())
        self.assertIs(chosen, accused)

    def test_report_of_an_unknown_target_is_ignored(self) -> None:
        self.reports.record([('gone', 8)], timedelta())
        self.assertEqual(self.list_known(), [])

    def test_costliest_targets_are_told_first(self) -> None:
        """A report is bounded: hosts send one with every read."""
        for number in range(600):
            self.table.put(make_entry(f'u{number}'), timedelta())
        costs = [(f'u{number}', 2 + number % 7 / 2) for number in range(400)]
        for start in (0, 200):
            self.reports.record(costs[start : start + 200], timedelta())
        known = self.reports.list_known(SECOND)
        self.assertEqual(len(known), 256)
        self.assertGreater(min(cost for _, cost in known), 2.4)

    def test_told_costs_are_not_passed_on_as_observed(self) -> None:
        self.reports.record([('t1', 8)], timedelta())
        self.assertEqual(self.reports.list_observed(SECOND), ())

    def test_only_targets_of_the_own_data_centre_are_near(self) -> None:
        self.reports.record([('t1', 4), ('t5', 4)], timedelta())
        near = [target_id for target_id, _ in self.reports.list_near(SECOND)]
        self.assertEqual(near, ['t1'])

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3000),
                st.floats(allow_nan=False, allow_infinity=False),
            ),
            max_size=30,
        ),
    )
    def test_reported_costs_are_bounded_and_end(
        self, reports: list[tuple[int, float]]
    ) -> None:
        self.setUp()
        now = timedelta()
        for pause_ms, cost in reports:
            now += pause_ms * MS
            self.reports.record([('t1', cost)], now)
            reported = self.get_target(1).health.decay_report(now)
            self.assertTrue(1 <= reported <= MAX_REPORTED_COST)
        self.assertEqual(self.list_known(now + 15 * SECOND), [])

    def get_target(self, number: int) -> KnownTarget:
        target = self.table.find(f't{number}')
        assert target is not None
        return target


if __name__ == '__main__':
    unittest.main()
