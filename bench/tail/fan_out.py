"""Experiment: 760 shards a query at one of 1,600 entry hosts.

One host runs the real scatter and the real owner side at its share of 390,000
queries a second over 7,100 replicas. Its share of a replica is 1/1,600, which
is modelled as one slot. Service times are lognormal with a median of 10 ms and
a sigma of 0.3, and 1% take 20 times as long. Replicas are spread over 13 data
centres, with a one-way delay of 1 ms between them.
"""

from collections.abc import Iterator
from datetime import timedelta

from almonddock_core.scatter import ScatterSettings
from bench import Measurement, Subject, experiment, limit_value, note_value
from bench.tail.shape import Shape
from bench.tail.stragglers import run_arrivals
from bench.tail.tier import Tier

SEED = 1
SECONDS = 900
SHARDS = 760
REPLICAS = 9
DATA_CENTRES = 13
#: 390,000 queries a second over 1,600 hosts.
RATE = 243.75
QUERIES = 300
DELAY = timedelta(milliseconds=1)
BOUND_MS = 330
BOUND_EXTRA = 0.05

SHAPE = Shape(
    'fan-out-760',
    SHARDS,
    1,
    DELAY,
    replicas=REPLICAS,
    hosts=1,
    data_centres=DATA_CENTRES,
)


def measure(seed: int, queries: int = QUERIES) -> list[Measurement]:
    """Measures the 99th percentile and the extra tries."""
    tier = Tier(SHAPE, seed, ScatterSettings(), stragglers=True)
    figures = run_arrivals(tier, tier.submit, RATE, seed, queries)
    subject = Subject('fan-out-760.p99', SHAPE.name, seed)
    return [
        limit_value(subject, figures.p99_ms, 'ms', bound=BOUND_MS),
        limit_value(
            Subject('fan-out-760.extra-tries', SHAPE.name, seed),
            figures.extra_tries / (queries * SHARDS),
            'share',
            bound=BOUND_EXTRA,
        ),
        note_value(
            Subject('fan-out-760.unanswered', SHAPE.name, seed),
            figures.unanswered,
            'queries',
        ),
    ]


@experiment('fan-out-760', seconds=SECONDS)
def measure_fan_out() -> Iterator[Measurement]:
    """760 shards per query at one host's share of 390,000 queries/s."""
    yield from measure(SEED)
