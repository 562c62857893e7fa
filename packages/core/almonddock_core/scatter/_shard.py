"""The state that a scatter keeps of each shard and each try."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.model import (
    AttemptId,
    Candidate,
    Reason,
    ReplyStatus,
    ShardId,
    SubReply,
    TargetId,
)


class DropReason(enum.Enum):
    """Why a reply was not counted."""

    #: No such try is running: the reply is late, a duplicate or unsolicited.
    UNKNOWN_ATTEMPT = 'unknown_attempt'
    #: The request, shard or target of the reply differs from its try.
    CROSSED = 'crossed'
    #: The target read an index version other than the pinned one.
    WRONG_VERSION = 'wrong_version'


@dataclass(frozen=True, slots=True)
class Attempt:
    """A try that is running."""

    attempt_id: AttemptId
    shard: ShardId
    candidate: Candidate
    sent_at: timedelta


@dataclass(slots=True)
class ShardState:
    """The tries of one shard that has not been answered."""

    shard: ShardId
    candidates: tuple[Candidate, ...]
    tries: int = 0
    tried: set[TargetId] = field(default_factory=set)
    running: list[Attempt] = field(default_factory=list)
    #: Why the last ended try failed, or no try could be sent, or the scatter
    #: ended without a reply; NONE before any of these.
    reason: Reason = Reason.NONE
    #: Whether a failed or cancelled try may have run.
    may_have_run: bool = False
    #: Whether a target no longer holds the pinned version.
    stale: bool = False

    def begin_attempt(self, attempt: Attempt) -> None:
        """Records that a try was sent."""
        self.tries += 1
        self.tried.add(attempt.candidate.target)
        self.running.append(attempt)

    def remove_running(self, candidate: Candidate) -> list[Attempt]:
        """Removes and returns the running tries of a target, to cancel."""
        removed = [one for one in self.running if one.candidate == candidate]
        self.running = [one for one in self.running if one not in removed]
        self.may_have_run = self.may_have_run or bool(removed)
        return removed

    def end_attempt(self, attempt: Attempt, reply: SubReply) -> None:
        """Records that a try ended without rows that can be counted."""
        self.running.remove(attempt)
        self.reason = reply.reason
        if reply.status is not ReplyStatus.NOT_RUN:
            self.may_have_run = True
        if reply.reason is Reason.WRONG_VERSION:
            self.stale = True
