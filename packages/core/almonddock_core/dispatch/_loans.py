"""Lends the parts of the retry budget that hosts don't use.

Load: many hosts, of which a few get most requests. Each host's share of a
service's slack is then less than one hedge for each query of the busy hosts,
while most of the slack is unused.

A host that needs no extra attempts lends its share to watchers, and a watcher
grants what it was lent, one attempt at a time, to hosts that have used theirs
up. No amount is in two hands, whatever list of hosts anyone has: a host that
lends counts the amount as used until each attempt that was granted from it has
left the sliding window. Durations run on one clock each, from the sending of
what the other side answers, so messages may be late by any time.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch._counter import SlidingWindowCounter

#: How long a granted attempt may be sent, from when it was asked for.
GRANT_TERM_MS = 100
GRANT_TERM = timedelta(milliseconds=GRANT_TERM_MS)

#: How long a watcher may grant from a loan. It hears of each lender about once
#: a second.
LOAN_TERM_S = 4
LOAN_TERM = timedelta(seconds=LOAN_TERM_S)


@dataclass(slots=True)
class AmountLedger:
    """The greatest amount in force with each counterpart."""

    #: For each counterpart, when amounts end, and the amounts.
    _amounts: dict[object, list[tuple[timedelta, float]]] = field(
        default_factory=dict
    )

    def add(self, key: object, amount: float, end: timedelta) -> None:
        """Records an amount with a counterpart, which ends by itself."""
        if amount <= 0:
            return
        known = self._amounts.get(key, ())
        # An amount counts no more once a greater one outlasts it.
        kept = [one for one in known if one[0] > end or one[1] > amount]
        self._amounts[key] = [*kept, (end, amount)]

    def sum(self, now: timedelta, without: object = None) -> float:
        """Returns the sum over all counterparts, or all but one."""
        total: float = 0
        for key, amounts in tuple(self._amounts.items()):
            left = [one for one in amounts if one[0] > now]
            if not left:
                del self._amounts[key]
                continue
            self._amounts[key] = left
            if key is not without:
                total += max(amount for _, amount in left)
        return total


class HostLoans:
    """What one host has lent to watchers."""

    def __init__(self, window: timedelta) -> None:
        """Uses the time over which the budget is summed."""
        self._window = window
        self._lent = AmountLedger()

    def lend(
        self, watcher: object, share: float, watchers: int, now: timedelta
    ) -> float:
        """Returns how much of the share a watcher may grant, and counts it.

        The watcher counts from an earlier time than ``now``. It gets no more
        than one of ``watchers`` parts, and what is left of the share.
        """
        left = share - self._lent.sum(now, without=watcher)
        amount = max(0, min(share / watchers, left))
        self._lent.add(watcher, amount, now + LOAN_TERM + self._window)
        return amount

    def count_lent(self, now: timedelta) -> float:
        """Returns how much of its share this host may not use."""
        return self._lent.sum(now)


class LoanPool:
    """What a watcher was lent, and what it has granted from that."""

    def __init__(self, window: timedelta, started: timedelta) -> None:
        """Starts without loans.

        A watcher that has restarted doesn't know what it granted before, so it
        grants nothing until that has left the window.
        """
        self._counted_for = window + GRANT_TERM
        self._first_grant = started + self._counted_for
        self._loans = AmountLedger()
        self._granted: dict[str, SlidingWindowCounter] = {}

    def record_loan(
        self, lender: object, amount: float, as_of: timedelta
    ) -> None:
        """Records a loan; the lender counts it from ``as_of`` or later.

        It ends early enough for the last attempt that is granted from it.
        """
        self._loans.add(lender, amount, as_of + LOAN_TERM - GRANT_TERM)

    def grant(self, services: Sequence[str], now: timedelta) -> tuple[int, ...]:
        """Grants one attempt at each service, as far as loans allow.

        Returns the indices of the services.
        """
        if now < self._first_grant:
            return ()
        pool = self._loans.sum(now)
        granted = []
        for index, service in enumerate(services):
            counter = self._granted.get(service)
            if counter is None:
                counter = SlidingWindowCounter(self._counted_for)
            if counter.count(now) + 1 <= pool:
                counter.add(now)
                self._granted[service] = counter
                granted.append(index)
        return tuple(granted)

    def drop_idle(self, now: timedelta) -> None:
        """Drops loans that have ended, and counts without a recent grant."""
        self._loans.sum(now)
        for service, counter in tuple(self._granted.items()):
            if not counter.count(now):
                del self._granted[service]
