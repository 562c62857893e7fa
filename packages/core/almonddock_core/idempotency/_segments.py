"""The store documents that hold a partition's entries."""

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import orjson

from almonddock_core.idempotency._entries import Entry, decode_entry

_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class Segment:
    """One document: some consecutive entries of a partition.

    Segments form a chain by ``number``. Only the newest is written to. It
    is sealed, by naming the slot of its successor, before that one is
    written, so two owners can never append to different ends.
    """

    number: int
    #: The last part of the store key; slots are used again, not deleted.
    slot: int
    #: Names the write that made this content.
    token: str
    #: The age of the partition at that write; it never runs too fast.
    age: timedelta
    #: The slot of the next segment; None while this one takes entries.
    next_slot: int | None
    entries: tuple[bytes, ...]

    @property
    def size(self) -> int:
        """The bytes of the entries."""
        return sum(len(entry) + 1 for entry in self.entries)

    def seal(self, next_slot: int | None) -> 'Segment':
        """Returns the segment closed in favour of one in that slot."""
        return replace(self, next_slot=next_slot)

    def encode(self) -> bytes:
        """Returns the document."""
        head = orjson.dumps(
            {
                'number': self.number,
                'token': self.token,
                'age_us': self.age // _MICROSECOND,
                'next_slot': self.next_slot,
            },
        )
        return b'%b,"entries":[%b]}' % (head[:-1], b','.join(self.entries))


@dataclass(frozen=True, slots=True)
class StoredSegment:
    """A segment as it was read from the store."""

    segment: Segment
    revision: int
    entries: tuple[Entry, ...]


def decode_segment(slot: int, text: bytes, revision: int) -> StoredSegment:
    """Reads a document.

    Raises:
        ValueError: It is not one that :meth:`Segment.encode` wrote.
    """
    try:
        return _build(slot, orjson.loads(text), revision)
    except (KeyError, TypeError) as error:
        raise ValueError(f'slot {slot} holds no log segment') from error


def _build(slot: int, found: dict[str, Any], revision: int) -> StoredSegment:
    entries = tuple(decode_entry(fields) for fields in found['entries'])
    segment = Segment(
        number=found['number'],
        slot=slot,
        token=found['token'],
        age=found['age_us'] * _MICROSECOND,
        next_slot=found['next_slot'],
        entries=tuple(orjson.dumps(fields) for fields in found['entries']),
    )
    return StoredSegment(segment, revision, entries)
