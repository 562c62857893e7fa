"""The inputs and outputs of a :class:`PartitionLog`."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._entries import Recorded
from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.model import Outcome, Reason, RequestId


@dataclass(frozen=True, slots=True)
class Claim:
    """Asks for permission to run a request once.

    The entry host sends it before any sub-query, and may resend it to another
    owner; :class:`ClaimClient` ensures that only one grant is used.
    """

    key: KeyDigest
    request_id: RequestId
    fingerprint: str
    #: The latest time for a decision, on the clock of the host that has this
    #: object; the wire carries the time remaining.
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class Finish:
    """Reports the outcome of a granted request.

    If ``recorded`` is None the request did not run and never will, and the key
    can be claimed again.
    """

    key: KeyDigest
    request_id: RequestId
    recorded: Recorded | None


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A value in the store with the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class ReadDone:
    """The store returned these values, sorted by key."""

    call_number: int
    entries: tuple[StoreEntry, ...]


@dataclass(frozen=True, slots=True)
class WriteDone:
    """The comparison succeeded; the value was written at ``revision``."""

    call_number: int
    revision: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The comparison failed; this call wrote nothing."""

    call_number: int


@dataclass(frozen=True, slots=True)
class CallLost:
    """No reply: the call may or may not have taken effect, or may later."""

    call_number: int


StoreReply = ReadDone | WriteDone | WriteConflict | CallLost


@dataclass(frozen=True, slots=True)
class Read:
    """Read all keys that start with ``prefix``, linearizably."""

    call_number: int
    prefix: str


@dataclass(frozen=True, slots=True)
class Write:
    """Write the value if the key still has the expected revision.

    An expected revision of 0 means that the key must not exist.
    """

    call_number: int
    key: str
    value: bytes
    expected: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The claim is recorded durably: the request may run now, once."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request must not run.

    The outcome is ``OUTCOME_UNKNOWN`` if the log holds a claim or a record of
    an earlier request that this one may repeat, else ``NOT_RUN``, which
    applies only to the refused request.
    """

    claim: Claim
    outcome: Outcome
    reason: Reason


@dataclass(frozen=True, slots=True)
class Repeat:
    """A request with this key has already run, with this outcome."""

    claim: Claim
    recorded: Recorded


#: The decision on a claim.
Decision = Grant | Refuse | Repeat

LogAction = Read | Write | Grant | Refuse | Repeat
