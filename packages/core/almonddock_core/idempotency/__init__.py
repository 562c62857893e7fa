"""At-most-once execution per idempotency key, based on the platform's store.

The key space is divided into partitions (:func:`find_partition`). The owner
host of a partition runs a :class:`PartitionLog`. An entry host, which accepts
callers' requests, has one :class:`ClaimClient`, which sends a :class:`Claim`
before any sub-query, runs the request only after a :class:`Grant`, and reports
its outcome.

A key is remembered for at least ``LogSettings.retention`` after its last entry
in the log; a repeated request may run again after that.
"""

from almonddock_core.idempotency._answers import (
    decode_answer,
    encode_answer,
)
from almonddock_core.idempotency._client import (
    ClaimClient,
    ClientAction,
    FinalDecision,
    SendClaim,
    SendFinish,
)
from almonddock_core.idempotency._entries import Recorded
from almonddock_core.idempotency._keys import (
    KeyDigest,
    PartitionId,
    digest_key,
    find_log_owner,
    find_partition,
    fingerprint_body,
)
from almonddock_core.idempotency._log import PartitionLog
from almonddock_core.idempotency._messages import (
    CallLost,
    Claim,
    Decision,
    Finish,
    Grant,
    LogAction,
    Read,
    ReadDone,
    Refuse,
    Repeat,
    StoreEntry,
    StoreReply,
    Write,
    WriteConflict,
    WriteDone,
)
from almonddock_core.idempotency._settings import LogSettings

__all__ = [
    'CallLost',
    'Claim',
    'ClaimClient',
    'ClientAction',
    'Decision',
    'FinalDecision',
    'Finish',
    'Grant',
    'KeyDigest',
    'LogAction',
    'LogSettings',
    'PartitionId',
    'PartitionLog',
    'Read',
    'ReadDone',
    'Recorded',
    'Refuse',
    'Repeat',
    'SendClaim',
    'SendFinish',
    'StoreEntry',
    'StoreReply',
    'Write',
    'WriteConflict',
    'WriteDone',
    'decode_answer',
    'digest_key',
    'encode_answer',
    'find_log_owner',
    'find_partition',
    'fingerprint_body',
]
