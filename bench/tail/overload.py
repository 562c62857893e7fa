"""Experiment: twice the work that all slots can do.

Queries of three urgencies and random worth arrive open-loop at random hosts;
every host admits independently. The oracle knows all arrivals and takes the
most urgent ones, then those of the highest worth, until the slots are used up.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial
from types import MappingProxyType

from almonddock_core.admission import (
    Admission,
    AdmissionAction,
    AdmissionSettings,
    Admit,
    compute_unit_limit,
)
from almonddock_core.model import (
    HostId,
    Query,
    RequestId,
    ScatterResult,
    Urgency,
    WorkloadId,
)
from almonddock_core.scatter import ScatterSettings
from bench import Measurement, Subject, experiment, limit_value, note_value
from bench.tail.shape import SHAPES, Shape
from bench.tail.stragglers import compute_rate
from bench.tail.tier import Tier

DEADLINE = timedelta(milliseconds=300)
#: How long queries arrive, in virtual time.
ARRIVAL_SECONDS = 4
SEED = 1
#: The time limit of the experiment.
LIMIT_SECONDS = 900
#: The shares of arrivals by urgency and the range of their worth.
URGENT_SHARE = 0.3
NORMAL_SHARE = 0.5
WORTH = MappingProxyType(
    {
        Urgency.URGENT: (2, 4),
        Urgency.NORMAL: (0.5, 2),
        Urgency.ARCHIVE: (0.1, 0.5),
    },
)
BOUND_WORTH = 0.9
BOUND_URGENT = 0.01
BOUND_GOODPUT = 0.95


@dataclass(slots=True)
class Outcomes:
    """The queries of one run, and those answered in full and in time."""

    arrived: list[Query] = field(default_factory=list)
    answered: set[RequestId] = field(default_factory=set)

    @property
    def worth(self) -> float:
        """The worth of the answered queries."""
        return sum(
            one.worth for one in self.arrived if one.request_id in self.answered
        )

    @property
    def urgent_lost(self) -> float:
        """The share of urgent queries without an answer."""
        urgent = [one for one in self.arrived if one.urgency is Urgency.URGENT]
        lost = [one for one in urgent if one.request_id not in self.answered]
        return len(lost) / len(urgent)


class AdmittingTier:
    """A tier whose hosts admit queries."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.tier = Tier(shape, seed, ScatterSettings(), stragglers=True)
        self.outcomes = Outcomes()
        self._shards = shape.services
        limit = compute_unit_limit(
            shape.all_slots,
            shape.hosts,
            shape.services,
        )
        self._admissions = {
            host: Admission(AdmissionSettings(max_units=limit))
            for host in self.tier.hosts
        }
        self._queries: dict[RequestId, Query] = {}

    def submit(self, host: HostId, query: Query) -> None:
        """Offers a query to the admission of one host."""
        self.outcomes.arrived.append(query)
        self._queries[query.request_id] = query
        now = self.tier.loop.now
        admission = self._admissions[host]
        self._execute(host, admission.offer(query, self._shards, now))

    def _execute(self, host: HostId, actions: list[AdmissionAction]) -> None:
        for action in actions:
            query = self._queries.pop(action.request_id)
            if isinstance(action, Admit):
                done = partial(self._finish, host, query)
                self.tier.submit(host, query, done)

    def _finish(
        self, host: HostId, query: Query, result: ScatterResult
    ) -> None:
        now = self.tier.loop.now
        if not result.missing and now <= query.deadline:
            self.outcomes.answered.add(query.request_id)
        self._execute(
            host, self._admissions[host].finish(query.request_id, now)
        )


def run(shape: Shape, load: float, seed: int) -> Outcomes:
    """Runs arrivals of ``load`` times what the slots can do."""
    system = AdmittingTier(shape, seed)
    source = random.Random(seed)
    rate = compute_rate(shape, load)
    when = timedelta()
    for number in range(round(rate * ARRIVAL_SECONDS)):
        when += timedelta(seconds=source.expovariate(rate))
        query = _draw_query(shape, number, when, source)
        host = source.choice(system.tier.hosts)
        system.tier.loop.call_at(when, partial(system.submit, host, query))
    system.tier.loop.run()
    return system.outcomes


def compute_oracle(arrived: list[Query], capacity: int) -> float:
    """Returns the worth of the queries that the oracle takes."""
    ranked = sorted(arrived, key=lambda one: (one.urgency, -one.worth))
    return sum(one.worth for one in ranked[:capacity])


def measure_shape(shape: Shape, seed: int) -> list[Measurement]:
    """Measures one workload at one and two times its capacity."""
    capacity = round(compute_rate(shape, 1) * ARRIVAL_SECONDS)
    full = run(shape, 1, seed)
    double = run(shape, 2, seed)
    return [
        require_ratio(
            Subject('overload.worth', shape.name, seed),
            double.worth,
            'worth',
            baseline=compute_oracle(double.arrived, capacity),
            bound=BOUND_WORTH,
        ),
        limit_value(
            Subject('overload.urgent-unanswered', shape.name, seed),
            double.urgent_lost,
            'share',
            bound=BOUND_URGENT,
        ),
        require_ratio(
            Subject('overload.goodput', shape.name, seed),
            len(double.answered) / ARRIVAL_SECONDS,
            'queries/s',
            baseline=len(full.answered) / ARRIVAL_SECONDS,
            bound=BOUND_GOODPUT,
        ),
    ]


def require_ratio(
    subject: Subject,
    value: float,
    unit: str,
    *,
    baseline: float,
    bound: float,
) -> Measurement:
    """Returns a figure whose ratio to a baseline must reach a bound."""
    return replace(
        note_value(subject, value, unit, baseline=baseline),
        bound=bound,
        holds=value >= bound * baseline,
    )


def measure(seed: int) -> list[Measurement]:
    """Measures all workloads."""
    return [found for shape in SHAPES for found in measure_shape(shape, seed)]


@experiment('overload', seconds=LIMIT_SECONDS)
def measure_overload() -> Iterator[Measurement]:
    """Twice the work that all slots can do, against an oracle."""
    for shape in SHAPES:
        yield from measure_shape(shape, SEED)


def _draw_query(
    shape: Shape,
    number: int,
    when: timedelta,
    source: random.Random,
) -> Query:
    drawn = source.random()
    urgency = Urgency.ARCHIVE
    if drawn < URGENT_SHARE:
        urgency = Urgency.URGENT
    elif drawn < URGENT_SHARE + NORMAL_SHARE:
        urgency = Urgency.NORMAL
    return Query(
        RequestId(f'q{number}'),
        WorkloadId(shape.name),
        b'{}',
        when + DEADLINE,
        urgency=urgency,
        worth=source.uniform(*WORTH[urgency]),
    )
