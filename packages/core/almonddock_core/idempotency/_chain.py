"""The records of one partition, folded from its segments."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._entries import Entry
from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.idempotency._segments import Segment, StoredSegment
from almonddock_core.idempotency._settings import LogSettings

#: The share of a full segment that only recorded outcomes may use.
RESERVED_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Draft:
    """A write that would add entries to the chain."""

    segment: Segment
    #: The revision that the segment's slot must have; 0 if it is unused.
    expected: int
    #: The entries added.
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class _Held:
    """The last entry of a key and the segment it stands in."""

    entry: Entry
    number: int


@dataclass(slots=True)
class _Sealed:
    """What is kept of a segment that takes no more entries."""

    number: int
    slot: int
    age: timedelta
    keys: list[KeyDigest]


class Chain:
    """All records of a partition as of one read or own write.

    Age is the time the partition has been served, summed over its owners
    by their own clocks; it never runs ahead of real time, so a record is
    never dropped early, whatever the hosts' wall clocks say.
    """

    def __init__(
        self,
        stored: Sequence[StoredSegment],
        settings: LogSettings,
        now: timedelta,
    ) -> None:
        self._settings = settings
        self._records: dict[KeyDigest, _Held] = {}
        self._revisions: dict[int, int] = {}
        self._sealed: deque[_Sealed] = deque()
        self._reusable: deque[int] = deque()
        self._tail: Segment | None = None
        self._tail_keys: list[KeyDigest] = []
        self._tail_size = 0
        ordered = sorted(stored, key=lambda one: one.segment.number)
        for found in ordered:
            self._revisions[found.segment.slot] = found.revision
            self._append(found.segment, found.entries)
        base = self._tail.age if self._tail else timedelta()
        self._born = now - base

    def find(self, key: KeyDigest) -> Entry | None:
        """Returns the last entry of the key, if it is remembered."""
        held = self._records.get(key)
        return held.entry if held else None

    def count_records(self) -> int:
        """Returns how many keys are remembered."""
        return len(self._records)

    def has_room(self) -> bool:
        """Returns whether a claim may be added."""
        return self._can_move_on() or self._tail_size < (
            self._settings.max_value_bytes * (1 - RESERVED_SHARE)
        )

    def measure_room(self) -> int:
        """Returns the bytes that one write may add."""
        settings = self._settings
        if self._can_move_on():
            return settings.segment_bytes
        room = settings.max_value_bytes - self._tail_size
        return max(min(settings.segment_bytes, room), 0)

    def draft(
        self,
        entries: Sequence[Entry],
        token: str,
        now: timedelta,
    ) -> Draft:
        """Returns the write that appends entries at the end."""
        self.drop_expired(now)
        number, slot, kept = self._find_end()
        added = tuple(entry.encode() for entry in entries)
        segment = Segment(
            number=number,
            slot=slot,
            token=token,
            age=now - self._born,
            next_slot=None,
            entries=kept + added,
        )
        if segment.size >= self._settings.segment_bytes:
            segment = segment.seal(self._choose_slot(slot))
        expected = self._revisions.get(slot, 0)
        return Draft(segment, expected, tuple(entries))

    def accept(self, draft: Draft, revision: int) -> None:
        """Adds the entries of a draft that the store took."""
        self._revisions[draft.segment.slot] = revision
        self._append(draft.segment, draft.entries)

    def drop_expired(self, now: timedelta) -> None:
        """Forgets sealed segments that are older than the retention."""
        oldest = now - self._born - self._settings.retention
        while self._sealed and self._sealed[0].age <= oldest:
            self._drop(self._sealed.popleft())

    def _append(self, segment: Segment, entries: Sequence[Entry]) -> None:
        tail = self._tail
        if tail is not None and tail.number != segment.number:
            self._seal_tail(tail, segment.slot)
        for entry in entries:
            self._records[entry.key] = _Held(entry, segment.number)
            self._tail_keys.append(entry.key)
        self._tail = segment
        self._tail_size = segment.size

    def _seal_tail(self, tail: Segment, next_slot: int) -> None:
        """Moves on to a new segment, which may use an expired one's slot."""
        while self._sealed and self._sealed[0].slot == next_slot:
            self._drop(self._sealed.popleft())
        if next_slot in self._reusable:
            self._reusable.remove(next_slot)
        sealed = _Sealed(tail.number, tail.slot, tail.age, self._tail_keys)
        self._sealed.append(sealed)
        self._tail_keys = []

    def _drop(self, sealed: _Sealed) -> None:
        for key in sealed.keys:
            held = self._records.get(key)
            if held is not None and held.number == sealed.number:
                self._records.pop(key)
        self._reusable.append(sealed.slot)

    def _find_end(self) -> tuple[int, int, tuple[bytes, ...]]:
        """Returns the segment to write: its number, slot and entries."""
        tail = self._tail
        if tail is None:
            return 0, 0, ()
        if tail.next_slot is None:
            return tail.number, tail.slot, tail.entries
        return tail.number + 1, tail.next_slot, ()

    def _can_move_on(self) -> bool:
        """Returns whether a further segment may follow the newest."""
        sealed = self._tail is not None and self._tail.next_slot is not None
        return sealed or self._choose_slot() is not None

    def _choose_slot(self, current: int = 0) -> int | None:
        """Returns a slot for the next segment, None if all are in use."""
        if self._reusable:
            return self._reusable[0]
        used = {*self._revisions, current}
        count = len(used)
        return count if count < self._settings.max_segments else None
