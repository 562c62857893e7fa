"""The actions that a dispatch returns, and the answers it ends with."""

import enum
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch._requests import TargetReply
from almonddock_core.routing import KnownTarget


class Failure(enum.Enum):
    """How an attempt ended without a reply."""

    #: No byte of the request reached the target.
    UNSENT = 'unsent'
    #: As ``UNSENT``, for a reason that says nothing about the target's health.
    WITHDRAWN = 'withdrawn'
    #: The request may have run.
    LOST = 'lost'


class RefusalReason(enum.Enum):
    """Why a request ends without an answer from a target."""

    #: No usable target, or too few shards with one; the request has not run.
    NO_TARGET = 'no_target'
    #: Every target that could be asked refused; the request has not run.
    TARGETS_FULL = 'targets_full'
    #: A target may have run the request, and no answer came.
    OUTCOME_UNKNOWN = 'outcome_unknown'
    #: No answer came before the timeout or the deadline; it may have run.
    TIMED_OUT = 'timed_out'


@dataclass(frozen=True, slots=True)
class Refusal:
    """The answer of this host when it has none from a target."""

    reason: RefusalReason
    #: Whether it is certain that the request has not run and will not run.
    not_run: bool
    #: How long the caller should wait before a retry; None if no wait is
    #: advised, as after a timeout or with an unknown outcome.
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """The reply of one target, forwarded unchanged."""

    reply: TargetReply


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """The greatest records of the shards that answered."""

    replies: tuple[TargetReply, ...]
    #: Shards that are not in the answer.
    missing: tuple[str, ...]


Answer = ForwardedAnswer | MergedAnswer | Refusal


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a target; report the outcome."""

    attempt: int
    target: KnownTarget


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt whose reply is not needed; report nothing."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Cancel an attempt if no byte of it was sent; report it as unsent."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Answer the caller."""

    answer: Answer


Action = Send | Cancel | Withdraw | Finish
