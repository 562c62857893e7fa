"""Admission control of this host: one queue for each workload."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.admission import (
    Admission,
    AdmissionAction,
    AdmissionSettings,
    Admit,
    Refuse,
    compute_unit_limit,
)
from almonddock_core.deployment import Deployment
from almonddock_core.model import Clock, Query, Reason, RequestId, WorkloadId


@dataclass(slots=True)
class _WorkloadQueue:
    """The admission state of one workload and its timer."""

    admission: Admission
    #: The sub-queries that one query of the workload needs.
    units: int = 1
    timer: asyncio.TimerHandle | None = None
    #: The queries that wait for a decision.
    waiting: dict[RequestId, asyncio.Future[Reason]] = field(
        default_factory=dict,
    )


class AdmissionController:
    """Bounds the sub-queries that this host has in progress.

    Call :meth:`admit` before a query and :meth:`release` after it, whatever
    its outcome.
    """

    def __init__(self, settings: AdmissionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._queues: dict[WorkloadId, _WorkloadQueue] = {}

    def update(self, deployment: Deployment, hosts: int) -> None:
        """Recomputes workload limits from target slots and the host count."""
        for workload in deployment.workloads:
            queue = self._queues.get(workload)
            if queue is None:
                queue = _WorkloadQueue(Admission(self._settings))
                self._queues[workload] = queue
            queue.units = _count_shards(deployment, workload)
            slots = _count_slots(deployment, workload)
            queue.admission.update_limit(
                compute_unit_limit(slots, hosts, queue.units)
            )

    async def admit(self, query: Query) -> Reason:
        """Waits for admission; returns NONE, or the reason of a refusal."""
        queue = self._queues.get(query.workload)
        if queue is None:
            return Reason.NONE
        decision: asyncio.Future[Reason] = (
            asyncio.get_running_loop().create_future()
        )
        queue.waiting[query.request_id] = decision
        now = self._clock.now()
        self._carry_out(queue, queue.admission.offer(query, queue.units, now))
        try:
            return await decision
        except asyncio.CancelledError:
            queue.waiting.pop(query.request_id, None)
            now = self._clock.now()
            actions = queue.admission.withdraw(query.request_id, now)
            self._carry_out(queue, actions)
            raise

    def release(self, query: Query) -> None:
        """Frees the capacity that a query holds."""
        queue = self._queues.get(query.workload)
        if queue is not None:
            now = self._clock.now()
            actions = queue.admission.finish(query.request_id, now)
            self._carry_out(queue, actions)

    def _carry_out(
        self,
        queue: _WorkloadQueue,
        actions: Iterable[AdmissionAction],
    ) -> None:
        for action in actions:
            match action:
                case Admit(request_id):
                    _resolve(queue, request_id, Reason.NONE)
                case Refuse(request_id, reason):
                    _resolve(queue, request_id, reason)
        self._set_timer(queue)

    def _set_timer(self, queue: _WorkloadQueue) -> None:
        if queue.timer is not None:
            queue.timer.cancel()
            queue.timer = None
        wake = queue.admission.next_wake()
        if wake is None:
            return
        wait = max(timedelta(), wake - self._clock.now())
        queue.timer = asyncio.get_running_loop().call_later(
            wait.total_seconds(),
            self._tick,
            queue,
        )

    def _tick(self, queue: _WorkloadQueue) -> None:
        queue.timer = None
        self._carry_out(queue, queue.admission.tick(self._clock.now()))


def _resolve(
    queue: _WorkloadQueue, request_id: RequestId, reason: Reason
) -> None:
    decision = queue.waiting.pop(request_id, None)
    if decision is not None and not decision.done():
        decision.set_result(reason)


def _count_shards(deployment: Deployment, workload: WorkloadId) -> int:
    versions = deployment.list_versions(workload)
    if not versions:
        return 1
    return max(1, len(deployment.list_shards(workload, versions[0])))


def _count_slots(deployment: Deployment, workload: WorkloadId) -> int:
    return sum(
        target.entry.slots
        for target in deployment.targets.values()
        if target.workload == workload
        and not deployment.is_taken_out(target.data_centre)
    )
