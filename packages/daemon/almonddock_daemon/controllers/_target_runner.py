"""Runs one owned target: its queue, its connections and its timer."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_core.deployment import Target
from almonddock_core.model import (
    AttemptId,
    Clock,
    Reason,
    SubQuery,
    SubReply,
    TargetLoad,
)
from almonddock_core.owners import (
    CancelAtTarget,
    Dispatch,
    OwnedTarget,
    OwnerAction,
    OwnerSettings,
    Reply,
    TargetHealth,
)
from almonddock_daemon.adapters import TargetClient
from almonddock_daemon.telemetry import Tracing

#: Returns when the lease on a target ends, given the current time.
LeaseEnd = Callable[[timedelta], timedelta]


@dataclass(frozen=True, slots=True)
class TargetRunnerPorts:
    """What a target runner needs of its host."""

    settings: OwnerSettings
    clock: Clock
    tracing: Tracing
    #: Receives each reply, once.
    deliver_reply: Callable[[SubReply], None]
    #: Called after the actions of each state change are carried out.
    handle_change: 'Callable[[TargetRunner], None]'


class TargetRunner:
    """Carries out the actions of one :class:`OwnedTarget`."""

    def __init__(
        self,
        target: Target,
        lease_end: LeaseEnd,
        ports: TargetRunnerPorts,
    ) -> None:
        self.target = target
        self.lease_end = lease_end
        #: Whether the target is released once nothing runs there.
        self.draining = False
        #: The changed target that replaces this one once it is idle.
        self.replacement: Target | None = None
        self._ports = ports
        self._state = OwnedTarget(
            target,
            ports.settings,
            ports.clock.now(),
            taken_over=False,
            lease_end=lease_end,
        )
        self._client = TargetClient(target, ports.clock)
        self._timer: asyncio.TimerHandle | None = None

    def measure(self) -> TargetLoad:
        """Returns the load of the target."""
        return self._state.measure(self._ports.clock.now())

    def offer(self, sub: SubQuery) -> None:
        """Queues a sub-query."""
        self._carry_out(self._state.offer(sub, self._ports.clock.now()))

    def cancel(self, attempt_id: AttemptId) -> None:
        """Dequeues an attempt or cancels it at the target."""
        now = self._ports.clock.now()
        self._carry_out(self._state.cancel(attempt_id, now))

    def resume(self, allowed: int | None) -> None:
        """Serves the target, at first with ``allowed`` sub-queries at a time.

        None treats the target as cold, as if it had just started.
        """
        now = self._ports.clock.now()
        self.draining = False
        self._state.resume(allowed, now)
        self._carry_out(self._state.tick(now))

    def poll_health(self) -> None:
        """Requests the health, which may be older than what replies report."""

        def observe(health: TargetHealth) -> None:
            now = self._ports.clock.now()
            self._carry_out(self._state.observe_health(health, now))

        self._client.request_health(observe)

    def close(self, reason: Reason) -> None:
        """Accepts no new work; running sub-queries are not cancelled."""
        now = self._ports.clock.now()
        self._carry_out(self._state.close(reason, now))

    def reopen(self, reason: Reason) -> None:
        """Removes one of the reasons for which the target is closed."""
        self._state.reopen(reason, self._ports.clock.now())

    def stop(self) -> None:
        """Cancels the timer and closes the idle connections."""
        if self._timer is not None:
            self._timer.cancel()
        self._client.close()

    def _carry_out(self, actions: Iterable[OwnerAction]) -> None:
        for action in actions:
            match action:
                case Dispatch(sub):
                    self._dispatch(sub)
                case Reply(reply):
                    self._ports.deliver_reply(reply)
                case CancelAtTarget(attempt_id):
                    self._client.cancel(attempt_id)
        self._set_timer()
        self._ports.handle_change(self)

    def _dispatch(self, sub: SubQuery) -> None:
        span = self._ports.tracing.start_span(
            'target',
            sub.traceparent,
            {'target': sub.target, 'shard': sub.shard},
        )

        def handle_reply(reply: SubReply) -> None:
            span.end({'status': reply.status.value})
            now = self._ports.clock.now()
            self._carry_out(self._state.receive_reply(reply, now))

        if span.traceparent != sub.traceparent:
            sub = replace(sub, traceparent=span.traceparent)
        self._client.send(sub, handle_reply)

    def _set_timer(self) -> None:
        now = self._ports.clock.now()
        wake = self._state.next_wake(now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wake is None:
            return
        wait = max(timedelta(), wake - now)
        self._timer = asyncio.get_running_loop().call_later(
            wait.total_seconds(),
            self._tick,
        )

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self._state.tick(self._ports.clock.now()))
