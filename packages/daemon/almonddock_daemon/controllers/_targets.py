"""Runs the targets that this host owns."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from almonddock_core.deployment import Deployment, Target
from almonddock_core.model import (
    AttemptId,
    Clock,
    Reason,
    ReplyStatus,
    SubReply,
    TargetId,
    TargetLoad,
)
from almonddock_core.owners import OwnerSettings
from almonddock_daemon.adapters import build_reply
from almonddock_daemon.controllers._outbox import ReplyOutbox, SendReplies
from almonddock_daemon.controllers._target_runner import (
    LeaseEnd,
    TargetRunner,
    TargetRunnerPorts,
)
from almonddock_daemon.telemetry import Tracing
from almonddock_wire import CancelBatch, SubQueryBatch

#: The time between two health requests to a target, in seconds.
HEALTH_PERIOD_S = 5.0

#: Receives a drained target once it is idle, and its concurrency limit.
ReportIdle = Callable[[TargetId, int], None]


@dataclass(frozen=True, slots=True)
class _Origin:
    """Where the reply to an attempt is sent, and its target."""

    send_replies: SendReplies
    target: TargetId


class TargetController:
    """Owns the queues of this host's targets.

    Replies to one entry host that are ready in the same event loop iteration
    are sent in one message.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        clock: Clock,
        tracing: Tracing,
    ) -> None:
        self._ports = TargetRunnerPorts(
            settings,
            clock,
            tracing,
            self._deliver_reply,
            self._finish_if_idle,
        )
        self._owned: dict[TargetId, TargetRunner] = {}
        self._origins: dict[AttemptId, _Origin] = {}
        self._outbox = ReplyOutbox(self._measure)
        self._report_idle: ReportIdle = _ignore_idle
        self._deployment = Deployment()

    @property
    def owned(self) -> frozenset[TargetId]:
        """The targets that this host owns now."""
        return frozenset(self._owned)

    @property
    def outstanding(self) -> int:
        """Accepted sub-queries that have no reply yet."""
        return len(self._origins)

    async def run(self) -> None:
        """Asks each owned target for its health until cancelled."""
        while True:
            for owned in tuple(self._owned.values()):
                owned.poll_health()
            await asyncio.sleep(HEALTH_PERIOD_S)

    def measure_loads(self) -> tuple[TargetLoad, ...]:
        """Returns the load of every owned target, sorted by name."""
        return self._measure(self._owned)

    def subscribe_idle(self, report: ReportIdle) -> None:
        """Sets the function that is called for each drained idle target."""
        self._report_idle = report

    def update(self, deployment: Deployment) -> None:
        """Applies changes to targets and to which data centres are in use.

        A changed target is replaced once its running work has ended.
        """
        self._deployment = deployment
        for name, owned in tuple(self._owned.items()):
            target = deployment.targets.get(name)
            if target is not None and target != owned.target:
                owned.replacement = target
                owned.close(Reason.DRAINING)
            self._apply_data_centre(owned)

    def acquire(
        self,
        target: Target,
        allowed: int | None,
        lease_end: LeaseEnd,
    ) -> None:
        """Serves a target; ``allowed`` is its limit if one was handed over."""
        if target.target not in self._owned:
            self._create(target, lease_end)
        owned = self._owned[target.target]
        self._apply_data_centre(owned)
        owned.resume(allowed)

    def drain(self, name: TargetId) -> None:
        """Accepts no new work for a target; releases it once it is idle."""
        owned = self._owned.get(name)
        if owned is not None:
            owned.draining = True
            owned.close(Reason.NOT_OWNER)

    def receive(self, batch: SubQueryBatch, send_replies: SendReplies) -> None:
        """Queues sub-queries; ``send_replies`` gets a reply to each."""
        for sub in batch.sub_queries:
            owned = self._owned.get(sub.target)
            if owned is None:
                reply = build_reply(sub, ReplyStatus.NOT_RUN, Reason.NOT_OWNER)
                self._outbox.add(send_replies, reply)
            elif sub.attempt_id not in self._origins:
                self._origins[sub.attempt_id] = _Origin(
                    send_replies, sub.target
                )
                owned.offer(sub)

    def cancel(self, batch: CancelBatch) -> None:
        """Dequeues attempts or cancels them at the target."""
        for attempt_id in batch.attempts:
            origin = self._origins.get(attempt_id)
            owned = self._owned.get(origin.target) if origin else None
            if owned is not None:
                owned.cancel(attempt_id)

    def close(self) -> None:
        """Stops every target at once."""
        for name in list(self._owned):
            self._remove(name)

    def _measure(self, names: Iterable[TargetId]) -> tuple[TargetLoad, ...]:
        return tuple(
            self._owned[name].measure()
            for name in sorted(names)
            if name in self._owned
        )

    def _create(self, target: Target, lease_end: LeaseEnd) -> None:
        owned = TargetRunner(target, lease_end, self._ports)
        self._owned[target.target] = owned

    def _apply_data_centre(self, owned: TargetRunner) -> None:
        if self._deployment.is_taken_out(owned.target.data_centre):
            owned.close(Reason.DATA_CENTRE_OUT)
        else:
            owned.reopen(Reason.DATA_CENTRE_OUT)

    def _remove(self, name: TargetId) -> None:
        owned = self._owned.pop(name, None)
        if owned is not None:
            owned.stop()

    def _finish_if_idle(self, owned: TargetRunner) -> None:
        """Releases or replaces a target that is draining, once idle."""
        if not owned.draining and owned.replacement is None:
            return
        name = owned.target.target
        load = owned.measure()
        if load.in_flight or self._owned.get(name) is not owned:
            return
        if owned.draining:
            self._remove(name)
            self._report_idle(name, load.allowed)
        elif owned.replacement is not None:
            self._remove(name)
            self._create(owned.replacement, owned.lease_end)

    def _deliver_reply(self, reply: SubReply) -> None:
        origin = self._origins.pop(reply.attempt_id, None)
        if origin is not None:
            self._outbox.add(origin.send_replies, reply)


def _ignore_idle(name: TargetId, allowed: int) -> None:
    """Ignores an idle target; the default until a function is set."""
