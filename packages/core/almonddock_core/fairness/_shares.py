"""The work that each organisation has taken lately, and what follows of it."""

import math
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.routing import Caller, OrganisationTable

#: The time in which half of the work that was taken is forgotten.
HALF_LIFE = timedelta(seconds=2)

#: What a half-life leaves.
HALVING = 0.5

#: The delay for each share that an organisation took beyond its own.
DELAY_PER_SHARE_MS = 250
DELAY_PER_SHARE = timedelta(milliseconds=DELAY_PER_SHARE_MS)

#: The delay of each rank: less urgent requests go ahead of urgent ones that
#: arrive so much later, so that a flood of these ends no others.
DELAY_PER_RANK = timedelta(milliseconds=DELAY_PER_SHARE_MS)

#: The longest delay: whoever has waited for it goes ahead of all newcomers.
MAX_DELAY = timedelta(seconds=2)

#: Organisations with less work than this are forgotten.
NEGLIGIBLE = timedelta(milliseconds=1)

#: The half-lives after which the amounts are scaled down again, and after which
#: nothing of them counts.
RESCALE_HALF_LIVES = 100
FORGET_HALF_LIVES = 500

#: The name under which callers without an organisation share.
PUBLIC = ''


@dataclass(frozen=True, slots=True)
class Turn:
    """When a request's turn is, and what its organisation is charged."""

    caller: Caller
    #: The time for which it takes a place at targets, over all shards.
    work: timedelta
    #: How much later than its arrival its turn is.
    delay: timedelta


class FairShares:
    """Tracks what organisations take, and delays those that took most.

    Organisations share by what they are owed, their rates, not by how often
    they ask. One that was idle has no credit for it: it is not delayed, and
    goes ahead of nobody who is not delayed either.
    """

    def __init__(self) -> None:
        # Amounts grow instead of decaying, so that a sum of them stays one: an
        # amount counts as many halvings less as it is older.
        self._epoch = timedelta()
        # The weight of callers that no rate is stated for.
        self._usual_rate: float = 1
        self._amounts: dict[str, float] = {}
        self._total: float = 0

    def __len__(self) -> int:
        """The number of organisations that have taken work lately."""
        return len(self._amounts)

    def apply_organisations(self, organisations: OrganisationTable) -> None:
        """Lets callers without a rate share like the mean of the others."""
        rates = [
            one.quota.rate for one in organisations.list_all() if one.quota
        ]
        self._usual_rate = sum(rates) / len(rates) if rates else 1

    def record(self, caller: Caller, work: timedelta, now: timedelta) -> None:
        """Counts the work that a request takes.

        ``work`` is the time for which it takes a place at targets, over all
        shards; negative to take back that of a request that was refused.
        """
        self._rescale(now)
        name = _get_name(caller)
        before = self._amounts.get(name, 0)
        amount = work.total_seconds() / self._get_weight(caller)
        after = max(0, before + amount * self._grow(now))
        self._amounts[name] = after
        self._total += after - before

    def measure_delay(self, caller: Caller, now: timedelta) -> timedelta:
        """Returns how much later than its arrival a request's turn is."""
        by_rank = DELAY_PER_RANK * max(0, caller.priority)
        by_share = DELAY_PER_SHARE * self._measure_excess(caller)
        return min(by_rank + by_share, MAX_DELAY)

    def drop_idle(self, now: timedelta) -> None:
        """Forgets organisations that have taken next to nothing lately."""
        self._rescale(now)
        least = NEGLIGIBLE.total_seconds() * self._grow(now)
        self._amounts = {
            name: amount
            for name, amount in self._amounts.items()
            if amount > least
        }
        self._total = sum(self._amounts.values())

    def _measure_excess(self, caller: Caller) -> float:
        """Returns how many shares of the others an organisation is beyond."""
        own = self._amounts.get(_get_name(caller), 0)
        others = len(self._amounts) - 1
        taken = self._total - own
        if not own or others < 1 or taken <= 0:
            return 0
        limit = MAX_DELAY / DELAY_PER_SHARE
        return min(max(0, own * others / taken - 1), limit)

    def _get_weight(self, caller: Caller) -> float:
        quota = caller.organisation.quota if caller.organisation else None
        return quota.rate if quota else self._usual_rate

    def _grow(self, now: timedelta) -> float:
        half_lives: float = (now - self._epoch) / HALF_LIFE
        return math.pow(HALVING, -half_lives)

    def _rescale(self, now: timedelta) -> None:
        passed = (now - self._epoch) / HALF_LIFE
        if passed < RESCALE_HALF_LIVES:
            return
        factor = self._grow(now) if passed < FORGET_HALF_LIVES else 0
        self._epoch = now
        self._amounts = {
            name: amount / factor
            for name, amount in self._amounts.items()
            if factor
        }
        self._total = sum(self._amounts.values())


def _get_name(caller: Caller) -> str:
    return PUBLIC if caller.organisation is None else caller.organisation.name
