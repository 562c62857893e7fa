"""The state machine of one owned target."""

import dataclasses
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.deployment import Target
from almonddock_core.model import (
    AttemptId,
    Reason,
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
from almonddock_core.owners._health import TargetHealth
from almonddock_core.owners._queue import TargetQueue, WaitingSubQuery
from almonddock_core.owners._replies import build_refusal
from almonddock_core.owners._running import RunningTries
from almonddock_core.owners._settings import OwnerSettings
from almonddock_core.owners._shedding import Timing, find_unservable
from almonddock_core.owners._state import TargetState


def never_expire(now: timedelta) -> timedelta:
    """Returns the end of a lease that never expires, for a single host."""
    return timedelta.max


class OwnedTarget:
    """Queues sub-queries and sends them within the target's limit.

    Call :meth:`offer` for each sub-query that arrives, :meth:`receive_reply`
    for each reply of the target, :meth:`cancel` when the entry host cancels a
    try, and :meth:`tick` at the time that :meth:`next_wake` returns. Carry
    out the returned actions in order. Each offered try is answered by exactly
    one :class:`Reply`.

    A slot is free again once the target has confirmed the end of a try, or
    once the deadline of the try and a grace time have passed.

    ``taken_over`` says that another host may have sent work to the target;
    nothing is then sent to it for the quiet period.

    ``lease_end`` returns until when this host may use the target, see
    :meth:`LeaseManager.find_lease_end`. Work is sent only before that
    time, with a deadline that ends it by then.
    """

    def __init__(
        self,
        target: Target,
        settings: OwnerSettings,
        now: timedelta,
        *,
        taken_over: bool,
        lease_end: Callable[[timedelta], timedelta] = never_expire,
    ) -> None:
        self._target = target
        self._settings = settings
        self._lease_end = lease_end
        self._queue = TargetQueue()
        self._running = RunningTries(settings.deadline_grace)
        quiet = settings.quiet_period if taken_over else timedelta()
        self._state = TargetState(target.entry, settings, now + quiet)

    def offer(self, sub: SubQuery, now: timedelta) -> list[OwnerAction]:
        """Queues a sub-query; refuses it when it cannot be served."""
        attempt_id = sub.attempt_id
        if attempt_id in self._queue or attempt_id in self._running:
            return []
        self._queue.add(WaitingSubQuery(sub, now))
        return self._process_queue(now)

    def receive_reply(
        self, reply: SubReply, now: timedelta
    ) -> list[OwnerAction]:
        """Handles the reply to a try; drops late or mismatched replies."""
        ended = self._running.settle(reply, now)
        if ended is None:
            return []
        self._state.record_reply(reply, ended, now)
        actions: list[OwnerAction] = []
        if not ended.answered:
            timed_reply = dataclasses.replace(
                reply,
                queued=ended.queued,
                served=now - ended.sent_at,
            )
            actions.append(Reply(timed_reply))
        return actions + self._process_queue(now)

    def cancel(
        self,
        attempt_id: AttemptId,
        now: timedelta,
    ) -> list[OwnerAction]:
        """Cancels a try; a running one keeps its slot until it ends."""
        waiting = self._queue.remove(attempt_id)
        if waiting is not None:
            queued = now - waiting.since
            return [
                build_refusal(waiting.sub, Reason.CANCELLED, queued),
                *self._process_queue(now),
            ]
        if self._running.cancel(attempt_id):
            return [CancelAtTarget(attempt_id)]
        return []

    def tick(self, now: timedelta) -> list[OwnerAction]:
        """Ends tries past their deadline and sends waiting sub-queries."""
        return [*self._running.expire(now), *self._process_queue(now)]

    def close(self, reason: Reason, now: timedelta) -> list[OwnerAction]:
        """Stops new work; refuses waiting tries and lets running ones end."""
        self._state.close(reason, now)
        return self._process_queue(now)

    def reopen(self, reason: Reason, now: timedelta) -> None:
        """Removes a reason to be closed; the target is treated as cold."""
        self._state.reopen(reason, now)

    def resume(self, allowed: int | None, now: timedelta) -> None:
        """Reopens the target after it was acquired.

        ``allowed`` is the limit that the previous owner handed over; without
        it the target is treated as cold.
        """
        self._state.reopen(Reason.NOT_OWNER, now)
        self._state.limit.reset(now, allowed)

    def observe_health(
        self,
        health: TargetHealth,
        now: timedelta,
    ) -> list[OwnerAction]:
        """Updates the state from the health endpoint."""
        self._state.observe_health(health, now)
        return self._process_queue(now)

    def measure(self, now: timedelta) -> TargetLoad:
        """Returns the load that entry hosts use to choose a replica."""
        return TargetLoad(
            target=self._target.target,
            queued=len(self._queue),
            in_flight=len(self._running),
            allowed=self._state.limit.allowed,
            service_time=self._state.limit.times.mean,
            open=self._is_open(now),
        )

    def next_wake(self, now: timedelta) -> timedelta | None:
        """Returns the time at which :meth:`tick` is due; None for never."""
        times = [waiting.sub.deadline for waiting in self._queue]
        if times and self._state.quiet_until > now:
            times.append(self._state.quiet_until)
        running = self._running.next_expiry()
        if running is not None:
            times.append(running)
        return min(times, default=None)

    def _process_queue(self, now: timedelta) -> list[OwnerAction]:
        if self._state.closed is not Reason.NONE:
            return self._refuse_all(self._state.closed, now)
        lease_end = self._lease_end(now)
        if now >= lease_end:
            return self._refuse_all(Reason.NOT_OWNER, now)
        actions = self._shed(now)
        latest = lease_end - self._settings.deadline_grace
        while self._queue and self._has_slot(now, latest):
            first = self._queue.take_first()
            due = min(first.sub.deadline, latest)
            sub = first.sub
            if due < sub.deadline:
                sub = dataclasses.replace(sub, deadline=due)
            self._running.start(sub, now - first.since, now)
            actions.append(Dispatch(sub))
        return actions

    def _is_open(self, now: timedelta) -> bool:
        paused = now < self._state.quiet_until
        closed = self._state.closed is not Reason.NONE
        return not paused and not closed and now < self._lease_end(now)

    def _has_slot(self, now: timedelta, latest: timedelta) -> bool:
        """Returns whether work that must end by ``latest`` may start."""
        if now < self._state.quiet_until:
            return False
        if now + self._state.expected_duration >= latest:
            return False
        return len(self._running) < self._state.limit.allowed

    def _shed(self, now: timedelta) -> list[OwnerAction]:
        if not self._queue:
            return []
        unservable = find_unservable(
            tuple(self._queue),
            self.measure(now),
            self._settings,
            Timing(
                now,
                max(timedelta(), self._state.quiet_until - now),
                self._state.expected_duration,
            ),
        )
        for shed in unservable:
            self._queue.remove(shed.waiting.sub.attempt_id)
        return [
            build_refusal(
                shed.waiting.sub, shed.reason, now - shed.waiting.since
            )
            for shed in unservable
        ]

    def _refuse_all(
        self,
        reason: Reason,
        now: timedelta,
    ) -> list[OwnerAction]:
        actions: list[OwnerAction] = []
        while self._queue:
            first = self._queue.take_first()
            actions.append(build_refusal(first.sub, reason, now - first.since))
        return actions
