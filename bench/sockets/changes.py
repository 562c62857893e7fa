"""What the experiments about changes under load share."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass

from bench import Series, Subject
from bench.measurement import Curve
from bench.sockets.callers import Caller, QuerySettings
from bench.sockets.fleet import Fleet
from bench.sockets.load import (
    LoadSettings,
    Seen,
    cut_out,
    measure_p99,
    run_load,
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
#: When the change begins; what is seen before is the steady state.
CHANGE_S = 5.0
#: The width of the parts of a curve, in seconds.
STEP_S = 0.5


@dataclass(frozen=True, slots=True)
class Changed:
    """What callers saw of one change."""

    seen: Sequence[Seen]
    #: When the change had ended, in seconds of the load.
    ended: float

    @property
    def steady_p99(self) -> float:
        """The 99th percentile before the change, in milliseconds."""
        return measure_p99(cut_out(self.seen, 0, CHANGE_S))

    def measure_p99(self, start: float, end: float) -> float:
        """Returns the 99th percentile between two times of the load."""
        return measure_p99(cut_out(self.seen, start, end))


def name_subject(name: str) -> Subject:
    """Returns the subject of one figure."""
    return Subject(name, 'kyushu', SEED)


async def run_changed(
    fleet: Fleet,
    caller: Caller,
    seconds: float,
    change: Callable[[], Awaitable[None]],
) -> Changed:
    """Runs a load, carries out a change and lets the load go on."""
    loop = asyncio.get_running_loop()
    await fleet.switch(COMMAND)
    settings = LoadSettings(compute_load(fleet), WARM_UP_S, SEED)
    await run_load(settings, caller.ask)
    start = loop.time()
    stop = asyncio.Event()
    long = LoadSettings(settings.rate, seconds * 10, SEED)
    running = asyncio.create_task(run_load(long, caller.ask, stop))
    await asyncio.sleep(CHANGE_S)
    await change()
    ended = loop.time() - start
    await asyncio.sleep(max(0, start + seconds - loop.time()))
    stop.set()
    return Changed(await running, ended)


def compute_load(fleet: Fleet) -> float:
    """Returns the queries a second of the load."""
    services = list_services(fleet.files.services, WORKLOAD)
    return compute_rate(services, LOAD, MEDIAN_MS)


def draw_latency(name: str, seen: Iterable[Seen]) -> Series:
    """Returns the curve of the latency over time."""
    return Series(
        name,
        'Latency over time',
        'seconds',
        'p99 in ms',
        {'p99': _draw(seen, measure_p99)},
    )


def draw_coverage(name: str, seen: Iterable[Seen]) -> Series:
    """Returns the curve of the coverage over time."""
    return Series(
        name,
        'Coverage over time',
        'seconds',
        'share of shards answered',
        {'coverage': _draw(seen, _measure_coverage)},
    )


def _draw(
    seen: Iterable[Seen],
    measure: Callable[[Sequence[Seen]], float],
) -> Curve:
    listed = list(seen)
    steps = int(max(one.scheduled for one in listed) / STEP_S) + 1
    parts = [
        (step * STEP_S, cut_out(listed, step * STEP_S, (step + 1) * STEP_S))
        for step in range(steps)
    ]
    return tuple((when, measure(part)) for when, part in parts if part)


def _measure_coverage(seen: Sequence[Seen]) -> float:
    total = sum(one.reply.shards for one in seen)
    return sum(one.reply.answered for one in seen) / max(1, total)


def count_outcomes(seen: Iterable[Seen], outcomes: Iterable[str]) -> int:
    """Returns how many replies had one of the outcomes."""
    named = frozenset(outcomes)
    return sum(one.reply.outcome in named for one in seen)
