"""Measures how a data centre is taken out and brought back under load."""

import asyncio
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Literal

from almonddock_standins.deployments import DeploymentFiles, build_kyushu
from bench import (
    Measurement,
    Series,
    experiment,
    limit_ratio,
    limit_value,
    require_value,
)
from bench.measurement import Point
from bench.sockets.callers import Caller, choose_round_robin
from bench.sockets.changes import (
    CHANGE_S,
    QUERY,
    STEP_S,
    WORKLOAD,
    ChangeRun,
    build_coverage_series,
    build_latency_series,
    name_subject,
    run_with_change,
)
from bench.sockets.fleet import Counters, Fleet, run_fleet
from bench.sockets.load import measure_answered, select_records

RUN_S = 24.0
#: How long the data centre is out.
OUT_S = 8.0
#: How long it may still get new sub-queries once it is out.
GRACE_S = 2.0
#: How long after its return queries still count as during the move.
SETTLE_S = 3.0
ANSWERED_BOUND = 0.999
P99_BOUND = 2.0
MOVED_DATA_CENTRE = 'kyushu-1'
SECONDS = 90


@dataclass(frozen=True, slots=True)
class _Sample:
    """Sub-queries that each target had counted at a time of the load."""

    when: float
    received: Mapping[str, int]


@experiment('move', seconds=SECONDS)
def measure_move() -> Iterator[Measurement | Series]:
    """A data centre out and back: load there, answers and p99."""
    yield from asyncio.run(_measure())


async def _measure() -> list[Measurement | Series]:
    async with run_fleet(build_kyushu()) as fleet:
        caller = Caller(QUERY, choose_round_robin(fleet.hosts))
        recorder = _Recorder(fleet)
        changed = await run_with_change(fleet, caller, RUN_S, recorder.move)
        await recorder.finish()
        data_centres = _map_data_centres(fleet.files)
    return [
        *_report(changed, recorder),
        build_latency_series('move', changed.records),
        build_coverage_series('move', changed.records),
        _build_load_series(recorder.samples, data_centres),
    ]


class _Recorder:
    """Moves the data centre and samples the counters meanwhile."""

    def __init__(self, fleet: Fleet) -> None:
        self.samples: list[_Sample] = []
        #: New sub-queries at the data centre after the grace period.
        self.late = 0
        self._fleet = fleet
        self._data_centres = _map_data_centres(fleet.files)
        self._sampling: asyncio.Task[None] | None = None

    async def move(self) -> None:
        """Takes the data centre out and brings it back."""
        self._sampling = asyncio.create_task(self._sample())
        await self._fleet.publish(_set_state(self._fleet.files, 'out'))
        await asyncio.sleep(GRACE_S)
        before = self._count_received()
        await asyncio.sleep(OUT_S - GRACE_S)
        self.late = self._count_received() - before
        await self._fleet.publish(self._fleet.files)

    async def finish(self) -> None:
        """Ends the sampling."""
        if self._sampling is not None:
            self._sampling.cancel()
            await asyncio.wait([self._sampling])

    def _count_received(self) -> int:
        """Returns the sub-queries that the data centre has received."""
        received = self.samples[-1].received
        return sum(
            count
            for name, count in received.items()
            if self._data_centres[name] == MOVED_DATA_CENTRE
        )

    async def _sample(self) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time() - CHANGE_S
        while True:
            counters = await self._fleet.count()
            when = loop.time() - start
            self.samples.append(_Sample(when, _read_received(counters)))
            await asyncio.sleep(STEP_S / 2)


def _read_received(counters: Counters) -> dict[str, int]:
    return {
        name: counted['received']
        for name, counted in counters.items()
        if name.startswith(WORKLOAD)
    }


def _report(changed: ChangeRun, recorder: _Recorder) -> Iterable[Measurement]:
    end = changed.ended + SETTLE_S
    during = select_records(changed.records, CHANGE_S, end)
    yield limit_value(
        name_subject('move.new-sub-queries-after-2s'),
        recorder.late,
        'sub-queries',
        bound=0,
    )
    yield require_value(
        name_subject('move.urgent-answered'),
        measure_answered(during),
        'share',
        bound=ANSWERED_BOUND,
    )
    yield limit_ratio(
        name_subject('move.p99-during'),
        changed.measure_p99(CHANGE_S, end),
        'ms',
        baseline=changed.steady_p99,
        bound=P99_BOUND,
    )


def _set_state(
    files: DeploymentFiles,
    state: Literal['in', 'out'],
) -> DeploymentFiles:
    entries = tuple(
        replace(entry, state=state)
        if entry.name == MOVED_DATA_CENTRE
        else entry
        for entry in files.data_centres.data_centres
    )
    data_centres = replace(files.data_centres, data_centres=entries)
    return replace(files, data_centres=data_centres)


def _map_data_centres(files: DeploymentFiles) -> dict[str, str]:
    """Returns the data centre of every target."""
    return {
        f'{service.service}/{entry.name}': entry.data_centre
        for service in files.services
        for entry in service.targets
    }


def _build_load_series(
    samples: Sequence[_Sample],
    data_centres: Mapping[str, str],
) -> Series:
    points: dict[str, list[Point]] = {}
    for before, after in itertools.pairwise(samples):
        for data_centre in sorted(set(data_centres.values())):
            names = [
                one
                for one in after.received
                if data_centres[one] == data_centre
            ]
            new = sum(
                after.received[name] - before.received[name] for name in names
            )
            rate = new / len(names) / (after.when - before.when)
            points.setdefault(data_centre, []).append((after.when, rate))
    return Series(
        'move',
        'Load of a target, by data centre',
        'seconds',
        'sub-queries a second and target',
        {data_centre: tuple(curve) for data_centre, curve in points.items()},
    )
