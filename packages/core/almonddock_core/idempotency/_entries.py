"""Entries of the log."""

import enum
from dataclasses import dataclass
from typing import Any

import orjson

from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.model import Outcome, RequestId


class EntryKind(enum.Enum):
    """The state of a key after an entry; the last entry is effective."""

    #: The request has been granted and may have run.
    STARTED = 's'
    #: The request ran and its outcome is recorded.
    FINISHED = 'f'
    #: The request did not run; the key can be claimed again.
    RELEASED = 'r'


@dataclass(frozen=True, slots=True)
class Recorded:
    """The recorded outcome of a request."""

    outcome: Outcome
    #: The answer as encoded by ``encode_answer``; empty if not recorded.
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
            [
                self.kind.value,
                self.key,
                self.request_id,
                *self._list_optional_fields(),
            ],
        )

    def _list_optional_fields(self) -> list[str]:
        rest = [self.fingerprint]
        if self.recorded is not None:
            rest.append(self.recorded.outcome.value)
            rest.append(self.recorded.answer.decode())
        return rest


def decode_entry(fields: list[Any]) -> Entry:
    """Returns the entry that :meth:`Entry.encode` encoded."""
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
