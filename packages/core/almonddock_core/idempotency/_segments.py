"""Encodes and decodes the store documents with a partition's entries."""

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import orjson

from almonddock_core.idempotency._entries import Entry, decode_entry

_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class Segment:
    """One document with consecutive entries of a partition.

    Segments form a chain ordered by ``number``, and only the newest, the tail,
    is written to. It is sealed by setting the slot of its successor before the
    successor is written, so two owners can never append to different tails.
    """

    number: int
    #: The last part of the store key; slots are reused, not deleted.
    slot: int
    #: The id of the write that created this content.
    token: str
    #: The age of the partition at that write; see ``Chain``.
    age: timedelta
    #: The slot of the next segment; None while this one is not sealed.
    next_slot: int | None
    entries: tuple[bytes, ...]

    @property
    def size(self) -> int:
        """The size of the entries in bytes."""
        return sum(len(entry) + 1 for entry in self.entries)

    def seal(self, next_slot: int | None) -> 'Segment':
        """Returns the segment, sealed if its successor has a slot."""
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
    """A segment as read from the store."""

    segment: Segment
    revision: int
    entries: tuple[Entry, ...]


def decode_segment(slot: int, content: bytes, revision: int) -> StoredSegment:
    """Decodes a document.

    Raises:
        ValueError: The document was not encoded by :meth:`Segment.encode`.
    """
    try:
        return _build_segment(slot, orjson.loads(content), revision)
    except (KeyError, TypeError) as error:
        raise ValueError(
            f'slot {slot} does not hold a valid log segment'
        ) from error


def _build_segment(
    slot: int, document: dict[str, Any], revision: int
) -> StoredSegment:
    entries = tuple(decode_entry(fields) for fields in document['entries'])
    segment = Segment(
        number=document['number'],
        slot=slot,
        token=document['token'],
        age=document['age_us'] * _MICROSECOND,
        next_slot=document['next_slot'],
        entries=tuple(orjson.dumps(fields) for fields in document['entries']),
    )
    return StoredSegment(segment, revision, entries)
