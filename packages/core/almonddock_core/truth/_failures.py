"""Classifies the end of a try: whether it ran and may be retried."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from almonddock_core.model import Reason, ReplyStatus


class AttemptEvent(enum.Enum):
    """How a try ended, as seen by the host connected to the target."""

    #: The owner refused or cancelled it while it was queued.
    NEVER_SENT = 'never_sent'
    #: No connection could be opened.
    CONNECT_FAILED = 'connect_failed'
    #: The connection broke when some bytes may already have been sent.
    CONNECTION_CUT = 'connection_cut'
    #: No reply arrived before the deadline.
    REPLY_TIMEOUT = 'reply_timeout'
    #: The target did not run it because it is overloaded, cold or draining.
    TARGET_REFUSED = 'target_refused'
    #: The target did not run it because it does not hold the version.
    VERSION_REFUSED = 'version_refused'
    #: The target returned rows of another version.
    OTHER_VERSION_READ = 'other_version_read'
    #: The target ran it and reported an error.
    TARGET_FAILED = 'target_failed'
    #: The target confirmed a cancellation; it may have run in part.
    CANCEL_CONFIRMED = 'cancel_confirmed'
    #: The reply was malformed or belonged to another request.
    REPLY_GARBLED = 'reply_garbled'
    #: The target refused without marking the request as not executed.
    UNMARKED_REFUSAL = 'unmarked_refusal'


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Whether a try ran, why it failed and whether it may be sent again."""

    status: ReplyStatus
    reason: Reason
    #: Whether the sub-query may be sent again.
    retry_allowed: bool


_NOT_RUN = ReplyStatus.NOT_RUN
_UNKNOWN = ReplyStatus.UNKNOWN

_RESULTS: Mapping[AttemptEvent, tuple[ReplyStatus, Reason]] = MappingProxyType(
    {
        AttemptEvent.NEVER_SENT: (_NOT_RUN, Reason.OVERLOADED),
        AttemptEvent.CONNECT_FAILED: (_NOT_RUN, Reason.TARGET_UNREACHABLE),
        AttemptEvent.CONNECTION_CUT: (_UNKNOWN, Reason.TARGET_UNREACHABLE),
        AttemptEvent.REPLY_TIMEOUT: (_UNKNOWN, Reason.TIMED_OUT),
        AttemptEvent.TARGET_REFUSED: (_NOT_RUN, Reason.OVERLOADED),
        AttemptEvent.VERSION_REFUSED: (_NOT_RUN, Reason.WRONG_VERSION),
        AttemptEvent.OTHER_VERSION_READ: (
            ReplyStatus.FAILED,
            Reason.WRONG_VERSION,
        ),
        AttemptEvent.TARGET_FAILED: (ReplyStatus.FAILED, Reason.TARGET_FAILED),
        AttemptEvent.CANCEL_CONFIRMED: (_UNKNOWN, Reason.CANCELLED),
        AttemptEvent.REPLY_GARBLED: (_UNKNOWN, Reason.BAD_REPLY),
        AttemptEvent.UNMARKED_REFUSAL: (_UNKNOWN, Reason.TARGET_FAILED),
    },
)


def classify_attempt(event: AttemptEvent, *, idempotent: bool) -> AttemptResult:
    """Returns whether the try ran and whether it may be sent again.

    The status is ``NOT_RUN`` only when nothing was sent or the target
    reported that it did not run the try; otherwise the try has run or its
    outcome is unknown. A sub-query that is not idempotent may be sent again
    only if it has not run.
    """
    status, reason = _RESULTS[event]
    return AttemptResult(status, reason, idempotent or status is _NOT_RUN)
