"""Queries to shards of which some have only slow replicas left.

A tenth of the shards has two slow replicas, which together can do less than
the load: their queues grow, every query waits for too many shards, and callers
get late answers or none although nearly all shards are sound.
"""

import heapq
import itertools
import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch import (
    BudgetLimits,
    Cancel,
    Dispatch,
    DispatchContext,
    DispatchedRequest,
    Finish,
    MergedAnswer,
    RetryBudget,
    Send,
)
from almonddock_core.dispatch._actions import Action
from almonddock_core.placement import ColdStartLimiter
from almonddock_core.routing import (
    CostReports,
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

SHARDS = 87
SLOTS = 2
WORK = 28 * MS
DEADLINE = 2000 * MS
PER_SECOND = 24
BUDGET = BudgetLimits(ratio=0.2, slack=430, window=10 * SECOND)
EXCHANGE = SECOND / 2


@dataclass(slots=True)
class SimulatedTarget:
    """A replica with slots and a queue; it drops cancelled requests."""

    slowness: float = 1
    running: set[object] = field(default_factory=set)
    queue: list[object] = field(default_factory=list)


@dataclass(slots=True)
class Fleet:
    """Hosts that gather answers from the same shards."""

    size: int
    sharing: bool = True
    now: timedelta = timedelta()
    outcomes: Counter[str] = field(default_factory=Counter)
    #: The share of the shards in each answer in time.
    shares: list[float] = field(default_factory=list)
    targets: dict[str, SimulatedTarget] = field(default_factory=dict)
    _events: list[tuple[timedelta, int, Callable[[], None]]] = field(
        default_factory=list,
    )
    _order: 'itertools.count[int]' = field(default_factory=itertools.count)
    _rng: random.Random = field(default_factory=lambda: random.Random(3))
    route: Route = field(init=False)
    contexts: list[DispatchContext] = field(init=False)
    reports: list[CostReports] = field(init=False)

    def __post_init__(self) -> None:
        """Creates the hosts, with two replicas of each shard."""
        self.route = make_route(
            SHARDS,
            timeout=DEADLINE,
            latency_goal=200 * MS,
            min_share=0.95,
        )
        self.contexts = [self._make_context() for _ in range(self.size)]
        self.reports = [CostReports(one.targets, HERE) for one in self.contexts]

    def run(self, until: timedelta) -> None:
        """Sends queries to hosts in random order, and exchanges reports."""
        gap = SECOND / PER_SECOND
        for number in range((until - self.now) // gap):
            self.schedule(self.now + number * gap, self._start_query)
        exchange = self.now
        while self.sharing and exchange < until:
            self.schedule(exchange, self._exchange)
            exchange += EXCHANGE
        while self._events and self._events[0][0] < until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = until

    def slow_down(self, slowness: float, share: float) -> None:
        """Slows a share of the targets down."""
        names = sorted(self.targets)
        self._rng.shuffle(names)
        for name in names[: round(share * len(names))]:
            self.targets[name].slowness = slowness

    def _make_context(self) -> DispatchContext:
        table = TargetTable()
        for shard in self.route.shards:
            for number, place in enumerate((HERE, THERE)):
                name = f'{shard}/{number}'
                self.targets[name] = SimulatedTarget()
                entry = make_entry(name, shard, place)
                table.put(entry, self.now)
        budget = RetryBudget(BUDGET)
        budget.hosts = self.size
        context = DispatchContext(HERE, table, budget, ColdStartLimiter('k'))
        context.table = build_routing_table(1, LIMITS, [], [self.route])
        return context

    def schedule(self, at: timedelta, act: Callable[[], None]) -> None:
        """Plans an event."""
        heapq.heappush(self._events, (at, next(self._order), act))

    def _start_query(self) -> None:
        request = DispatchedRequest(
            f'r{next(self._order)}',
            self.route,
            self.route.shards,
            self.now,
            self.now + DEADLINE,
        )
        query = Query(self, Dispatch(request, self._rng.choice(self.contexts)))
        query.carry_out(query.dispatch.start(self.now))

    def _exchange(self) -> None:
        watcher, *followers = self.reports
        for one in followers:
            watcher.record(one.list_observed(self.now), self.now)
        known = watcher.list_known(self.now)
        for one in followers:
            one.record(known, self.now)

    def submit(self, name: str, reply: Callable[[], None]) -> None:
        """Runs work at a target, or queues it."""
        target = self.targets[name]
        if len(target.running) >= SLOTS:
            target.queue.append(reply)
            return
        target.running.add(reply)
        work = WORK * target.slowness * self._rng.uniform(0.7, 1.3)
        self.schedule(self.now + work, lambda: self._end(name, reply))

    def withdraw(self, name: str, reply: Callable[[], None]) -> None:
        """Drops work that nobody waits for."""
        target = self.targets[name]
        if reply in target.queue:
            target.queue.remove(reply)
        elif reply in target.running:
            target.running.discard(reply)
            self._run_next(name)

    def _end(self, name: str, reply: Callable[[], None]) -> None:
        target = self.targets[name]
        if reply in target.running:
            target.running.discard(reply)
            self._run_next(name)
            reply()

    def _run_next(self, name: str) -> None:
        target = self.targets[name]
        if target.queue:
            self.submit(name, target.queue.pop(0))  # type: ignore[arg-type]


@dataclass(slots=True)
class Query:
    """One query of a caller, and its work at targets."""

    fleet: Fleet
    dispatch: Dispatch
    sent: dict[int, tuple[str, Callable[[], None]]] = field(
        default_factory=dict,
    )

    def carry_out(self, actions: list[Action]) -> None:
        """Performs the actions of the dispatch."""
        for action in actions:
            if isinstance(action, Send):
                reply = self._make_reply(action.attempt)
                name = action.target.entry.target_id
                self.sent[action.attempt] = (name, reply)
                self.fleet.submit(name, reply)
            elif isinstance(action, Cancel):
                sent = self.sent.pop(action.attempt, None)
                if sent is not None:
                    self.fleet.withdraw(*sent)
            elif isinstance(action, Finish):
                self._count(action)
        if self.dispatch.answer is None:
            self.fleet.schedule(self.dispatch.wake_at, self._tick)

    def _make_reply(self, number: int) -> Callable[[], None]:
        return lambda: self.carry_out(
            self.dispatch.receive(number, make_reply(), self.fleet.now)
        )

    def _tick(self) -> None:
        self.carry_out(self.dispatch.tick(self.fleet.now))

    def _count(self, finish: Finish) -> None:
        request = self.dispatch.request
        goal = request.arrived + request.route.latency_goal
        if not isinstance(finish.answer, MergedAnswer):
            self.fleet.outcomes['failed'] += 1
        elif self.fleet.now > goal:
            self.fleet.outcomes['late'] += 1
        else:
            self.fleet.outcomes['in time'] += 1
            self.fleet.shares.append(len(finish.answer.replies) / SHARDS)


def play(size: int, slowness: float = 1, share: float = 0) -> Fleet:
    """Plays a calm time, then six seconds with slow targets."""
    fleet = Fleet(size)
    fleet.run(4 * SECOND)
    fleet.slow_down(slowness, share)
    fleet.run(6 * SECOND)
    fleet.outcomes.clear()
    fleet.shares.clear()
    fleet.run(12 * SECOND)
    return fleet


class OverloadedShardsTest(unittest.TestCase):
    def test_queries_are_answered_while_shards_have_slow_replicas_only(
        self,
    ) -> None:
        """Three of ten targets turn five times slower, and stay so.

        Each hedge there took the place of a first attempt of another query;
        hedges stop, because they stay unanswered.
        """
        fleet = play(4, 5.2, 0.3)
        answered = fleet.outcomes.total()
        self.assertGreaterEqual(fleet.outcomes['in time'], 0.75 * answered)
        self.assertEqual(fleet.outcomes['failed'], 0)
        self.assertGreaterEqual(min(fleet.shares), fleet.route.min_share)

    def test_sound_shards_are_all_asked(self) -> None:
        fleet = play(24)
        self.assertEqual(set(fleet.outcomes), {'in time'})
        self.assertEqual(min(fleet.shares), 1)

    def test_shards_with_a_sound_replica_are_asked_there(self) -> None:
        fleet = play(24, 11, 0.15)
        self.assertEqual(set(fleet.outcomes), {'in time'})
        self.assertGreaterEqual(min(fleet.shares), fleet.route.min_share)


if __name__ == '__main__':
    unittest.main()
