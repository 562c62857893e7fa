"""The records of one partition, rebuilt from its chain of segments."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._entries import Entry
from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.idempotency._segments import Segment, StoredSegment
from almonddock_core.idempotency._settings import LogSettings

#: The share of the tail segment that is reserved for recorded outcomes,
#: when no other segment can be opened.
RESERVED_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Draft:
    """A prepared write that appends entries to the chain."""

    segment: Segment
    #: The expected revision of the segment's slot; 0 if it is unused.
    expected: int
    #: The appended entries.
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class _KeyRecord:
    """The last entry of a key and the number of its segment."""

    entry: Entry
    number: int


@dataclass(slots=True)
class _SealedSegment:
    """The summary of a segment that accepts no more entries."""

    number: int
    slot: int
    #: The age of the partition at the last write to the segment.
    age: timedelta
    keys: list[KeyDigest]


class Chain:
    """All records of a partition after the last read or own write.

    Age is the time that the partition has been served, summed over its owners
    on their own clocks. It never runs ahead of real time, so a record never
    expires early, whatever the hosts' wall clocks show.
    """

    def __init__(
        self,
        stored: Sequence[StoredSegment],
        settings: LogSettings,
        now: timedelta,
    ) -> None:
        self._settings = settings
        self._records: dict[KeyDigest, _KeyRecord] = {}
        self._revisions: dict[int, int] = {}
        self._sealed: deque[_SealedSegment] = deque()
        self._reusable: deque[int] = deque()
        self._tail: Segment | None = None
        self._tail_keys: list[KeyDigest] = []
        self._tail_size = 0
        ordered = sorted(stored, key=lambda found: found.segment.number)
        for found in ordered:
            self._revisions[found.segment.slot] = found.revision
            self._append(found.segment, found.entries)
        base = self._tail.age if self._tail else timedelta()
        self._age_origin = now - base

    def find(self, key: KeyDigest) -> Entry | None:
        """Returns the last entry of the key, None if there is no record."""
        record = self._records.get(key)
        return record.entry if record else None

    def count_records(self) -> int:
        """Returns the number of keys with a record."""
        return len(self._records)

    def has_room(self) -> bool:
        """Returns whether there is room for another claim."""
        return self._can_open_segment() or self._tail_size < (
            self._settings.max_value_bytes * (1 - RESERVED_SHARE)
        )

    def measure_room(self) -> int:
        """Returns the number of bytes that one write may append."""
        settings = self._settings
        if self._can_open_segment():
            return settings.segment_bytes
        room = settings.max_value_bytes - self._tail_size
        return max(min(settings.segment_bytes, room), 0)

    def draft(
        self,
        entries: Sequence[Entry],
        token: str,
        now: timedelta,
    ) -> Draft:
        """Returns a write that appends entries to the chain."""
        self.drop_expired(now)
        number, slot, kept = self._find_tail()
        added = tuple(entry.encode() for entry in entries)
        segment = Segment(
            number=number,
            slot=slot,
            token=token,
            age=now - self._age_origin,
            next_slot=None,
            entries=kept + added,
        )
        if segment.size >= self._settings.segment_bytes:
            segment = segment.seal(self._choose_slot(slot))
        expected = self._revisions.get(slot, 0)
        return Draft(segment, expected, tuple(entries))

    def accept(self, draft: Draft, revision: int) -> None:
        """Applies a draft that the store has written."""
        self._revisions[draft.segment.slot] = revision
        self._append(draft.segment, draft.entries)

    def drop_expired(self, now: timedelta) -> None:
        """Drops sealed segments that are older than the retention."""
        oldest = now - self._age_origin - self._settings.retention
        while self._sealed and self._sealed[0].age <= oldest:
            self._drop(self._sealed.popleft())

    def _append(self, segment: Segment, entries: Sequence[Entry]) -> None:
        tail = self._tail
        if tail is not None and tail.number != segment.number:
            self._seal_tail(tail, segment.slot)
        for entry in entries:
            self._records[entry.key] = _KeyRecord(entry, segment.number)
            self._tail_keys.append(entry.key)
        self._tail = segment
        self._tail_size = segment.size

    def _seal_tail(self, tail: Segment, next_slot: int) -> None:
        """Seals the tail; its successor may reuse an expired segment's slot."""
        while self._sealed and self._sealed[0].slot == next_slot:
            self._drop(self._sealed.popleft())
        if next_slot in self._reusable:
            self._reusable.remove(next_slot)
        sealed = _SealedSegment(
            tail.number, tail.slot, tail.age, self._tail_keys
        )
        self._sealed.append(sealed)
        self._tail_keys = []

    def _drop(self, sealed: _SealedSegment) -> None:
        for key in sealed.keys:
            record = self._records.get(key)
            if record is not None and record.number == sealed.number:
                self._records.pop(key)
        self._reusable.append(sealed.slot)

    def _find_tail(self) -> tuple[int, int, tuple[bytes, ...]]:
        """Returns the number, slot and entries of the segment to write."""
        tail = self._tail
        if tail is None:
            return 0, 0, ()
        if tail.next_slot is None:
            return tail.number, tail.slot, tail.entries
        return tail.number + 1, tail.next_slot, ()

    def _can_open_segment(self) -> bool:
        """Returns whether another segment may follow the tail."""
        sealed = self._tail is not None and self._tail.next_slot is not None
        return sealed or self._choose_slot() is not None

    def _choose_slot(self, current: int = 0) -> int | None:
        """Returns a slot for the next segment, None if all are used."""
        if self._reusable:
            return self._reusable[0]
        used = {*self._revisions, current}
        count = len(used)
        return count if count < self._settings.max_segments else None
