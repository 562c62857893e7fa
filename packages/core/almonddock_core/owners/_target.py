"""The state machine of one owned target."""

import dataclasses
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.deployment import Target
from almonddock_core.model import (
    AttemptId,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
    TargetLoad,
)
from almonddock_core.owners._actions import (
    CancelAtTarget,
    Dispatch,
    OwnerAction,
    Reply,
)
from almonddock_core.owners._queue import TargetQueue, Waiting
from almonddock_core.owners._ramp import Ramp
from almonddock_core.owners._replies import refuse
from almonddock_core.owners._running import RunningTries
from almonddock_core.owners._settings import OwnerSettings
from almonddock_core.owners._shedding import find_hopeless


def always_permit(now: timedelta) -> bool:
    """Permits every dispatch; for hosts without peers."""
    return True


class OwnedTarget:
    """Queues sub-queries for one target and never sends more than it bears.

    Call :meth:`offer` for each sub-query that arrives, :meth:`settle` for
    each reply of the target, :meth:`cancel` when the entry host withdraws a
    try, and :meth:`tick` at the time that :meth:`next_wake` returns. Carry
    out the returned actions in order. Each offered try gets exactly one
    :class:`Reply`.

    A slot is free again once the target has confirmed the end of a try, or
    once the deadline of the try and a grace time have passed.
    """

    def __init__(
        self,
        target: Target,
        settings: OwnerSettings,
        now: timedelta,
        *,
        inherited: bool,
        permit: Callable[[timedelta], bool] = always_permit,
    ) -> None:
        self._target = target
        self._settings = settings
        self._permit = permit
        self._ramp = Ramp(target.entry, settings)
        self._queue = TargetQueue()
        self._running = RunningTries(settings.deadline_grace)
        self._closed = Reason.NONE
        quiet = settings.quiet_period if inherited else timedelta()
        self._quiet_until = now + quiet

    def offer(self, sub: SubQuery, now: timedelta) -> list[OwnerAction]:
        """Queues a sub-query, or refuses it as not run."""
        attempt_id = sub.attempt_id
        if attempt_id in self._queue or attempt_id in self._running:
            return []
        self._queue.add(Waiting(sub, now))
        return self._pump(now)

    def settle(self, reply: SubReply, now: timedelta) -> list[OwnerAction]:
        """Takes the target's reply to a try; late and crossed ones drop."""
        ended = self._running.settle(reply, now)
        if ended is None:
            return []
        self._learn(reply, ended.sent_at, now)
        actions: list[OwnerAction] = []
        if not ended.answered:
            timed = dataclasses.replace(
                reply,
                queued=ended.queued,
                served=now - ended.sent_at,
            )
            actions.append(Reply(timed))
        return actions + self._pump(now)

    def cancel(
        self,
        attempt_id: AttemptId,
        now: timedelta,
    ) -> list[OwnerAction]:
        """Withdraws a try; one that runs keeps its slot until it ends."""
        waiting = self._queue.remove(attempt_id)
        if waiting is not None:
            queued = now - waiting.since
            return [
                refuse(waiting.sub, Reason.CANCELLED, queued),
                *self._pump(now),
            ]
        if self._running.cancel(attempt_id):
            return [CancelAtTarget(attempt_id)]
        return []

    def tick(self, now: timedelta) -> list[OwnerAction]:
        """Ends what is out of time and sends what has become possible."""
        return [*self._running.expire(now), *self._pump(now)]

    def close(self, reason: Reason, now: timedelta) -> list[OwnerAction]:
        """Takes no new work; waiting tries are refused, running ones end."""
        self._closed = reason
        return self._pump(now)

    def reopen(self, now: timedelta) -> None:
        """Takes work again; the target is treated as cold."""
        if self._closed is not Reason.NONE:
            self._closed = Reason.NONE
            self._ramp.restart(now)

    def measure(self, now: timedelta) -> TargetLoad:
        """Returns the load for entry hosts to choose by."""
        return TargetLoad(
            target=self._target.target,
            queued=len(self._queue),
            in_flight=len(self._running),
            allowed=self._ramp.allowed,
            service_time=self._ramp.times.mean,
            open=self._closed is Reason.NONE and self._permit(now),
        )

    def next_wake(self, now: timedelta) -> timedelta | None:
        """Returns the time at which :meth:`tick` is due; None for never."""
        times = [waiting.sub.deadline for waiting in self._queue]
        if times and self._quiet_until > now:
            times.append(self._quiet_until)
        running = self._running.next_expiry()
        if running is not None:
            times.append(running)
        return min(times, default=None)

    def _pump(self, now: timedelta) -> list[OwnerAction]:
        if self._closed is not Reason.NONE:
            return self._refuse_all(self._closed, now)
        if not self._permit(now):
            return self._refuse_all(Reason.NOT_OWNER, now)
        actions = self._shed(now)
        while self._queue and self._has_slot(now):
            first = self._queue.take_first()
            self._running.start(first, now)
            actions.append(Dispatch(first.sub))
        return actions

    def _has_slot(self, now: timedelta) -> bool:
        if now < self._quiet_until:
            return False
        return len(self._running) < self._ramp.allowed

    def _shed(self, now: timedelta) -> list[OwnerAction]:
        hopeless = find_hopeless(
            tuple(self._queue),
            self.measure(now),
            self._settings,
            self._ramp.times.compute_quantile(self._settings.finish_quantile),
            now,
        )
        for shed in hopeless:
            self._queue.remove(shed.waiting.sub.attempt_id)
        return [
            refuse(shed.waiting.sub, shed.reason, now - shed.waiting.since)
            for shed in hopeless
        ]

    def _refuse_all(
        self,
        reason: Reason,
        now: timedelta,
    ) -> list[OwnerAction]:
        actions: list[OwnerAction] = []
        while self._queue:
            first = self._queue.take_first()
            actions.append(refuse(first.sub, reason, now - first.since))
        return actions

    def _learn(
        self,
        reply: SubReply,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        if reply.mark.draining or reply.reason is Reason.DRAINING:
            self._closed = Reason.DRAINING
        if reply.mark.cold or reply.reason is Reason.COLD:
            self._ramp.restart(now)
        elif reply.status is ReplyStatus.OK:
            self._ramp.succeed(now - sent_at, sent_at, now)
        elif reply.reason is Reason.OVERLOADED:
            self._ramp.shed(now)
