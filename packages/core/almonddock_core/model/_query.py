"""Queries of callers and the sub-queries made from them."""

import enum
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model._identifiers import (
    AttemptId,
    IndexVersion,
    RequestId,
    ShardId,
    TargetId,
    WorkloadId,
)


class Urgency(enum.IntEnum):
    """How soon the caller needs the answer; a smaller value goes first."""

    URGENT = 0
    NORMAL = 1
    ARCHIVE = 2


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's request, checked and with its defaults filled in."""

    request_id: RequestId
    workload: WorkloadId
    #: What the targets receive, as JSON text.
    body: bytes
    #: When the answer must leave, on the clock of the entry host.
    deadline: timedelta
    urgency: Urgency = Urgency.NORMAL
    #: The value of an answer, relative to that of other queries.
    worth: float = 1
    #: The share of shards, from 0 to 1, below which no answer is of use.
    min_coverage: float = 0
    #: Whether a second run of the same request does no harm.
    idempotent: bool = True
    #: The caller's key for running the request at most once, if given.
    idempotency_key: str | None = None
    #: The W3C trace context of the caller, empty when there is none.
    traceparent: str = ''


@dataclass(frozen=True, slots=True)
class SubQuery:
    """One try of one shard of a query at one target."""

    attempt_id: AttemptId
    request_id: RequestId
    shard: ShardId
    target: TargetId
    version: IndexVersion
    body: bytes
    #: When the reply must be in, on the clock of the host that holds it.
    deadline: timedelta
    urgency: Urgency = Urgency.NORMAL
    #: The query's worth divided by its number of shards.
    worth: float = 1
    idempotent: bool = True
    #: Whether this try repeats one that is still running.
    hedge: bool = False
    traceparent: str = ''


class ReplyStatus(enum.Enum):
    """The known outcome of one try of a sub-query."""

    #: The target answered with rows.
    OK = 'ok'
    #: Nothing was run: not sent, or the target said so.
    NOT_RUN = 'not_run'
    #: The target ran it and reported an error.
    FAILED = 'failed'
    #: Sent, and no valid reply: it may or may not have run.
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why a shard is missing or a try was refused; stable codes."""

    #: The answer is complete; no reason applies.
    NONE = 'none'
    #: No target holds the shard at the pinned version.
    NO_TARGET = 'no_target'
    #: The queue or the target is full.
    OVERLOADED = 'overloaded'
    #: The target is in a cold start.
    COLD = 'cold'
    #: The target or its data centre takes no new work.
    DRAINING = 'draining'
    #: All targets of the shard are in data centres that operators have taken
    #: out of service.
    DATA_CENTRE_OUT = 'data_centre_out'
    #: The work could not finish before the deadline.
    TIMED_OUT = 'timed_out'
    #: The target read another index version.
    WRONG_VERSION = 'wrong_version'
    #: The host that owns the target could not be reached.
    OWNER_UNREACHABLE = 'owner_unreachable'
    #: The host that was asked does not own the target.
    NOT_OWNER = 'not_owner'
    #: The target could not be reached or broke the connection.
    TARGET_UNREACHABLE = 'target_unreachable'
    #: The target answered with an error of its own.
    TARGET_FAILED = 'target_failed'
    #: The reply was not a reply to this sub-query.
    BAD_REPLY = 'bad_reply'
    #: The try was cancelled because another one had answered.
    CANCELLED = 'cancelled'
    #: The host is shutting down.
    SHUTTING_DOWN = 'shutting_down'
    #: The store did not answer, so at-most-once cannot be guaranteed.
    STORE_UNAVAILABLE = 'store_unavailable'
    #: The same idempotency key is in use by a request still running.
    IN_PROGRESS = 'in_progress'
    #: The reached coverage is below what the caller asked for.
    LOW_COVERAGE = 'low_coverage'
    #: The idempotency key was used before with another request body.
    KEY_MISMATCH = 'key_mismatch'
    #: A request with the same key started; its outcome is not recorded.
    NOT_RECORDED = 'not_recorded'


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target reports in a reply."""

    #: Whether the target reports a cold start.
    cold: bool = False
    #: Whether the target reports that it takes no new work.
    draining: bool = False
    #: Requests the target is running, this one included; None if unknown.
    in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class SubReply:
    """The outcome of one try of a sub-query."""

    attempt_id: AttemptId
    request_id: RequestId
    shard: ShardId
    target: TargetId
    status: ReplyStatus
    reason: Reason = Reason.NONE
    #: The version the target read; None when it read nothing.
    version: IndexVersion | None = None
    #: The rows as JSON text of one array; empty when there are none.
    rows: bytes = b''
    #: Time that it waited in the owner's queue.
    queued: timedelta = timedelta()
    #: Time that it ran at the target.
    served: timedelta = timedelta()
    load_report: LoadReport = LoadReport()
