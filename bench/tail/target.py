"""A fake target with a fixed number of slots."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from almonddock_core.model import (
    AttemptId,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
)
from bench.tail.loop import VirtualLoop

Respond = Callable[[SubReply], None]


class FakeTarget:
    """Runs tries for random times; refuses excess tries and can cancel."""

    def __init__(
        self,
        loop: VirtualLoop,
        slots: int,
        draw: Callable[[], timedelta],
    ) -> None:
        self.started = 0
        self.refused = 0
        self._loop = loop
        self._slots = slots
        self._draw = draw
        self._running: dict[AttemptId, tuple[SubQuery, Respond]] = {}

    def start(self, sub: SubQuery, respond: Respond) -> None:
        """Runs a try, or refuses it when every slot is taken."""
        if len(self._running) >= self._slots:
            self.refused += 1
            respond(reply_to(sub, ReplyStatus.NOT_RUN, Reason.OVERLOADED))
            return
        self.started += 1
        self._running[sub.attempt_id] = (sub, respond)
        self._loop.call_after(
            self._draw(),
            partial(self._end, sub.attempt_id, ReplyStatus.OK, Reason.NONE),
        )

    def cancel(self, attempt_id: AttemptId) -> None:
        """Stops a try and frees its slot."""
        self._end(attempt_id, ReplyStatus.UNKNOWN, Reason.CANCELLED)

    def _end(
        self,
        attempt_id: AttemptId,
        status: ReplyStatus,
        reason: Reason,
    ) -> None:
        sub, respond = self._running.pop(attempt_id, (None, None))
        if sub is not None and respond is not None:
            respond(reply_to(sub, status, reason))


def reply_to(
    sub: SubQuery,
    status: ReplyStatus,
    reason: Reason,
) -> SubReply:
    """Builds the target's reply to a try."""
    return SubReply(
        attempt_id=sub.attempt_id,
        request_id=sub.request_id,
        shard=sub.shard,
        target=sub.target,
        status=status,
        reason=reason,
        version=sub.version,
    )
