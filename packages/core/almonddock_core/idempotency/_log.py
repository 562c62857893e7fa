"""The state machine of one partition of the idempotency log."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._book import ClaimBook
from almonddock_core.idempotency._calls import StoreCalls
from almonddock_core.idempotency._chain import Chain, Draft
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
from almonddock_core.idempotency._pace import Pace
from almonddock_core.idempotency._segments import StoredSegment
from almonddock_core.idempotency._settings import ENTRY_BYTES, LogSettings
from almonddock_core.idempotency._table import OutcomeBatch
from almonddock_core.model import Reason


@dataclass(frozen=True, slots=True)
class _Batch:
    """A write that is under way or whose fate is not known."""

    draft: Draft
    outcomes: OutcomeBatch


class PartitionLog:
    """Grants each idempotency key of a partition to one request.

    Call :meth:`tick` once to read the chain, then pass on claims, finishes
    and the replies of the store, and carry out the actions returned. Every
    call of the store must end in one reply, :class:`CallLost` at a timeout.

    Two hosts may both serve a partition: each write names the revision it
    builds on, so only one of two writes takes effect, and the other host
    reads the chain again before it decides anything more. A claim is
    granted only when its record is durable.
    """

    def __init__(
        self,
        partition: PartitionId,
        writer: str,
        settings: LogSettings,
    ) -> None:
        #: Why the stored chain cannot be read; empty if it can.
        self.fault = ''
        #: The store calls of this log, and their counts.
        self.calls = StoreCalls(
            f'{settings.prefix}{partition:04d}/',
            settings,
        )
        self._writer = writer
        self._settings = settings
        self._book = ClaimBook(settings, self._find_blocker)
        self._pace = Pace(settings)
        self._batch: _Batch | None = None
        self._closing = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to write or to decide."""
        return self._book.is_idle and not self._batch

    def claim(self, claim: Claim, now: timedelta) -> list[LogAction]:
        """Decides a claim now or later; each gets one decision."""
        self._pace.note_claim(now)
        return [*self._book.claim(claim, now), *self._advance(now)]

    def finish(self, finish: Finish, now: timedelta) -> list[LogAction]:
        """Records an outcome, or withdraws a claim not yet granted."""
        self._book.finish(finish, now)
        return self._advance(now)

    def store_replied(
        self,
        reply: StoreReply,
        now: timedelta,
    ) -> list[LogAction]:
        """Takes the reply to a call; one to an earlier call is ignored."""
        elapsed = self.calls.end(reply, now)
        if elapsed is None:
            return []
        actions: list[LogAction] = []
        if isinstance(reply, WriteDone):
            self._pace.note_write(elapsed)
            actions = self._settle(reply.revision, now)
        elif isinstance(reply, ReadDone):
            actions = self._receive_read(reply.entries, now)
        return [*actions, *self._advance(now)]

    def tick(self, now: timedelta) -> list[LogAction]:
        """Writes what is due and refuses claims that waited too long."""
        self._book.table.drop_old(now)
        return self._advance(now)

    def close(self, now: timedelta) -> list[LogAction]:
        """Hands the partition over; serve it until :attr:`is_idle`."""
        self._closing = True
        refused = self._book.refuse_all(Reason.NOT_OWNER)
        return [*refused, *self._advance(now)]

    def next_wake(self) -> timedelta | None:
        """Returns when :meth:`tick` must be called next."""
        due = [self._book.waiting.next_expiry()]
        if not self.calls.is_outstanding:
            is_ready = self._book.chain is not None and not self._batch
            call = self._find_write_time() if is_ready else timedelta()
            if call is not None:
                due.append(max(call, self.calls.next_call))
        return min((one for one in due if one is not None), default=None)

    def _find_write_time(self) -> timedelta | None:
        """Returns when the next batch is due."""
        due = []
        queue = self._book.waiting.queue
        if queue.oldest is not None and queue.next_expiry is not None:
            due.append(queue.oldest + self._pace.linger)
            due.append(queue.next_expiry - self._pace.reserve)
        since = self._book.table.outcomes_since
        if since is not None:
            linger = self._settings.outcome_linger
            due.append(since if self._closing else since + linger)
        return min(due, default=None)

    def _advance(self, now: timedelta) -> list[LogAction]:
        """Refuses what is overdue and makes the next call if it may."""
        actions: list[LogAction] = list(self._book.refuse_overdue(now))
        if self.calls.is_outstanding or self.calls.is_down(now):
            return actions
        chain = self._book.chain
        if chain is None:
            actions.append(self.calls.read_all(now))
        elif self._batch:
            # A write without a certain reply is resolved by reading.
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
        outcomes = self._book.table.take_outcomes(room)
        claims = self._book.waiting.begin_write(_count_starts(room, outcomes))
        starts = [_build_start(claim) for claim in claims]
        entries = (*outcomes.entries, *starts)
        if not entries:
            # Nothing fits until the oldest segment expires.
            self.calls.hold_back(now)
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
            self.calls.hold_back(now)
            return []
        self.fault = ''
        if self._book.chain is None:
            self._batch = None
            chain = Chain(stored, self._settings, now)
            return list(self._book.load(chain, now))
        return self._resolve(stored[0] if stored else None, now)

    def _resolve(
        self,
        found: StoredSegment | None,
        now: timedelta,
    ) -> list[LogAction]:
        """Tells by the slot's content what became of the last write."""
        assert self._batch is not None
        draft = self._batch.draft
        if found and found.segment.token == draft.segment.token:
            return self._settle(found.revision, now)
        revision = found.revision if found else 0
        if revision == draft.expected:
            # The lost write may yet take effect; the same one may be sent.
            return [self.calls.write(draft, now)]
        self._book.unload()
        return []

    def _settle(self, revision: int, now: timedelta) -> list[LogAction]:
        """Ends a write that took effect."""
        batch = self._batch
        assert batch is not None
        self._batch = None
        settle = self._book.settle
        return list(settle(batch.draft, batch.outcomes, revision, now))

    def _find_blocker(self, now: timedelta) -> Reason | None:
        if self._closing:
            return Reason.NOT_OWNER
        chain = self._book.chain
        if chain is not None and not chain.has_room():
            return Reason.OVERLOADED
        if self.calls.is_down(now):
            return Reason.STORE_UNAVAILABLE
        return None


def _count_starts(room: int, outcomes: OutcomeBatch) -> int:
    """Returns how many claims fit behind the outcomes.

    None, if outcomes are left: a start must not overtake the release of the
    same key, or the key would be free while its request runs.
    """
    if outcomes.left:
        return 0
    return max((room - outcomes.size) // ENTRY_BYTES, 0)


def _build_start(claim: Claim) -> Entry:
    return Entry(
        kind=EntryKind.STARTED,
        key=claim.key,
        request_id=claim.request_id,
        fingerprint=claim.fingerprint,
    )
