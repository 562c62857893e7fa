"""What organisations get of what they are owed, and what they get beyond."""

import statistics
from collections.abc import Iterator, Sequence

from bench import experiment
from bench.measurement import (
    Measurement,
    Subject,
    limit_value,
    note_value,
    require_value,
)
from bench.quotas.load import Outcome, run_seeds

SIZES = (4, 31, 300)
SEEDS = 200
#: The share served of what is owed, on average over the seeds.
CALM_BOUND = 0.99
CUT_BOUND = 0.95


def describe(
    name: str, hosts: int, outcomes: Sequence[Outcome], bound: float
) -> Iterator[Measurement]:
    """Yields the figures of one load at one size."""

    def subject(figure: str) -> Subject:
        place = f'{hosts} hosts, {len(outcomes)} seeds'
        return Subject(f'{name}.{figure}', place, len(outcomes))

    served = [one.served for one in outcomes]
    yield require_value(
        subject('served'), statistics.mean(served), 'of owed', bound=bound
    )
    yield note_value(subject('served.worst'), min(served), 'of owed')
    yield require_value(
        subject('others'),
        statistics.mean(one.others for one in outcomes),
        'of owed',
        bound=bound,
    )
    yield limit_value(
        subject('excess'),
        max(one.excess for one in outcomes),
        'requests over the bound',
        bound=0,
    )
    yield note_value(
        subject('waited'),
        statistics.mean(one.waited for one in outcomes),
        'of requests',
    )
    yield note_value(
        subject('messages'),
        statistics.mean(one.messages_per_request for one in outcomes),
        'queries a request',
    )


@experiment('quotas.calm', seconds=900)
def measure_calm() -> Iterator[Measurement]:
    """81 organisations at 0.63 of their quotas, on 4, 31 and 300 hosts."""
    for hosts in SIZES:
        outcomes = run_seeds(hosts, SEEDS)
        yield from describe('quotas.calm', hosts, outcomes, CALM_BOUND)


@experiment('quotas.hot', seconds=900)
def measure_hot() -> Iterator[Measurement]:
    """The same, while one sends 7.5 times its usual for 6.5 s."""
    for hosts in SIZES:
        outcomes = run_seeds(hosts, SEEDS, is_hot=True)
        yield from describe('quotas.hot', hosts, outcomes, CALM_BOUND)


@experiment('quotas.cut', seconds=900)
def measure_cut() -> Iterator[Measurement]:
    """The same, with one host in six cut off from all others."""
    for hosts in SIZES:
        outcomes = run_seeds(hosts, SEEDS, is_hot=True, is_cut=True)
        yield from describe('quotas.cut', hosts, outcomes, CUT_BOUND)
