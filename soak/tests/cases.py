"""Builders for the evidence of a run without findings."""

from dataclasses import replace
from datetime import timedelta
from typing import Any

from almonddock_core.routing import Route, WeightedService
from almonddock_platform.tests.standins import (
    Arrival,
    CallerAnswer,
    list_records,
)
from soak.observations import Call, Evidence, Version
from soak.settings import SoakSettings

PROMISES = SoakSettings(seed=0).promises
SHARDS = ('desk0', 'desk1', 'desk2', 'desk3')


def seconds(number: float) -> timedelta:
    return timedelta(seconds=number)


def build_version(number: int, at: float, single: str = 'ledger') -> Version:
    query = Route(
        name='all',
        host='',
        prefix='/all/',
        idempotent=True,
        timeout=seconds(1.5),
        latency_goal=seconds(0.25),
        max_attempts=2,
        priority=0,
        shards=SHARDS,
        top_records=5,
        min_share=0.75,
    )
    one = replace(
        query,
        name='one',
        prefix='/one/',
        shards=(),
        services=(WeightedService(single, 1),),
    )
    order = replace(one, name='order', prefix='/order/', idempotent=False)
    return Version(number, seconds(at), (query, one, order))


def build_call(attempt_id: str, path: str, at: float, **changes: Any) -> Call:
    answer = answer_single(attempt_id, 'ledger')
    if path == '/all/x':
        answer = answer_query(attempt_id, SHARDS)
    call = Call(
        attempt_id=attempt_id,
        path=path,
        digest='d',
        host=0,
        incarnation=1,
        sent=seconds(at),
        deadline_ms=2000,
        ended=seconds(at + 0.05),
        answer=answer,
    )
    return replace(call, **changes)


def answer_single(attempt_id: str, service: str) -> CallerAnswer:
    return CallerAnswer(
        status=200,
        body=b''.join(list_records(service, attempt_id)),
        stamp=f't0-1.{service}.{attempt_id}',
        parts=(),
        missing=0,
        retry_after=None,
    )


def answer_query(
    attempt_id: str,
    services: tuple[str, ...],
) -> CallerAnswer:
    records = [
        record
        for service in services
        for record in list_records(service, attempt_id)
    ]
    return CallerAnswer(
        status=200,
        body=b''.join(sorted(records, reverse=True)[:5]),
        stamp='',
        parts=tuple(f't0-1.{one}.{attempt_id}' for one in services),
        missing=len(SHARDS) - len(services),
        retry_after=None,
    )


def build_refusal(status: int) -> CallerAnswer:
    return CallerAnswer(status, b'', '', (), 0, 0.1)


def build_arrival(
    attempt_id: str,
    service: str,
    at: float,
    **changes: Any,
) -> Arrival:
    arrival = Arrival(
        target='t0-1',
        service=service,
        attempt_id=attempt_id,
        digest='d',
        at=seconds(at),
        deadline_ms=1990,
    )
    return replace(arrival, **changes)


def build_evidence(**changes: Any) -> Evidence:
    """Returns evidence of a query, two fetches and an order, all correct."""
    evidence = Evidence(
        calls=(
            build_call('q', '/all/x', 10),
            build_call('f', '/one/x', 11),
            build_call('o', '/order/x', 12),
            build_call('late', '/one/x', 60),
        ),
        arrivals=(
            *(build_arrival('q', shard, 10.01) for shard in SHARDS),
            build_arrival('f', 'ledger', 11.01),
            build_arrival('o', 'ledger', 12.01),
            build_arrival('late', 'ledger', 60.01),
        ),
        spans=(),
        versions=(build_version(1, 0),),
        leaving=(),
        drained=(),
        cold=(),
        unlisted=(),
        rest_refusals=(),
        readiness=(),
        stops=(),
        ends=(),
        target_data_centres={'t0-1': 'a'},
        errors=(),
        memory=(),
        last_fault_end=seconds(20),
    )
    return replace(evidence, **changes)
