"""What must hold in every scenario, and what one scenario expects."""

import math
import operator
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta
from types import MappingProxyType

from almonddock_core.model import Answer, IndexVersion, Outcome, TargetId
from almonddock_core.truth import merge_rows
from almonddock_standins import build_rows
from tests.scenarios.runner import WARM_UP, Asked, Runner

#: New work may still come for so long after a data centre is out.
OUT_GRACE = timedelta(seconds=2)


def find_faults(runner: Runner) -> Iterator[str]:
    """Yields one line for each thing that did not hold."""
    yield from _check_targets(runner)
    runs: dict[str, Counter[str]] = defaultdict(Counter)
    for target in runner.targets.values():
        for (request, shard), count in target.runs.items():
            runs[request][shard] += count
    for every in runner.asked.values():
        for asked in every:
            yield from _check_answer(asked, runs[asked.query.request_id])
    for expected in runner.scenario.expectations:
        if fault := _CHECKS[expected.kind](runner, *expected.needs):
            yield f'line {expected.line}: {fault}'


def _check_targets(runner: Runner) -> Iterator[str]:
    for name, target in runner.targets.items():
        if target.counts.over_cold:
            yield f'{name} got {target.counts.over_cold} above what it bears'
        out = runner.out_since.get(target.target.data_centre)
        if out is not None and _count(target.arrivals, out + OUT_GRACE):
            yield f'{name} got work after its data centre was out'


def _check_answer(asked: Asked, runs: Counter[str]) -> Iterator[str]:
    name = asked.query.request_id
    if not asked.query.idempotent and max(runs.values(), default=0) > 1:
        yield f'{name} ran twice although it is not idempotent'
    if len(asked.answers) > 1:
        yield f'{name} was answered {len(asked.answers)} times'
    for answer in asked.answers:
        if answer.request_id != name:
            yield f'{name} got the answer to {answer.request_id}'
        if answer.outcome is Outcome.NOT_RUN and runs.total():
            yield f'{name} was told not run although it ran'
        if answer.rows != _build_expected_rows(asked, answer):
            yield f'{name} got rows that its coverage does not state'


def _build_expected_rows(asked: Asked, answer: Answer) -> bytes:
    deployment = asked.deployment
    version = answer.version or IndexVersion(0)
    shards = deployment.list_shards(asked.query.workload, version)
    missing = {one.shard for one in answer.coverage.missing}
    service = deployment.workloads[asked.query.workload][0]
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
    asked = runner.asked[name][0]
    if not asked.answers:
        return '' if outcome == 'lost' else f'{name} has no answer'
    answer = asked.answers[0]
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


def _expect_rate(runner: Runner, name: str, least: float) -> str:
    every = runner.asked[name]
    whole = sum(
        one.answers[0].outcome is Outcome.ANSWERED
        for one in every
        if one.answers
    )
    rate = whole / len(every)
    return '' if rate >= least else f'{whole} of {len(every)} are whole'


def _expect_slowest(
    runner: Runner, name: str, share: float, most: timedelta
) -> str:
    times = sorted(one.elapsed for one in runner.asked[name])
    found = times[math.ceil(len(times) * share) - 1]
    return '' if found <= most else f'{share:.1%} took up to {found}'


def _expect_extra(runner: Runner, name: str, most: float) -> str:
    answers = [each for one in runner.asked[name] for each in one.answers]
    extra = sum(answer.extra_tries for answer in answers)
    share = extra / sum(answer.coverage.total for answer in answers)
    return '' if share <= most else f'{share:.1%} of tries are extra'


def _expect_quiet(
    runner: Runner, place: str, begin: timedelta, end: timedelta
) -> str:
    found = sum(
        _count(target.arrivals, WARM_UP + begin)
        - _count(target.arrivals, WARM_UP + end)
        for target in runner.targets.values()
        if target.target.data_centre == place
    )
    return f'{place} got {found} sub-queries' if found else ''


def _expect_counter(
    runner: Runner, name: str, counter: str, sign: str, number: int
) -> str:
    compare = operator.le if sign == '<=' else operator.ge
    found = getattr(
        runner.targets[TargetId(name)].counts, counter.replace('-', '_')
    )
    return '' if compare(found, number) else f'{name} {counter} is {found}'


def _count(times: list[timedelta], begin: timedelta) -> int:
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
