"""What one try's fate says about whether it ran."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from almonddock_core.model import Reason, ReplyStatus


class TryEvent(enum.Enum):
    """How a try ended, as seen by the host that dials the target."""

    #: Refused or cancelled in the owner's queue.
    NEVER_SENT = 'never_sent'
    #: No connection could be opened.
    CONNECT_FAILED = 'connect_failed'
    #: The connection broke after the first byte may have left.
    CONNECTION_CUT = 'connection_cut'
    #: No reply before the deadline.
    REPLY_TIMEOUT = 'reply_timeout'
    #: The target said that it did not run it: overloaded, cold, draining.
    TARGET_REFUSED = 'target_refused'
    #: The target said that it does not hold the version; it ran nothing.
    VERSION_REFUSED = 'version_refused'
    #: The target answered with rows of another version.
    OTHER_VERSION_READ = 'other_version_read'
    #: The target ran it and reported an error.
    TARGET_FAILED = 'target_failed'
    #: The target confirmed a cancellation; it may have run in part.
    CANCEL_CONFIRMED = 'cancel_confirmed'
    #: The reply was malformed or answered something else.
    REPLY_GARBLED = 'reply_garbled'
    #: A refusal without the mark that nothing was run.
    UNMARKED_REFUSAL = 'unmarked_refusal'


@dataclass(frozen=True, slots=True)
class Verdict:
    """What may be concluded from an event."""

    status: ReplyStatus
    reason: Reason
    #: Whether another try does no harm even if the request must run once.
    retry_allowed: bool


_NOT_RUN = ReplyStatus.NOT_RUN
_UNKNOWN = ReplyStatus.UNKNOWN

_FATES: Mapping[TryEvent, tuple[ReplyStatus, Reason]] = MappingProxyType(
    {
        TryEvent.NEVER_SENT: (_NOT_RUN, Reason.OVERLOADED),
        TryEvent.CONNECT_FAILED: (_NOT_RUN, Reason.TARGET_UNREACHABLE),
        TryEvent.CONNECTION_CUT: (_UNKNOWN, Reason.TARGET_UNREACHABLE),
        TryEvent.REPLY_TIMEOUT: (_UNKNOWN, Reason.TIMED_OUT),
        TryEvent.TARGET_REFUSED: (_NOT_RUN, Reason.OVERLOADED),
        TryEvent.VERSION_REFUSED: (_NOT_RUN, Reason.WRONG_VERSION),
        TryEvent.OTHER_VERSION_READ: (
            ReplyStatus.FAILED,
            Reason.WRONG_VERSION,
        ),
        TryEvent.TARGET_FAILED: (ReplyStatus.FAILED, Reason.TARGET_FAILED),
        TryEvent.CANCEL_CONFIRMED: (_UNKNOWN, Reason.CANCELLED),
        TryEvent.REPLY_GARBLED: (_UNKNOWN, Reason.BAD_REPLY),
        TryEvent.UNMARKED_REFUSAL: (_UNKNOWN, Reason.TARGET_FAILED),
    },
)


def classify_try(event: TryEvent, *, idempotent: bool) -> Verdict:
    """Returns whether the try ran and whether it may be sent again.

    ``NOT_RUN`` is said only when no byte left the host or the target said
    so itself; all else counts as run or unknown.
    """
    status, reason = _FATES[event]
    return Verdict(status, reason, idempotent or status is _NOT_RUN)
