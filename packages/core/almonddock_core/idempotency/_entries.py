"""Entries of the log and the record that they add up to."""

import enum
from dataclasses import dataclass
from typing import Any

import orjson

from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.model import Outcome, RequestId


class EntryKind(enum.Enum):
    """What an entry says of its key; the last one counts."""

    #: The request may have run from here on.
    STARTED = 's'
    #: The request has run; its outcome is recorded.
    FINISHED = 'f'
    #: The request did not run; the key is free.
    RELEASED = 'r'


@dataclass(frozen=True, slots=True)
class Recorded:
    """The recorded outcome of a request."""

    outcome: Outcome
    #: The answer as ``encode_answer`` wrote it; empty if not kept.
    answer: bytes = b''


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    kind: EntryKind
    key: KeyDigest
    request_id: RequestId
    fingerprint: str = ''
    recorded: Recorded | None = None

    def encode(self) -> bytes:
        """Returns the entry as a JSON array."""
        return orjson.dumps(
            [self.kind.value, self.key, self.request_id, *self._list_rest()],
        )

    def _list_rest(self) -> list[str]:
        rest = [self.fingerprint]
        if self.recorded is not None:
            rest.append(self.recorded.outcome.value)
            rest.append(self.recorded.answer.decode())
        return rest


def decode_entry(fields: list[Any]) -> Entry:
    """Returns the entry that :meth:`Entry.encode` wrote."""
    kind, key, request_id, *rest = fields
    return Entry(
        kind=EntryKind(kind),
        key=KeyDigest(key),
        request_id=RequestId(request_id),
        fingerprint=rest[0],
        recorded=_decode_recorded(*rest[1:]),
    )


def _decode_recorded(
    outcome: str | None = None,
    answer: str = '',
) -> Recorded | None:
    if outcome is None:
        return None
    return Recorded(Outcome(outcome), answer.encode())
