"""Builders of plans, contexts and replies for the scatter tests."""

import random
from collections.abc import Mapping
from datetime import timedelta

from almonddock_core.model import (
    Candidate,
    DataCentreId,
    HostId,
    IndexVersion,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    RequestId,
    ScatterResult,
    ShardId,
    SubQuery,
    SubReply,
    TargetId,
    TargetLoad,
    WorkloadId,
)
from almonddock_core.scatter import (
    AttemptBudget,
    BudgetSettings,
    Finish,
    LatencyTable,
    Scatter,
    ScatterAction,
    ScatterContext,
    ScatterSettings,
    Send,
)

VERSION = IndexVersion(7)


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def make_plan(shards: int, replicas: int = 2) -> Plan:
    names = tuple(ShardId(f's{number:02d}/x') for number in range(shards))
    return Plan(
        version=VERSION,
        shards=names,
        candidates={
            name: tuple(
                Candidate(
                    TargetId(f'{name}-{replica}'),
                    HostId(f'host-{replica}'),
                    DataCentreId(f'dc-{replica}'),
                )
                for replica in range(replicas)
            )
            for name in names
        },
    )


def make_context(
    tokens: float = 10,
    loads: Mapping[TargetId, TargetLoad] | None = None,
) -> ScatterContext:
    budget = AttemptBudget(BudgetSettings(share=0, initial=tokens))
    return ScatterContext(budget, loads or {}, random.Random(1), LatencyTable())


def make_scatter(
    plan: Plan,
    context: ScatterContext | None = None,
    *,
    idempotent: bool = True,
) -> Scatter:
    query = Query(
        RequestId('r'),
        WorkloadId('desk'),
        b'{}',
        ms(300),
        idempotent=idempotent,
    )
    return Scatter(query, plan, ScatterSettings(), context or make_context())


def make_reply(
    sub: SubQuery,
    status: ReplyStatus = ReplyStatus.OK,
    reason: Reason = Reason.NONE,
    version: IndexVersion = VERSION,
) -> SubReply:
    return SubReply(
        sub.attempt_id,
        sub.request_id,
        sub.shard,
        sub.target,
        status,
        reason,
        version,
    )


def list_sends(actions: list[ScatterAction]) -> list[Send]:
    return [one for one in actions if isinstance(one, Send)]


def find_only_send(actions: list[ScatterAction]) -> Send:
    sends = list_sends(actions)
    if len(sends) != 1:
        raise AssertionError(f'expected one Send in {actions}')
    return sends[0]


def find_result(actions: list[ScatterAction]) -> ScatterResult:
    found = [one.result for one in actions if isinstance(one, Finish)]
    if len(found) != 1:
        raise AssertionError(f'expected one Finish in {actions}')
    return found[0]
