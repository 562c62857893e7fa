"""Loans of the retry budget.

Load: many hosts with less than two hedges a service and window each, of which
few get the requests. Hosts are killed, cut off and late, and disagree about
who the watchers are.
"""

import random
import unittest
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.dispatch import (
    GRANT_TERM,
    BudgetLimits,
    Lending,
    RetryBudget,
)
from almonddock_core.tests.dispatch_cases import MS, SECOND

WINDOW = 10 * SECOND
STEP = 100 * MS
#: Each of six hosts has a share of two.
LIMITS = BudgetLimits(ratio=0, slack=24, window=WINDOW)
HOSTS = 6
#: Hosts that others take for watchers; not all know the same.
WATCHERS = 3
ROUTE = 'search'
SHARD = 'shard-1'


#: What is done when a message arrives; returns the reply, if any.
Message = Callable[[timedelta], Any]


class Peer:
    """One run of a host, and the end of a link to it."""

    def __init__(self, now: timedelta, limits: BudgetLimits = LIMITS) -> None:
        """Starts the host as one of six."""
        self.budget = RetryBudget(limits)
        self.budget.hosts = HOSTS
        self.lending = Lending(self.budget, limits.window, now)

    def ask(self, watcher: 'Peer', now: timedelta) -> Message:
        """Makes an offer; returns its arrival, which returns the reply's."""
        offer = self.lending.make_offer(watcher, now)

        def arrive(later: timedelta) -> Message:
            clock = watcher.lending.record_offer(self, offer, later)
            return lambda _: self.lending.record_clock(watcher, clock)

        return arrive

    def spend(self, now: timedelta) -> int:
        """Sends all extra attempts that its own share allows."""
        spent = 0
        while self.budget.try_spend(SHARD, (ROUTE,), now):
            spent += 1
        return spent

    def borrow(self, now: timedelta, most: int = 100) -> int:
        """Grants all that this host may grant as a watcher, up to a number."""
        granted = 0
        while granted < most and self.lending.grant((SHARD,), now):
            granted += 1
        return granted


@dataclass(slots=True)
class Fleet:
    """Hosts whose messages are late or lost, by a random number generator."""

    rng: random.Random
    now: timedelta = timedelta()
    #: The hosts that get requests.
    busy: Sequence[int] = (4, 5)
    spent: list[tuple[timedelta, int]] = field(default_factory=list)
    hosts: list[Peer] = field(default_factory=list)
    waiting: list[tuple[timedelta, Message]] = field(default_factory=list)

    def run(self, steps: int, kills: Iterator[int]) -> None:
        """Runs some steps; one host after the other may be killed."""
        self.hosts = [Peer(self.now) for _ in range(HOSTS)]
        for _ in range(steps):
            self.now += STEP
            self.deliver()
            chosen = self.rng.sample(self.hosts, HOSTS // 2)
            for asking in chosen:
                watcher = self.rng.choice(self.hosts[:WATCHERS])
                if asking is not watcher:
                    self.post(asking.ask(watcher, self.now))
            if self.rng.randrange(50) == 0:
                self.busy = self.rng.sample(range(HOSTS), 2)
            if self.rng.randrange(3) == 0:
                spending = self.hosts[self.rng.choice(self.busy)]
                self.spent.append((self.now, spending.spend(self.now)))
                self.borrow()
            if self.rng.randrange(100) == 0:
                killed = next(kills, None)
                if killed is not None:
                    self.hosts[killed] = Peer(self.now)

    def borrow(self) -> None:
        """Borrows from a watcher; what is granted may be sent a term later."""
        watcher = self.rng.choice(self.hosts[:WATCHERS])
        granted = watcher.borrow(self.now, self.rng.randrange(5))
        delay = self.rng.choice((timedelta(), GRANT_TERM))
        self.spent.append((self.now + delay, granted))

    def post(self, message: Message) -> None:
        """Sends a message, unless it is lost."""
        if self.rng.randrange(10):
            delay = self.rng.choice((0, 1, 1, 1, 30)) * STEP
            self.waiting.append((self.now + delay, message))

    def deliver(self) -> None:
        """Delivers what is due; replies travel as well."""
        due = [one for one in self.waiting if one[0] <= self.now]
        self.waiting = [one for one in self.waiting if one[0] > self.now]
        for _, message in due:
            reply = message(self.now)
            if reply is not None:
                self.post(reply)

    def find_most(self) -> int:
        """Returns the most extra attempts of any window."""
        return max(
            sum(count for at, count in self.spent if end - WINDOW < at <= end)
            for end, _ in self.spent
        )


def talk(host: Peer, watcher: Peer, now: timedelta) -> None:
    """Lets a host read the store through a watcher, twice."""
    for _ in range(2):
        host.ask(watcher, now)(now)(now)


class TestBound(unittest.TestCase):
    """No schedule makes hosts exceed the bound together."""

    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_late_and_lost(self, seed: int) -> None:
        """Late and lost messages leave the sum at the safe share."""
        fleet = Fleet(random.Random(seed))
        fleet.run(800, iter(()))
        self.assertLessEqual(fleet.find_most(), LIMITS.slack / 2)

    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_kills(self, seed: int) -> None:
        """Hosts that forget leave the sum at the bound."""
        fleet = Fleet(random.Random(seed))
        fleet.run(800, iter(range(HOSTS)))
        self.assertLessEqual(fleet.find_most(), LIMITS.slack)


class TestLoans(unittest.TestCase):
    """Unused shares are used where requests are, and return by themselves."""

    def setUp(self) -> None:
        """Starts an idle host and a watcher, long ago."""
        self.idle = Peer(timedelta())
        self.watcher = Peer(timedelta())
        self.now = 20 * SECOND

    def test_idle_host(self) -> None:
        """A watcher grants what an idle host lends it."""
        talk(self.idle, self.watcher, self.now)
        self.assertEqual(1, self.watcher.borrow(self.now))
        self.assertEqual(1, self.idle.spend(self.now))

    def test_busy_host(self) -> None:
        """A host that needs extra attempts lends nothing."""
        self.idle.spend(self.now)
        talk(self.idle, self.watcher, self.now)
        self.assertEqual(0, self.watcher.borrow(self.now))

    def test_end(self) -> None:
        """A host that is cut off from its watcher gets its share back."""
        talk(self.idle, self.watcher, self.now)
        later = self.now + 4 * SECOND
        self.assertEqual(0, self.watcher.borrow(later))
        self.assertEqual(1, self.idle.spend(later))
        self.assertEqual(2, self.idle.spend(later + 11 * SECOND))

    def test_watcher_restarts(self) -> None:
        """A watcher that has restarted grants nothing for a window."""
        watcher = Peer(self.now)
        for second in range(10):
            talk(self.idle, watcher, self.now + second * SECOND)
        self.assertEqual(0, watcher.borrow(self.now + WINDOW))

    def test_ample_share(self) -> None:
        """Hosts that are few kept nothing for a retry of their own."""
        for slack, own in ((200, 16), (36, 3)):
            limits = BudgetLimits(ratio=0, slack=slack, window=WINDOW)
            idle = Peer(timedelta(), limits)
            talk(idle, self.watcher, self.now)
            self.assertEqual(own, idle.spend(self.now))


if __name__ == '__main__':
    unittest.main()
