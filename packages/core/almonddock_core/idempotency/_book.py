"""Decisions on claims, kept apart from the calls of the store."""

from collections.abc import Callable
from datetime import timedelta

from almonddock_core.idempotency._chain import Chain, Draft
from almonddock_core.idempotency._messages import (
    Claim,
    Decision,
    Finish,
    Grant,
    Refuse,
)
from almonddock_core.idempotency._queue import Pending
from almonddock_core.idempotency._settings import LogSettings
from almonddock_core.idempotency._table import KeyTable, OutcomeBatch
from almonddock_core.idempotency._waiting import Waiting
from almonddock_core.model import Outcome, Reason

#: Returns why no new key can be claimed now.
FindBlocker = Callable[[timedelta], Reason | None]


class ClaimBook:
    """All claims and keys of one partition.

    Each claim gets one decision: at once, or from :meth:`load`,
    :meth:`settle`, :meth:`refuse_overdue` or :meth:`refuse_all`.
    """

    def __init__(
        self,
        settings: LogSettings,
        find_blocker: FindBlocker,
    ) -> None:
        self.table = KeyTable(settings)
        self.waiting = Waiting(settings.patience)
        self._find_blocker = find_blocker
        #: Reports that came before the chain was read.
        self._late: list[Finish] = []

    @property
    def chain(self) -> Chain | None:
        """The chain as read last; None before it is read."""
        return self.table.chain

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to be decided or written."""
        waiting = len(self.waiting) + len(self._late)
        return not waiting and self.table.outcomes_since is None

    def claim(self, claim: Claim, now: timedelta) -> list[Decision]:
        """Decides a claim or keeps it waiting."""
        return self._decide(Pending(claim, now), now)

    def finish(self, finish: Finish, now: timedelta) -> None:
        """Records an outcome, or withdraws a claim not yet granted."""
        if self.waiting.withdraw(finish):
            return
        if self.table.chain is None:
            self._late.append(finish)
        else:
            self.table.record(finish, now)

    def unload(self) -> None:
        """Drops a chain that another owner has written to."""
        self.table.load(None)
        self.waiting.postpone()

    def load(self, chain: Chain, now: timedelta) -> list[Decision]:
        """Takes over a chain; the last write is in it or never will be."""
        self.table.load(chain)
        wanted, abandoned = self.waiting.end_write()
        for pending in wanted:
            self.waiting.undecided.add(pending)
        for unused in abandoned:
            self.table.record(_build_release(unused.claim), now)
        for finish in self._late:
            self.table.record(finish, now)
        self._late = []
        return self._decide_undecided(now)

    def settle(
        self,
        draft: Draft,
        outcomes: OutcomeBatch,
        revision: int,
        now: timedelta,
    ) -> list[Decision]:
        """Grants the claims of a write that took effect."""
        assert self.table.chain is not None
        self.table.chain.accept(draft, revision)
        self.table.accept_outcomes(outcomes)
        wanted, abandoned = self.waiting.end_write()
        for pending in wanted:
            self.table.note_granted(pending.claim, now)
        for unused in abandoned:
            self.table.record(_build_release(unused.claim), now)
        grants = [Grant(pending.claim) for pending in wanted]
        return [*grants, *self._decide_undecided(now)]

    def refuse_overdue(self, now: timedelta) -> list[Decision]:
        """Refuses claims whose record did not become durable in time."""
        return [
            Refuse(claim, Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE)
            for claim in self.waiting.take_overdue(now)
        ]

    def refuse_all(self, reason: Reason) -> list[Decision]:
        """Refuses the claims that are not being written."""
        waiting = (
            *self.waiting.undecided.take(),
            *self.waiting.queue.take(),
        )
        return [
            Refuse(pending.claim, Outcome.NOT_RUN, reason)
            for pending in waiting
        ]

    def _decide_undecided(self, now: timedelta) -> list[Decision]:
        return [
            action
            for pending in self.waiting.undecided.take()
            for action in self._decide(pending, now)
        ]

    def _decide(self, pending: Pending, now: timedelta) -> list[Decision]:
        claim = pending.claim
        chain = self.table.chain
        if chain is None or self.waiting.is_abandoned(claim.key):
            return self._keep(pending, now)
        holder = self.waiting.find(claim.key)
        if holder is not None:
            return _refuse_behind(claim, holder.claim)
        verdict = self.table.judge(claim, now)
        if isinstance(verdict, Grant):
            self.table.note_granted(claim, now)
        if verdict is not None:
            return [verdict]
        blocker = self._find_blocker(now)
        if blocker is not None:
            return [Refuse(claim, Outcome.NOT_RUN, blocker)]
        self.waiting.queue.add(pending)
        return []

    def _keep(self, pending: Pending, now: timedelta) -> list[Decision]:
        """Holds a claim that cannot be decided before the next read."""
        blocker = self._find_blocker(now)
        if blocker is not None:
            return [Refuse(pending.claim, Outcome.NOT_RUN, blocker)]
        self.waiting.undecided.add(pending)
        return []


def _build_release(claim: Claim) -> Finish:
    return Finish(claim.key, claim.request_id, recorded=None)


def _refuse_behind(claim: Claim, holder: Claim) -> list[Decision]:
    """Refuses a claim whose key is being written for another request."""
    if holder.request_id == claim.request_id:
        return []
    return [Refuse(claim, Outcome.OUTCOME_UNKNOWN, Reason.IN_PROGRESS)]
