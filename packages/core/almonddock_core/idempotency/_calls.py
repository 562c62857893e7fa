"""Issues the store calls of one log serially, with backoff."""

from datetime import timedelta

from almonddock_core.idempotency._chain import Draft
from almonddock_core.idempotency._messages import (
    CallLost,
    Read,
    StoreEntry,
    StoreReply,
    Write,
)
from almonddock_core.idempotency._segments import (
    StoredSegment,
    decode_segment,
)
from almonddock_core.idempotency._settings import LogSettings
from almonddock_core.idempotency._timing import Backoff


class StoreCalls:
    """Numbers the calls and tracks the outstanding call and the backoff."""

    def __init__(self, prefix: str, settings: LogSettings) -> None:
        #: The number of calls made so far.
        self.reads = 0
        self.writes = 0
        self._prefix = prefix
        self._backoff = Backoff(settings)
        self._outstanding: int | None = None
        self._sent_at = timedelta()

    @property
    def is_outstanding(self) -> bool:
        """Whether a call is waiting for its reply."""
        return self._outstanding is not None

    @property
    def next_call(self) -> timedelta:
        """The earliest time of the next call."""
        return self._backoff.until

    def is_down(self, now: timedelta) -> bool:
        """Returns whether calls are paused after repeated failures."""
        return self._backoff.is_down(now)

    def read_all(self, now: timedelta) -> Read:
        """Returns a read of all segments of the partition."""
        self.reads += 1
        return Read(self._begin(now), self._prefix)

    def read_slot(self, slot: int, now: timedelta) -> Read:
        """Returns a read of the segment in one slot."""
        self.reads += 1
        return Read(self._begin(now), self._build_slot_key(slot))

    def write(self, draft: Draft, now: timedelta) -> Write:
        """Returns a write of a draft, which may be a repeated one."""
        self.writes += 1
        return Write(
            call_number=self._begin(now),
            key=self._build_slot_key(draft.segment.slot),
            value=draft.segment.encode(),
            expected=draft.expected,
        )

    def complete(self, reply: StoreReply, now: timedelta) -> timedelta | None:
        """Ends a call; returns its duration, None for another call's reply."""
        if reply.call_number != self._outstanding:
            return None
        self._outstanding = None
        if isinstance(reply, CallLost):
            self._backoff.fail(now)
        else:
            self._backoff.succeed()
        return now - self._sent_at

    def decode(self, entry: StoreEntry) -> StoredSegment:
        """Decodes a stored segment; raises ValueError if it is invalid."""
        slot = int(entry.key.removeprefix(self._prefix))
        return decode_segment(slot, entry.value, entry.revision)

    def back_off(self, now: timedelta) -> None:
        """Pauses calls as if the store were down.

        For an unusable reply, and while no entry fits into the log. A single
        failure starts no pause, so this counts two.
        """
        self._backoff.fail(now)
        self._backoff.fail(now)

    def _begin(self, now: timedelta) -> int:
        self._outstanding = self.reads + self.writes
        self._sent_at = now
        return self._outstanding

    def _build_slot_key(self, slot: int) -> str:
        return f'{self._prefix}{slot:04d}'
