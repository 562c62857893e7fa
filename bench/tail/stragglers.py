"""Experiment: the tail with 1% of sub-queries twenty times slower.

Queries arrive open-loop at random hosts. The load is the share of all slots
that first tries keep busy, stragglers included; service times are lognormal.
"""

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from almonddock_core.model import (
    HostId,
    Query,
    RequestId,
    ScatterResult,
    WorkloadId,
)
from almonddock_core.scatter import ScatterSettings
from bench import Measurement, Subject, experiment, limit_ratio, limit_value
from bench.tail.baseline import FixedShares
from bench.tail.shape import (
    MEDIAN_MS,
    SHAPES,
    SIGMA,
    STRAGGLER_FACTOR,
    STRAGGLER_SHARE,
    Shape,
)
from bench.tail.tier import Done, Tier

LOADS = (0.3, 0.6, 0.8)
SEED = 1
#: The time limit of one workload.
SECONDS = 1200
QUERIES = 2000
#: Queries at the start that are run and not measured.
WARM_UP = 300
#: Queries at the end that keep the load up and are not measured.
COOL_DOWN = 100
DEADLINE = timedelta(seconds=10)
#: The limits of the p99 over that of a clean run, which has no stragglers: at
#: all loads but the highest, and at the highest.
BOUND_CLEAN = 1.5
BOUND_CLEAN_HIGH = 2.2
BOUND_BASELINE = 0.15
BOUND_EXTRA = 0.05

Submit = Callable[[HostId, Query, Done], None]


@dataclass(slots=True)
class Figures:
    """The figures of the measured queries of one run."""

    latencies: list[timedelta] = field(default_factory=list)
    extra_tries: int = 0
    unanswered: int = 0

    @property
    def p99_ms(self) -> float:
        """The 99th percentile of the query latency."""
        ordered = sorted(self.latencies)
        index = math.ceil(len(ordered) * 0.99) - 1
        return ordered[index] / timedelta(milliseconds=1)


def run_arrivals(
    tier: Tier,
    submit: Submit,
    rate: float,
    seed: int,
    queries: int = QUERIES,
) -> Figures:
    """Runs all arrivals to completion; ``rate`` is queries per second."""
    figures = Figures()
    arrivals = random.Random(seed)
    when = timedelta()
    for number in range(WARM_UP + queries + COOL_DOWN):
        when += timedelta(seconds=arrivals.expovariate(rate))
        host = arrivals.choice(tier.hosts)
        query = Query(
            RequestId(f'q{number}'),
            WorkloadId(tier.shape.name),
            b'{}',
            when + DEADLINE,
        )
        measured = WARM_UP <= number < WARM_UP + queries
        done = partial(_record_query, figures, tier, when, measured)
        tier.loop.call_at(when, partial(submit, host, query, done))
    tier.loop.run()
    return figures


def _record_query(
    figures: Figures,
    tier: Tier,
    arrived: timedelta,
    measured: bool,
    result: ScatterResult,
) -> None:
    if measured:
        figures.latencies.append(tier.loop.now - arrived)
        figures.extra_tries += result.extra_tries
        figures.unanswered += bool(result.missing)


def compute_rate(shape: Shape, load: float) -> float:
    """Returns the queries per second that keep a share of slots busy."""
    mean_ms = MEDIAN_MS * math.exp(SIGMA**2 / 2)
    mean_ms *= 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    return load * shape.all_slots / shape.services * 1000 / mean_ms


def run_tier(
    shape: Shape,
    load: float,
    seed: int,
    *,
    stragglers: bool,
) -> Figures:
    """Runs the real scatter and owner side."""
    tier = Tier(shape, seed, ScatterSettings(), stragglers=stragglers)
    rate = compute_rate(shape, load)
    return run_arrivals(tier, tier.submit, rate, seed)


def run_baseline(
    shape: Shape,
    load: float,
    seed: int,
    *,
    spread: bool,
) -> Figures:
    """Runs the baseline over the same arrivals."""
    tier = Tier(shape, seed, ScatterSettings(), stragglers=True)
    shares = FixedShares(tier, seed, spread=spread)
    return run_arrivals(tier, shares.submit, compute_rate(shape, load), seed)


def measure_load(shape: Shape, load: float, seed: int) -> list[Measurement]:
    """Measures one workload at one load."""
    name = f'tail.{load:.0%}'
    tier = run_tier(shape, load, seed, stragglers=True)
    clean = run_tier(shape, load, seed, stragglers=False)
    return [
        limit_ratio(
            Subject(f'{name}.over-clean', shape.name, seed),
            tier.p99_ms,
            'ms',
            baseline=clean.p99_ms,
            bound=BOUND_CLEAN if load < max(LOADS) else BOUND_CLEAN_HIGH,
        ),
        limit_value(
            Subject(f'{name}.extra-tries', shape.name, seed),
            tier.extra_tries / (QUERIES * shape.services),
            'share',
            bound=BOUND_EXTRA,
        ),
        *(
            limit_ratio(
                Subject(f'{name}.over-{label}-replica', shape.name, seed),
                tier.p99_ms,
                'ms',
                baseline=run_baseline(shape, load, seed, spread=spread).p99_ms,
                bound=BOUND_BASELINE,
            )
            for label, spread in (('first', False), ('random', True))
        ),
    ]


def measure_shape(shape: Shape, seed: int) -> Iterator[Measurement]:
    """Measures one workload at all loads."""
    for load in LOADS:
        yield from measure_load(shape, load, seed)


def measure(seed: int) -> list[Measurement]:
    """Measures all workloads at all loads."""
    return [found for shape in SHAPES for found in measure_shape(shape, seed)]


@experiment('tail-parts-desk', seconds=SECONDS)
def measure_parts_desk() -> Iterator[Measurement]:
    """Kyushu, 20 services: stragglers in virtual time."""
    return measure_shape(SHAPES[0], SEED)


@experiment('tail-quote-maker', seconds=SECONDS)
def measure_quote_maker() -> Iterator[Measurement]:
    """Kyushu, 30 services: stragglers in virtual time."""
    return measure_shape(SHAPES[1], SEED)


@experiment('tail-counter-desk', seconds=SECONDS)
def measure_counter_desk() -> Iterator[Measurement]:
    """Gulf South, 20 services: stragglers in virtual time."""
    return measure_shape(SHAPES[2], SEED)


@experiment('tail-route-board', seconds=SECONDS)
def measure_route_board() -> Iterator[Measurement]:
    """Gulf South, 30 services: stragglers in virtual time."""
    return measure_shape(SHAPES[3], SEED)
