"""Common parts of the experiments that change a fleet under load."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass

from bench import Series, Subject
from bench.measurement import Curve
from bench.sockets.callers import Caller, QuerySettings
from bench.sockets.fleet import Fleet
from bench.sockets.load import (
    LoadSettings,
    QueryRecord,
    measure_p99,
    run_load,
    select_records,
)
from bench.sockets.shape import compute_rate, list_services
from bench.sockets.target_process import Command

SEED = 13
WORKLOAD = 'parts-desk'
LOAD = 0.3
MEDIAN_MS = 40
COMMAND = Command(MEDIAN_MS)
DEADLINE_MS = 2000
QUERY = QuerySettings(WORKLOAD, DEADLINE_MS)
WARM_UP_S = 2.0
#: When the change begins; queries before it are the steady state.
CHANGE_S = 5.0
#: The time that one point of a curve covers.
STEP_S = 0.5


@dataclass(frozen=True, slots=True)
class ChangeRun:
    """The queries of a load during which one change was made."""

    records: Sequence[QueryRecord]
    #: When the change ended, in seconds after the start of the load.
    ended: float

    @property
    def steady_p99(self) -> float:
        """The 99th percentile before the change, in milliseconds."""
        return measure_p99(select_records(self.records, 0, CHANGE_S))

    def measure_p99(self, start: float, end: float) -> float:
        """Returns the 99th percentile between two times of the load."""
        return measure_p99(select_records(self.records, start, end))


def name_subject(name: str) -> Subject:
    """Returns the subject of one figure."""
    return Subject(name, 'kyushu', SEED)


async def run_with_change(
    fleet: Fleet,
    caller: Caller,
    seconds: float,
    change: Callable[[], Awaitable[None]],
) -> ChangeRun:
    """Runs a load for ``seconds``, with a change begun at ``CHANGE_S``."""
    loop = asyncio.get_running_loop()
    await fleet.send_command(COMMAND)
    settings = LoadSettings(compute_load_rate(fleet), WARM_UP_S, SEED)
    await run_load(settings, caller.ask)
    start = loop.time()
    stop = asyncio.Event()
    # The change may take longer than ``seconds``; ``stop`` ends the load.
    extended = LoadSettings(settings.rate, seconds * 10, SEED)
    running = asyncio.create_task(run_load(extended, caller.ask, stop))
    await asyncio.sleep(CHANGE_S)
    await change()
    ended = loop.time() - start
    await asyncio.sleep(max(0, start + seconds - loop.time()))
    stop.set()
    return ChangeRun(await running, ended)


def compute_load_rate(fleet: Fleet) -> float:
    """Returns the queries per second of the load."""
    services = list_services(fleet.files.services, WORKLOAD)
    return compute_rate(services, LOAD, MEDIAN_MS)


def build_latency_series(name: str, records: Iterable[QueryRecord]) -> Series:
    """Returns the curve of the latency over time."""
    return Series(
        name,
        'Latency over time',
        'seconds',
        'p99 in ms',
        {'p99': _build_curve(records, measure_p99)},
    )


def build_coverage_series(name: str, records: Iterable[QueryRecord]) -> Series:
    """Returns the curve of the coverage over time."""
    return Series(
        name,
        'Coverage over time',
        'seconds',
        'share of shards answered',
        {'coverage': _build_curve(records, _measure_coverage)},
    )


def _build_curve(
    records: Iterable[QueryRecord],
    measure: Callable[[Sequence[QueryRecord]], float],
) -> Curve:
    listed = list(records)
    steps = int(max(one.scheduled for one in listed) / STEP_S) + 1
    parts = [
        (
            step * STEP_S,
            select_records(listed, step * STEP_S, (step + 1) * STEP_S),
        )
        for step in range(steps)
    ]
    return tuple((when, measure(part)) for when, part in parts if part)


def _measure_coverage(records: Sequence[QueryRecord]) -> float:
    total = sum(one.reply.shards for one in records)
    return sum(one.reply.answered for one in records) / max(1, total)


def count_outcomes(
    records: Iterable[QueryRecord], outcomes: Iterable[str]
) -> int:
    """Returns how many replies had one of the outcomes."""
    named = frozenset(outcomes)
    return sum(one.reply.outcome in named for one in records)
