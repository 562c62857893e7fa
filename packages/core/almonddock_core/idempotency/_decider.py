"""Decides on claims, independently of the store calls."""

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
from almonddock_core.idempotency._pending_claims import PendingClaims
from almonddock_core.idempotency._queue import PendingClaim
from almonddock_core.idempotency._settings import LogSettings
from almonddock_core.idempotency._table import KeyTable, OutcomeBatch
from almonddock_core.model import Outcome, Reason

#: Returns the reason to refuse new keys now, None if they can be claimed.
FindRefusalReason = Callable[[timedelta], Reason | None]


class ClaimDecider:
    """Decides on the claims of one partition.

    Each claim gets one decision, unless it is withdrawn: immediately, or from
    :meth:`load`, :meth:`complete_write`, :meth:`refuse_overdue` or
    :meth:`refuse_all`.
    """

    def __init__(
        self,
        settings: LogSettings,
        find_refusal_reason: FindRefusalReason,
    ) -> None:
        self.table = KeyTable(settings)
        self.waiting = PendingClaims(settings.claim_timeout)
        self._find_refusal_reason = find_refusal_reason
        #: Reports received before the chain was read.
        self._deferred_reports: list[Finish] = []

    @property
    def chain(self) -> Chain | None:
        """The chain as last read; None before it is read."""
        return self.table.chain

    @property
    def is_idle(self) -> bool:
        """Whether no claim or outcome waits for a decision or a write."""
        waiting = len(self.waiting) + len(self._deferred_reports)
        return not waiting and self.table.outcomes_since is None

    def claim(self, claim: Claim, now: timedelta) -> list[Decision]:
        """Decides a claim, or keeps it for a later decision."""
        return self._decide(PendingClaim(claim, now), now)

    def finish(self, finish: Finish, now: timedelta) -> None:
        """Records an outcome, or withdraws a claim that is not granted yet."""
        if self.waiting.withdraw(finish):
            return
        if self.table.chain is None:
            self._deferred_reports.append(finish)
        else:
            self.table.record_outcome(finish, now)

    def unload_chain(self) -> None:
        """Drops the chain after another owner wrote to it."""
        self.table.load(None)
        self.waiting.postpone()

    def load(self, chain: Chain, now: timedelta) -> list[Decision]:
        """Loads a chain and decides the claims that waited for it.

        The pending claims of an unconfirmed write are decided again: if the
        chain lacks the write, it can no longer take effect.
        """
        self.table.load(chain)
        wanted, abandoned = self.waiting.end_write()
        for pending in wanted:
            self.waiting.undecided.add(pending)
        for dropped in abandoned:
            self.table.record_outcome(_build_release(dropped.claim), now)
        for finish in self._deferred_reports:
            self.table.record_outcome(finish, now)
        self._deferred_reports = []
        return self._decide_undecided(now)

    def complete_write(
        self,
        draft: Draft,
        outcomes: OutcomeBatch,
        revision: int,
        now: timedelta,
    ) -> list[Decision]:
        """Grants the claims of a write that the store executed."""
        assert self.table.chain is not None
        self.table.chain.accept(draft, revision)
        self.table.accept_outcomes(outcomes)
        wanted, abandoned = self.waiting.end_write()
        for pending in wanted:
            self.table.record_grant(pending.claim, now)
        for dropped in abandoned:
            self.table.record_outcome(_build_release(dropped.claim), now)
        grants = [Grant(pending.claim) for pending in wanted]
        return [*grants, *self._decide_undecided(now)]

    def refuse_overdue(self, now: timedelta) -> list[Decision]:
        """Refuses claims whose record was not durable in time."""
        return [
            Refuse(claim, Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE)
            for claim in self.waiting.take_overdue(now)
        ]

    def refuse_all(self, reason: Reason) -> list[Decision]:
        """Refuses all claims that are not part of an ongoing write."""
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

    def _decide(self, pending: PendingClaim, now: timedelta) -> list[Decision]:
        claim = pending.claim
        chain = self.table.chain
        if chain is None or self.waiting.is_abandoned(claim.key):
            return self._defer(pending, now)
        holder = self.waiting.find(claim.key)
        if holder is not None:
            return _refuse_concurrent(claim, holder.claim)
        decision = self.table.decide(claim, now)
        if isinstance(decision, Grant):
            self.table.record_grant(claim, now)
        if decision is not None:
            return [decision]
        reason = self._find_refusal_reason(now)
        if reason is not None:
            return [Refuse(claim, Outcome.NOT_RUN, reason)]
        self.waiting.queue.add(pending)
        return []

    def _defer(self, pending: PendingClaim, now: timedelta) -> list[Decision]:
        """Defers a claim that cannot be decided before the next read."""
        reason = self._find_refusal_reason(now)
        if reason is not None:
            return [Refuse(pending.claim, Outcome.NOT_RUN, reason)]
        self.waiting.undecided.add(pending)
        return []


def _build_release(claim: Claim) -> Finish:
    return Finish(claim.key, claim.request_id, recorded=None)


def _refuse_concurrent(claim: Claim, holder: Claim) -> list[Decision]:
    """Refuses a claim whose key another request is about to claim.

    Returns nothing for the same request, whose claim already waits.
    """
    if holder.request_id == claim.request_id:
        return []
    return [Refuse(claim, Outcome.OUTCOME_UNKNOWN, Reason.IN_PROGRESS)]
