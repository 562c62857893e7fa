"""The record that should answer an order now."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_core.rollouts._counts import CountTable
from almonddock_core.rollouts._plan import Evidence, plan_step
from almonddock_core.rollouts._records import (
    RolloutBounds,
    RolloutRecord,
    RolloutStage,
    RolloutState,
    start_record,
)
from almonddock_core.rollouts._service import ServiceRollout


@dataclass(frozen=True, slots=True)
class Fleet:
    """The targets of a service, and the hosts of the tier."""

    #: The versions that all targets of the service run.
    listed: frozenset[str]
    #: The version of each target that can serve.
    usable: Sequence[str]
    #: The names of the hosts that are registered.
    hosts: Collection[str]


def decide(
    rollout: ServiceRollout,
    fleet: Fleet,
    counts: CountTable,
    bounds: RolloutBounds,
    now: timedelta,
) -> RolloutRecord:
    """Returns the record that should hold now."""
    record = rollout.record
    order = rollout.order
    if record is None:
        return _start(rollout, fleet)
    if rollout.is_withdrawn:
        if record.state is not RolloutState.RUNNING:
            return record
        return record.end(RolloutState.ROLLED_BACK, 'the order was withdrawn')
    if record.answered_revision < order.revision:
        record = replace(
            record, answered_revision=order.revision, duration=order.duration
        )
    if record.state is not RolloutState.RUNNING:
        return record
    if record.stage is RolloutStage.BLOCKED and not record.old_versions:
        # No target was listed when the order came.
        begun = _start(rollout, fleet)
        begun = replace(begun, order_revision=record.order_revision)
        if begun.old_versions or begun.state is not RolloutState.RUNNING:
            return begun
    evidence = _gather(rollout, record, fleet, counts, now)
    return plan_step(record, evidence, bounds)


def _start(rollout: ServiceRollout, fleet: Fleet) -> RolloutRecord:
    """Returns the first record; a version that is alone there is in service."""
    started = start_record(rollout.order, fleet.listed, rollout.barred)
    if started.version in fleet.listed and not started.old_versions:
        return started.end(RolloutState.COMPLETED, 'already in service')
    return started


def _gather(
    rollout: ServiceRollout,
    record: RolloutRecord,
    fleet: Fleet,
    counts: CountTable,
    now: timedelta,
) -> Evidence:
    rows = counts.list_rows(record.service, record.order_revision)
    total = counts.sum(record.service, record.order_revision)
    moved = {
        row.host for row in rows if row.stage_number >= record.stage_number
    }
    # A host that took over saw the order late if it has just started.
    elapsed = now - rollout.seen_at
    if rollout.stage is not RolloutStage.BLOCKED:
        elapsed = max(elapsed, record.stage_began + now - rollout.stage_at)
    return Evidence(
        elapsed=elapsed,
        new_targets=_count(fleet.usable, record.version),
        old_targets=len(fleet.usable) - _count(fleet.usable, record.version),
        requests=total.requests,
        exposed=total.exposed,
        rate=rollout.history.measure_rate(),
        answers=total.count_new_answers(),
        fault=rollout.stopped,
        doubt=rollout.history.find_doubt(),
        all_moved=moved >= set(fleet.hosts),
    )


def _count(versions: Sequence[str], version: str) -> int:
    return sum(1 for one in versions if one == version)
