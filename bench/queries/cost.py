"""Processor time of a query over many shards, at the hosts on its way."""

import asyncio
import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.placement import count_groups
from bench import Measurement, Subject, experiment, limit_value, note_value
from bench.queries.installation import (
    Installation,
    InstallationSettings,
    QueryOutcome,
    run_installation,
)

SIZES = (9, 45, 90, 180)
QUERIES = 120
WARM_UP_QUERIES = 40
IDLE_S = 3.0
MS = timedelta(milliseconds=1)
MS_PER_S = 1000

#: Seeds which targets are late.
SEED = 0

#: The size of the queries of silverbirch-search-grown, and their goal.
PAGE_SHARDS = 90
PAGE_GOAL_MS = 57.9

#: The share of the time that a target of that page is paused: 120 ms of 3 s.
PAUSED_SHARE = 0.04

SETTINGS = InstallationSettings(
    hosts=24,
    other_hosts=4,
    max_connections=23,
    sizes=SIZES,
    # No query is late, so none is hedged.
    latency_goal=timedelta(milliseconds=250),
    short_goal=timedelta(milliseconds=PAGE_GOAL_MS),
)

#: What the page leaves for the processors on the way of a query: its goal, less
#: the caller's way (6.4 ms), the links (4), the hedge delay (17.4) and a reply
#: to the hedge (4), at the 0.361 of a core that the smallest host has. Machines
#: differ by a factor of two, so it is halved.
ALLOWED_MS = (PAGE_GOAL_MS - 6.4 - 4 - 17.4 - 4) * 0.361 / 2

REFERENCE_ROUNDS = 40


@dataclass(frozen=True, slots=True)
class _Case:
    """Queries of one kind."""

    size: int
    late_share: float = 0
    bound: float | None = None

    @property
    def name(self) -> str:
        """The name of its figures."""
        late = f', {self.late_share:.0%} late' if self.late_share else ''
        return f'{self.size} shards{late}'


CASES = (
    *(_Case(size) for size in SIZES if size != PAGE_SHARDS),
    _Case(PAGE_SHARDS, bound=ALLOWED_MS),
    _Case(PAGE_SHARDS, PAUSED_SHARE, ALLOWED_MS),
)


@experiment('query-cost', seconds=240)
def measure_query_cost() -> Iterator[Measurement]:
    """Processor time a query at its entry host and a home, by shards."""
    yield from asyncio.run(_measure())


async def _measure() -> list[Measurement]:
    found: list[Measurement] = []
    async with run_installation(SETTINGS) as installation:
        for case in CASES:
            await _ask(installation, case, WARM_UP_QUERIES)
        idle = await _measure_idle(installation)
        for case in CASES:
            found.extend(await _measure_case(installation, case, idle))
    return found


async def _ask(
    installation: Installation, case: _Case, count: int
) -> list[QueryOutcome]:
    await installation.set_late_share(case.late_share)
    kind = 'late' if case.late_share else 'all'
    return await installation.ask(case.size, count, kind)


async def _measure_idle(installation: Installation) -> list[float]:
    """Returns the milliseconds of processor time a second of each host."""
    before = installation.measure()
    await asyncio.sleep(IDLE_S)
    return [
        (after - first) / MS / IDLE_S
        for first, after in zip(before, installation.measure(), strict=True)
    ]


async def _measure_case(
    installation: Installation, case: _Case, idle: list[float]
) -> list[Measurement]:
    reference = _measure_reference()
    before = installation.measure()
    began = time.monotonic()
    outcomes = await _ask(installation, case, QUERIES)
    elapsed = time.monotonic() - began
    entry, *others = (
        ((after - first) / MS - elapsed * rate) / QUERIES
        for first, after, rate in zip(
            before, installation.measure(), idle, strict=True
        )
    )
    home = sum(others) / count_groups(case.size)
    answered = statistics.median(one.elapsed / MS for one in outcomes)
    missing = sum(one.missing for one in outcomes)
    return [
        _note(case, 'entry', entry, 'ms', reference),
        _note(case, 'home', home, 'ms', reference),
        _limit_way(case, entry + home, reference),
        _note(case, 'answered', answered, 'ms'),
        _note(case, 'missing', missing / QUERIES, 'shards'),
    ]


def _note(
    case: _Case,
    figure: str,
    value: float,
    unit: str,
    reference: float | None = None,
) -> Measurement:
    subject = Subject(f'query-cost.{figure}', case.name, SEED)
    return note_value(subject, value, unit, baseline=reference)


def _limit_way(case: _Case, way: float, reference: float) -> Measurement:
    """Returns the processor time on the way of a query."""
    if case.bound is None:
        return _note(case, 'way', way, 'ms', reference)
    subject = Subject('query-cost.way', case.name, SEED)
    return limit_value(subject, way, 'ms', bound=case.bound)


def _measure_reference() -> float:
    """Returns the milliseconds of processor time of a fixed piece of work."""
    rounds = []
    for _ in range(REFERENCE_ROUNDS):
        began = time.process_time()
        rows = [(one * 7919 % 1000, str(one)) for one in range(4000)]
        dict(sorted(rows))
        rounds.append(time.process_time() - began)
    return statistics.median(rounds) * MS_PER_S
