"""Store calls of one log: one at a time, with pauses after failures."""

from datetime import timedelta

from almonddock_core.idempotency._chain import Draft
from almonddock_core.idempotency._messages import (
    CallLost,
    Read,
    StoreEntry,
    StoreReply,
    Write,
)
from almonddock_core.idempotency._pace import Backoff
from almonddock_core.idempotency._segments import (
    StoredSegment,
    decode_segment,
)
from almonddock_core.idempotency._settings import LogSettings


class StoreCalls:
    """Numbers the calls and tells whether one may go out."""

    def __init__(self, prefix: str, settings: LogSettings) -> None:
        #: Calls made so far.
        self.reads = 0
        self.writes = 0
        self._prefix = prefix
        self._backoff = Backoff(settings)
        self._outstanding: int | None = None
        self._sent_at = timedelta()

    @property
    def is_outstanding(self) -> bool:
        """Whether a call waits for its reply."""
        return self._outstanding is not None

    @property
    def next_call(self) -> timedelta:
        """When the next call may go out."""
        return self._backoff.until

    def is_down(self, now: timedelta) -> bool:
        """Returns whether the store failed repeatedly just now."""
        return self._backoff.is_down(now)

    def read_all(self, now: timedelta) -> Read:
        """Reads every segment of the partition."""
        self.reads += 1
        return Read(self._begin(now), self._prefix)

    def read_slot(self, slot: int, now: timedelta) -> Read:
        """Reads the segment in one slot."""
        self.reads += 1
        return Read(self._begin(now), self._name_slot(slot))

    def write(self, draft: Draft, now: timedelta) -> Write:
        """Writes a draft, the first time or again."""
        self.writes += 1
        return Write(
            call=self._begin(now),
            key=self._name_slot(draft.segment.slot),
            value=draft.segment.encode(),
            expected=draft.expected,
        )

    def end(self, reply: StoreReply, now: timedelta) -> timedelta | None:
        """Returns how long the call took, None for an unknown one."""
        if reply.call != self._outstanding:
            return None
        self._outstanding = None
        if isinstance(reply, CallLost):
            self._backoff.fail(now)
        else:
            self._backoff.succeed()
        return now - self._sent_at

    def decode(self, entry: StoreEntry) -> StoredSegment:
        """Reads a stored segment; raises ValueError if it is none."""
        slot = int(entry.key.removeprefix(self._prefix))
        return decode_segment(slot, entry.value, entry.revision)

    def hold_back(self, now: timedelta) -> None:
        """Pauses as after a failed call, because a reply was of no use."""
        self._backoff.fail(now)
        self._backoff.fail(now)

    def _begin(self, now: timedelta) -> int:
        self._outstanding = self.reads + self.writes
        self._sent_at = now
        return self._outstanding

    def _name_slot(self, slot: int) -> str:
        return f'{self._prefix}{slot:04d}'
