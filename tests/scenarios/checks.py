"""Invariants of all scenarios and the expectations of one."""

import math
import operator
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta
from types import MappingProxyType

from almonddock_core.model import Answer, IndexVersion, Outcome, TargetId
from almonddock_core.truth import merge_rows
from almonddock_standins import build_rows
from tests.scenarios.runner import WARM_UP, QueryRecord, Runner

#: How long a data centre that was taken out may still get new work.
OUT_GRACE = timedelta(seconds=2)


def find_violations(runner: Runner) -> Iterator[str]:
    """Yields one line for each violated invariant or expectation."""
    yield from _check_targets(runner)
    runs: dict[str, Counter[str]] = defaultdict(Counter)
    for target in runner.targets.values():
        for (request, shard), count in target.runs.items():
            runs[request][shard] += count
    for records in runner.queries.values():
        for record in records:
            yield from _check_answer(record, runs[record.query.request_id])
    for expected in runner.scenario.expectations:
        if violation := _CHECKS[expected.kind](runner, *expected.arguments):
            yield f'line {expected.line}: {violation}'


def _check_targets(runner: Runner) -> Iterator[str]:
    for name, target in runner.targets.items():
        if target.counts.over_cold:
            yield f'{name} got {target.counts.over_cold} tries above cold slots'
        out = runner.out_since.get(target.target.data_centre)
        if out is not None and _count_since(target.arrivals, out + OUT_GRACE):
            yield f'{name} got work after its data centre was out'


def _check_answer(record: QueryRecord, runs: Counter[str]) -> Iterator[str]:
    name = record.query.request_id
    if not record.query.idempotent and max(runs.values(), default=0) > 1:
        yield f'{name} ran twice although it is not idempotent'
    if len(record.answers) > 1:
        yield f'{name} was answered {len(record.answers)} times'
    for answer in record.answers:
        if answer.request_id != name:
            yield f'{name} got the answer to {answer.request_id}'
        if answer.outcome is Outcome.NOT_RUN and runs.total():
            yield f'{name} is reported as not run although it ran'
        if answer.rows != _build_expected_rows(record, answer):
            yield f'{name} got rows that do not match its coverage'


def _build_expected_rows(record: QueryRecord, answer: Answer) -> bytes:
    deployment = record.deployment
    version = answer.version or IndexVersion(0)
    shards = deployment.list_shards(record.query.workload, version)
    missing = {one.shard for one in answer.coverage.missing}
    service = deployment.workloads[record.query.workload][0]
    return merge_rows(
        deployment.services[service].merge,
        {
            shard: build_rows(shard, version)
            for shard in shards
            if shard not in missing
        },
    )


def _expect_outcome(
    runner: Runner,
    name: str,
    outcome: str,
    answered: int | None,
    total: int | None,
    within: timedelta | None,
    missing: str | None,
) -> str:
    record = runner.queries[name][0]
    if not record.answers:
        # The outcome 'lost' expects that the query has no answer.
        return '' if outcome == 'lost' else f'{name} has no answer'
    answer = record.answers[0]
    coverage = answer.coverage
    if answer.outcome.value != outcome:
        return f'{name} is {answer.outcome.value} for {answer.reason.value}'
    if total and (coverage.answered, coverage.total) != (answered, total):
        return f'{name} covers {coverage.answered}/{coverage.total}'
    if within and answer.elapsed > within:
        return f'{name} took {answer.elapsed}'
    reasons = {one.reason.value for one in coverage.missing}
    if missing and reasons != {missing}:
        return f'{name} misses shards for {reasons}'
    return ''


def _expect_rate(runner: Runner, name: str, minimum: float) -> str:
    records = runner.queries[name]
    complete = sum(
        record.answers[0].outcome is Outcome.ANSWERED
        for record in records
        if record.answers
    )
    rate = complete / len(records)
    return (
        '' if rate >= minimum else f'{complete} of {len(records)} are complete'
    )


def _expect_slowest(
    runner: Runner, name: str, share: float, maximum: timedelta
) -> str:
    times = sorted(record.elapsed for record in runner.queries[name])
    found = times[math.ceil(len(times) * share) - 1]
    return (
        '' if found <= maximum else f'{share:.1%} of queries took up to {found}'
    )


def _expect_extra(runner: Runner, name: str, maximum: float) -> str:
    answers = [
        each for record in runner.queries[name] for each in record.answers
    ]
    extra = sum(answer.extra_tries for answer in answers)
    share = extra / sum(answer.coverage.total for answer in answers)
    return '' if share <= maximum else f'{share:.1%} extra tries per shard'


def _expect_quiet(
    runner: Runner, data_centre: str, begin: timedelta, end: timedelta
) -> str:
    found = sum(
        _count_since(target.arrivals, WARM_UP + begin)
        - _count_since(target.arrivals, WARM_UP + end)
        for target in runner.targets.values()
        if target.target.data_centre == data_centre
    )
    return f'{data_centre} got {found} sub-queries' if found else ''


def _expect_counter(
    runner: Runner, name: str, counter: str, sign: str, number: int
) -> str:
    compare = operator.le if sign == '<=' else operator.ge
    found = getattr(
        runner.targets[TargetId(name)].counts, counter.replace('-', '_')
    )
    return '' if compare(found, number) else f'{name} {counter} is {found}'


def _count_since(times: list[timedelta], begin: timedelta) -> int:
    return sum(time >= begin for time in times)


_CHECKS: Mapping[str, Callable[..., str]] = MappingProxyType(
    {
        'outcome': _expect_outcome,
        'rate': _expect_rate,
        'slowest': _expect_slowest,
        'extra': _expect_extra,
        'quiet': _expect_quiet,
        'counter': _expect_counter,
    }
)
