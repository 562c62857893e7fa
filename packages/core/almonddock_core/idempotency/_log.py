"""The state machine of one partition of the idempotency log."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._calls import StoreCalls
from almonddock_core.idempotency._chain import Chain, Draft
from almonddock_core.idempotency._decider import ClaimDecider
from almonddock_core.idempotency._entries import Entry, EntryKind
from almonddock_core.idempotency._keys import PartitionId
from almonddock_core.idempotency._messages import (
    Claim,
    Finish,
    LogAction,
    ReadDone,
    StoreEntry,
    StoreReply,
    WriteDone,
)
from almonddock_core.idempotency._segments import StoredSegment
from almonddock_core.idempotency._settings import ENTRY_BYTES, LogSettings
from almonddock_core.idempotency._table import OutcomeBatch
from almonddock_core.idempotency._timing import WriteTiming
from almonddock_core.model import Reason


@dataclass(frozen=True, slots=True)
class _Batch:
    """A write that is ongoing or whose result is unknown."""

    draft: Draft
    outcomes: OutcomeBatch


class PartitionLog:
    """Grants each idempotency key of a partition to one request.

    Call :meth:`tick` once to read the chain, then pass in claims, outcome
    reports and the store's replies, and carry out the returned actions. Every
    store call must end in one reply, which is :class:`CallLost` on a timeout.

    Two hosts may serve the same partition: each write is a compare-and-swap on
    the expected revision, so only one of two writes takes effect, and the
    other host reads the chain again before it decides more claims. A claim is
    granted only after its record is durable.
    """

    def __init__(
        self,
        partition: PartitionId,
        writer: str,
        settings: LogSettings,
    ) -> None:
        #: Why the stored chain cannot be decoded; empty if it can.
        self.fault = ''
        #: The store calls of this log, with their counts.
        self.calls = StoreCalls(
            f'{settings.prefix}{partition:04d}/',
            settings,
        )
        self._writer = writer
        self._settings = settings
        self._decider = ClaimDecider(settings, self._find_refusal_reason)
        self._timing = WriteTiming(settings)
        self._batch: _Batch | None = None
        self._closing = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to decide or to write."""
        return self._decider.is_idle and not self._batch

    def claim(self, claim: Claim, now: timedelta) -> list[LogAction]:
        """Decides a claim immediately or later; each gets one decision."""
        self._timing.record_claim(now)
        return [*self._decider.claim(claim, now), *self._advance(now)]

    def finish(self, finish: Finish, now: timedelta) -> list[LogAction]:
        """Records an outcome, or withdraws a claim that is not granted yet."""
        self._decider.finish(finish, now)
        return self._advance(now)

    def receive_reply(
        self,
        reply: StoreReply,
        now: timedelta,
    ) -> list[LogAction]:
        """Handles a store reply; ignores a reply to an earlier call."""
        elapsed = self.calls.complete(reply, now)
        if elapsed is None:
            return []
        actions: list[LogAction] = []
        if isinstance(reply, WriteDone):
            self._timing.record_write(elapsed)
            actions = self._complete_write(reply.revision, now)
        elif isinstance(reply, ReadDone):
            actions = self._receive_read(reply.entries, now)
        return [*actions, *self._advance(now)]

    def tick(self, now: timedelta) -> list[LogAction]:
        """Starts a due write and refuses claims that timed out."""
        self._decider.table.drop_expired_grants(now)
        return self._advance(now)

    def close(self, now: timedelta) -> list[LogAction]:
        """Starts the handover; keep serving the log until :attr:`is_idle`."""
        self._closing = True
        refused = self._decider.refuse_all(Reason.NOT_OWNER)
        return [*refused, *self._advance(now)]

    def next_wake(self) -> timedelta | None:
        """Returns when :meth:`tick` must be called next."""
        due = [self._decider.waiting.next_expiry()]
        if not self.calls.is_outstanding:
            is_ready = self._decider.chain is not None and not self._batch
            call = self._find_write_time() if is_ready else timedelta()
            if call is not None:
                due.append(max(call, self.calls.next_call))
        return min((time for time in due if time is not None), default=None)

    def _find_write_time(self) -> timedelta | None:
        """Returns when the next batch is due, None if there is none."""
        due = []
        queue = self._decider.waiting.queue
        if queue.oldest is not None and queue.next_expiry is not None:
            due.append(queue.oldest + self._timing.linger)
            due.append(queue.next_expiry - self._timing.deadline_margin)
        since = self._decider.table.outcomes_since
        if since is not None:
            linger = self._settings.outcome_linger
            due.append(since if self._closing else since + linger)
        return min(due, default=None)

    def _advance(self, now: timedelta) -> list[LogAction]:
        """Refuses overdue claims and makes the next store call if possible."""
        actions: list[LogAction] = list(self._decider.refuse_overdue(now))
        if self.calls.is_outstanding or self.calls.is_down(now):
            return actions
        chain = self._decider.chain
        if chain is None:
            actions.append(self.calls.read_all(now))
        elif self._batch:
            # A read determines the result of a write whose reply was lost.
            slot = self._batch.draft.segment.slot
            actions.append(self.calls.read_slot(slot, now))
        else:
            actions.extend(self._write_if_due(chain, now))
        return actions

    def _write_if_due(
        self,
        chain: Chain,
        now: timedelta,
    ) -> list[LogAction]:
        due = self._find_write_time()
        if due is None or now < due:
            return []
        chain.drop_expired(now)
        room = chain.measure_room()
        outcomes = self._decider.table.take_outcomes(room)
        claims = self._decider.waiting.begin_write(
            _count_starts(room, outcomes)
        )
        starts = [_build_start(claim) for claim in claims]
        entries = (*outcomes.entries, *starts)
        if not entries:
            # No entry fits until the oldest segment expires.
            self.calls.back_off(now)
            return []
        token = f'{self._writer}/{self.calls.writes}'
        draft = chain.draft(entries, token, now)
        self._batch = _Batch(draft, outcomes)
        return [self.calls.write(draft, now)]

    def _receive_read(
        self,
        entries: Sequence[StoreEntry],
        now: timedelta,
    ) -> list[LogAction]:
        try:
            stored = [self.calls.decode(entry) for entry in entries]
        except ValueError as error:
            self.fault = str(error)
            self.calls.back_off(now)
            return []
        self.fault = ''
        if self._decider.chain is None:
            self._batch = None
            chain = Chain(stored, self._settings, now)
            return list(self._decider.load(chain, now))
        return self._resolve(stored[0] if stored else None, now)

    def _resolve(
        self,
        found: StoredSegment | None,
        now: timedelta,
    ) -> list[LogAction]:
        """Determines the result of the last write from the slot's content."""
        assert self._batch is not None
        draft = self._batch.draft
        if found and found.segment.token == draft.segment.token:
            return self._complete_write(found.revision, now)
        revision = found.revision if found else 0
        if revision == draft.expected:
            # The write may still take effect, so it is repeated unchanged.
            return [self.calls.write(draft, now)]
        self._decider.unload_chain()
        return []

    def _complete_write(self, revision: int, now: timedelta) -> list[LogAction]:
        """Completes a write that took effect."""
        batch = self._batch
        assert batch is not None
        self._batch = None
        complete_write = self._decider.complete_write
        return list(complete_write(batch.draft, batch.outcomes, revision, now))

    def _find_refusal_reason(self, now: timedelta) -> Reason | None:
        if self._closing:
            return Reason.NOT_OWNER
        chain = self._decider.chain
        if chain is not None and not chain.has_room():
            return Reason.OVERLOADED
        if self.calls.is_down(now):
            return Reason.STORE_UNAVAILABLE
        return None


def _count_starts(room: int, outcomes: OutcomeBatch) -> int:
    """Returns how many claims fit after the outcomes.

    Zero if some outcomes do not fit: a start written before the release of an
    earlier request with the same key would leave the key free while its
    request runs.
    """
    if outcomes.remaining:
        return 0
    return max((room - outcomes.size) // ENTRY_BYTES, 0)


def _build_start(claim: Claim) -> Entry:
    return Entry(
        kind=EntryKind.STARTED,
        key=claim.key,
        request_id=claim.request_id,
        fingerprint=claim.fingerprint,
    )
