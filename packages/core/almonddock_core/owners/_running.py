"""Tracks the tries that a target is running or may be running."""

import dataclasses
from datetime import timedelta

from almonddock_core.model import (
    AttemptId,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
)
from almonddock_core.owners._actions import CancelAtTarget, OwnerAction
from almonddock_core.owners._replies import build_timeout


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTry:
    """A try that occupies a slot of the target."""

    sub: SubQuery
    sent_at: timedelta
    #: How long it waited in the queue.
    queued: timedelta
    #: The highest number of slots in use at a time since it was sent.
    peak: int
    #: Whether the entry host has been sent a reply.
    answered: bool = False
    #: Whether the target has been asked to cancel it.
    cancelled: bool = False


class RunningTries:
    """Tracks the slots in use.

    A try with an unknown outcome keeps its slot until its deadline and the
    grace time have passed, because it may still be running.
    """

    def __init__(self, grace: timedelta) -> None:
        self._grace = grace
        self._tries: dict[AttemptId, RunningTry] = {}

    def __len__(self) -> int:
        """Returns the number of slots in use."""
        return len(self._tries)

    def __contains__(self, attempt_id: AttemptId) -> bool:
        """Returns whether the try occupies a slot."""
        return attempt_id in self._tries

    def start(
        self,
        sub: SubQuery,
        queued: timedelta,
        now: timedelta,
    ) -> None:
        """Occupies a slot for a try that is sent now."""
        used = len(self._tries) + 1
        for attempt_id, other in self._tries.items():
            if other.peak < used:
                raised = dataclasses.replace(other, peak=used)
                self._tries[attempt_id] = raised
        self._tries[sub.attempt_id] = RunningTry(sub, now, queued, used)

    def settle(self, reply: SubReply, now: timedelta) -> RunningTry | None:
        """Returns the try of a reply, None if unknown.

        The slot is freed unless the try may still be running.
        """
        found = self._tries.get(reply.attempt_id)
        if found is None or reply.shard != found.sub.shard:
            return None
        unsure = reply.status is ReplyStatus.UNKNOWN
        if unsure and reply.reason is not Reason.CANCELLED:
            self._tries[reply.attempt_id] = dataclasses.replace(
                found,
                answered=True,
            )
        else:
            self._tries.pop(reply.attempt_id)
        return found

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Marks a try as cancelled; returns whether to ask the target."""
        found = self._tries.get(attempt_id)
        if found is None or found.cancelled:
            return False
        self._tries[attempt_id] = dataclasses.replace(found, cancelled=True)
        return True

    def expire(self, now: timedelta) -> list[OwnerAction]:
        """Answers tries at their deadline and frees slots after the grace."""
        actions: list[OwnerAction] = []
        for found in tuple(self._tries.values()):
            attempt_id = found.sub.attempt_id
            if now >= found.sub.deadline and not found.answered:
                actions.append(build_timeout(found.sub, found.queued))
                actions.append(CancelAtTarget(attempt_id))
                self._tries[attempt_id] = dataclasses.replace(
                    found,
                    answered=True,
                    cancelled=True,
                )
            if now >= found.sub.deadline + self._grace:
                self._tries.pop(attempt_id)
        return actions

    def next_expiry(self) -> timedelta | None:
        """Returns when :meth:`expire` is due; None without tries."""
        return min(
            (
                found.sub.deadline + self._grace * found.answered
                for found in self._tries.values()
            ),
            default=None,
        )
