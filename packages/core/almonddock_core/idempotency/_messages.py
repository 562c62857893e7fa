"""What goes into and comes out of a :class:`PartitionLog`."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._entries import Recorded
from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.model import Outcome, Reason, RequestId


@dataclass(frozen=True, slots=True)
class Claim:
    """Asks for the right to run a request once.

    The entry host sends it before any sub-query, and may send it again to
    another owner; :class:`ClaimClient` sees to it that one grant is used.
    """

    key: KeyDigest
    request_id: RequestId
    fingerprint: str
    #: When the claim must be decided, on the clock of the log's owner.
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class Finish:
    """Reports what became of a request that was granted.

    Without ``recorded`` the request did not run and never will: the key is
    free again.
    """

    key: KeyDigest
    request_id: RequestId
    recorded: Recorded | None


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """One value of the store with the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class ReadDone:
    """The store returned these values, sorted by key."""

    call: int
    entries: tuple[StoreEntry, ...]


@dataclass(frozen=True, slots=True)
class WriteDone:
    """The compare held and the value was written at ``revision``."""

    call: int
    revision: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The compare did not hold; this call wrote nothing."""

    call: int


@dataclass(frozen=True, slots=True)
class CallLost:
    """No reply: the call may or may not have taken effect, even later."""

    call: int


StoreReply = ReadDone | WriteDone | WriteConflict | CallLost


@dataclass(frozen=True, slots=True)
class Read:
    """Read all keys that start with ``prefix``, linearizably."""

    call: int
    prefix: str


@dataclass(frozen=True, slots=True)
class Write:
    """Write the value if the key still has the expected revision.

    The revision 0 expects that the key does not exist.
    """

    call: int
    key: str
    value: bytes
    expected: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The claim is on record: the request may run now, once."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request must not run.

    The outcome is ``NOT_RUN`` when no request with this key has run or is
    running as far as the refused one is concerned, else
    ``OUTCOME_UNKNOWN``.
    """

    claim: Claim
    outcome: Outcome
    reason: Reason


@dataclass(frozen=True, slots=True)
class Repeat:
    """The key has run before; this is what came of it."""

    claim: Claim
    recorded: Recorded


#: What becomes of a claim.
Decision = Grant | Refuse | Repeat

LogAction = Read | Write | Grant | Refuse | Repeat
