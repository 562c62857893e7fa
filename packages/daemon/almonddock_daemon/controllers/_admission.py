"""Admits the queries of this host, one line for each workload."""

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
class _Line:
    """The admission of one workload and its timer."""

    admission: Admission
    #: Sub-queries of one query.
    units: int = 1
    timer: asyncio.TimerHandle | None = None
    #: The queries that wait for a decision.
    waiting: dict[RequestId, asyncio.Future[Reason]] = field(
        default_factory=dict,
    )


class AdmissionController:
    """Bounds the sub-queries that this host has in progress.

    Call :meth:`enter` before a query and :meth:`leave` after it, whatever
    became of it.
    """

    def __init__(self, settings: AdmissionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._lines: dict[WorkloadId, _Line] = {}

    def update(self, deployment: Deployment, hosts: int) -> None:
        """Follows the slots of each workload and the number of hosts."""
        for workload in deployment.workloads:
            line = self._lines.get(workload)
            if line is None:
                line = _Line(Admission(self._settings))
                self._lines[workload] = line
            line.units = _count_shards(deployment, workload)
            slots = _count_slots(deployment, workload)
            line.admission.resize(compute_unit_limit(slots, hosts, line.units))

    async def enter(self, query: Query) -> Reason:
        """Waits for a place; returns NONE, or why there will be none."""
        line = self._lines.get(query.workload)
        if line is None:
            return Reason.NONE
        decision: asyncio.Future[Reason] = (
            asyncio.get_running_loop().create_future()
        )
        line.waiting[query.request_id] = decision
        now = self._clock.now()
        self._carry_out(line, line.admission.offer(query, line.units, now))
        try:
            return await decision
        except asyncio.CancelledError:
            line.waiting.pop(query.request_id, None)
            now = self._clock.now()
            actions = line.admission.withdraw(query.request_id, now)
            self._carry_out(line, actions)
            raise

    def leave(self, query: Query) -> None:
        """Frees the place of a query."""
        line = self._lines.get(query.workload)
        if line is not None:
            now = self._clock.now()
            actions = line.admission.finish(query.request_id, now)
            self._carry_out(line, actions)

    def _carry_out(
        self,
        line: _Line,
        actions: Iterable[AdmissionAction],
    ) -> None:
        for action in actions:
            match action:
                case Admit(request_id):
                    _decide(line, request_id, Reason.NONE)
                case Refuse(request_id, reason):
                    _decide(line, request_id, reason)
        self._set_timer(line)

    def _set_timer(self, line: _Line) -> None:
        if line.timer is not None:
            line.timer.cancel()
            line.timer = None
        wake = line.admission.next_wake()
        if wake is None:
            return
        wait = max(timedelta(), wake - self._clock.now())
        line.timer = asyncio.get_running_loop().call_later(
            wait.total_seconds(),
            self._tick,
            line,
        )

    def _tick(self, line: _Line) -> None:
        line.timer = None
        self._carry_out(line, line.admission.tick(self._clock.now()))


def _decide(line: _Line, request_id: RequestId, reason: Reason) -> None:
    decision = line.waiting.pop(request_id, None)
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
        and not deployment.is_out(target.data_centre)
    )
