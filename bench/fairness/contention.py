"""What each organisation is served while one asks for eight times its usual."""

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from statistics import fmean

from almonddock_core.fairness import FairShares
from almonddock_core.routing import Caller, Organisation, Route
from bench import experiment
from bench.measurement import Measurement, Subject, note_value

SEEDS = 200
ORGANISATIONS = 40
HOSTS = (1, 4, 31)
#: Requests a second of each organisation but the hot one, and of that one.
RATE = 2.0
HOT_RATE = 16.0
#: The room at the targets, as a share of what all ask for.
ROOM = 0.7
LENGTH_S = 30
#: A request that waits longer is of no use to its caller.
PATIENCE_S = 0.5
WORK = timedelta(milliseconds=100)
WORST_SHARE = 0.1

ROUTE = Route(
    name='search',
    host='desk.example',
    prefix='/',
    idempotent=True,
    timeout=timedelta(seconds=1),
    latency_goal=timedelta(seconds=PATIENCE_S),
    max_attempts=2,
    priority=0,
)


@dataclass(frozen=True, slots=True)
class _Load:
    """One run: how many hosts take the callers, and in which order."""

    hosts: int
    is_fair: bool
    seed: int


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request that waits for room."""

    arrived: float
    organisation: int
    host: int


@experiment('fairness.contention', seconds=300)
def measure_contention() -> Iterator[Measurement]:
    """Compares turns with the order of arrival, over hosts that know little."""
    for hosts in HOSTS:
        for is_fair in (False, True):
            load = _Load(hosts, is_fair, 0)
            shares = [_play(replace(load, seed=seed)) for seed in range(SEEDS)]
            order = 'turns' if is_fair else 'arrival'
            place = f'{hosts} hosts, {order}'
            for name, served in _summarize(shares):
                subject = Subject(f'fairness.{name}', place, SEEDS)
                yield note_value(subject, served, 'share served')


def _summarize(shares: list[list[float]]) -> Iterator[tuple[str, float]]:
    """Yields the means over all runs."""
    others = [sorted(share[1:]) for share in shares]
    worst = round(len(others[0]) * WORST_SHARE)
    yield 'others', fmean(fmean(share) for share in others)
    yield 'worst-tenth', fmean(fmean(share[:worst]) for share in others)
    yield 'hot', fmean(share[0] for share in shares)


def _play(load: _Load) -> list[float]:
    """Returns the share that each organisation is served, the hot one first."""
    generator = random.Random(load.seed)
    known = [FairShares() for _ in range(load.hosts)]
    rates = [HOT_RATE, *(RATE for _ in range(ORGANISATIONS - 1))]
    arrivals = sorted(
        (generator.uniform(0, LENGTH_S), number)
        for number, rate in enumerate(rates)
        for _ in range(round(rate * LENGTH_S))
    )
    callers = [
        Caller(ROUTE, Organisation(str(number)))
        for number in range(ORGANISATIONS)
    ]
    waiting: list[tuple[float, int, _Waiting]] = []
    served = dict.fromkeys(range(ORGANISATIONS), 0)
    order = itertools.count()
    places = round(sum(rates) * ROOM * LENGTH_S)
    upcoming = iter(arrivals)
    following = next(upcoming, None)
    for place in range(places):
        now = LENGTH_S * place / places
        while following is not None and following[0] <= now:
            arrived, number = following
            host = generator.randrange(load.hosts)
            turn = arrived
            if load.is_fair:
                turn += _take_turn(known[host], callers[number], arrived)
            request = _Waiting(arrived, number, host)
            heapq.heappush(waiting, (turn, next(order), request))
            following = next(upcoming, None)
        while waiting:
            request = heapq.heappop(waiting)[-1]
            number = request.organisation
            if now - request.arrived <= PATIENCE_S:
                served[number] += 1
                break
            shares = known[request.host]
            shares.record(callers[number], -WORK, timedelta(seconds=now))
    return [
        count / round(rate * LENGTH_S)
        for count, rate in zip(served.values(), rates, strict=True)
    ]


def _take_turn(shares: FairShares, caller: Caller, arrived: float) -> float:
    now = timedelta(seconds=arrived)
    delay = shares.measure_delay(caller, now)
    shares.record(caller, WORK, now)
    shares.drop_idle(now)
    return delay.total_seconds()
