"""One host's side of the loans, as a lender, a borrower and a watcher."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from weakref import WeakKeyDictionary

from almonddock_core.dispatch._budget import RetryBudget
from almonddock_core.dispatch._loans import HostLoans, LoanPool
from almonddock_core.news import WATCHERS_PER_DATA_CENTRE

#: A host with more than this share of the slack lends nothing: its retries need
#: what it has, and a host that lent its share has none until the loan ends.
AMPLE_SHARE = 2


@dataclass(frozen=True, slots=True)
class LoanOffer:
    """What a host lends to a watcher with a read of the store."""

    #: Attempts at each service that the watcher may grant to others.
    amount: float = 0
    #: The clock of the watcher's last reply; zero before one.
    as_of: timedelta = timedelta()


class Lending:
    """Lends and grants shares of one host's budget."""

    def __init__(
        self,
        budget: RetryBudget,
        window: timedelta,
        started: timedelta,
    ) -> None:
        """Uses the time over which the budget is summed."""
        self._budget = budget
        self._loans = HostLoans(window)
        self._pool = LoanPool(window, started)
        #: The clocks of watchers, as long as the links to them exist.
        self._clocks: WeakKeyDictionary[object, timedelta] = WeakKeyDictionary()
        budget.loans = self._loans

    def make_offer(self, watcher: object, now: timedelta) -> LoanOffer:
        """Returns what to tell a watcher; what it offers is lent from now."""
        as_of = self._clocks.get(watcher)
        share = self._budget.share
        if as_of is None or share > AMPLE_SHARE:
            return LoanOffer()
        if self._budget.is_needed(now):
            return LoanOffer()
        amount = self._loans.lend(watcher, share, WATCHERS_PER_DATA_CENTRE, now)
        return LoanOffer(amount, as_of)

    def record_clock(self, watcher: object, clock: timedelta) -> None:
        """Records the clock in a watcher's reply; zero if it has no loans."""
        if clock:
            self._clocks[watcher] = clock

    def may_ask(self, watcher: object) -> bool:
        """Whether a watcher understands requests for grants."""
        return watcher in self._clocks

    def record_offer(
        self, host: object, offer: LoanOffer, now: timedelta
    ) -> timedelta:
        """Records what a host lends; returns this watcher's clock.

        A host can offer no more than the share that every host has.
        """
        amount = min(offer.amount, self._budget.share)
        self._pool.record_loan(host, amount, min(offer.as_of, now))
        return now

    def grant(self, services: Sequence[str], now: timedelta) -> tuple[int, ...]:
        """Returns the indices of the services that get an attempt."""
        return self._pool.grant(services, now)

    def drop_idle(self, now: timedelta) -> None:
        """Drops counts of services without a recent grant."""
        self._pool.drop_idle(now)
