"""Open-loop load: queries leave on schedule, answered or not.

Latency counts from the scheduled time, so that waiting is counted.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench.sockets.callers import Reply

MICROSECONDS = 1_000_000
MILLISECONDS = 1000
HIGHEST_US = 60 * MICROSECONDS
DIGITS = 3
P99 = 99


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """How fast queries are sent and for how long."""

    rate: float
    seconds: float
    seed: int


@dataclass(frozen=True, slots=True)
class Seen:
    """One answer as the caller saw it."""

    #: Seconds after the start of the load.
    scheduled: float
    #: Seconds from the scheduled time to the answer.
    latency: float
    reply: Reply


#: Sends one query and returns what came of it.
Ask = Callable[[], Awaitable[Reply]]


async def run_load(
    settings: LoadSettings,
    ask: Ask,
    stop: asyncio.Event | None = None,
) -> list[Seen]:
    """Sends queries until the time is up or ``stop`` is set."""
    source = random.Random(settings.seed)
    loop = asyncio.get_running_loop()
    start = loop.time()
    scheduled: float = 0
    tasks = []
    while scheduled < settings.seconds and not (stop and stop.is_set()):
        await asyncio.sleep(max(0, start + scheduled - loop.time()))
        tasks.append(asyncio.create_task(_ask_once(ask, start, scheduled)))
        scheduled += source.expovariate(settings.rate)
    return list(await asyncio.gather(*tasks))


async def _ask_once(ask: Ask, start: float, scheduled: float) -> Seen:
    reply = await ask()
    elapsed = asyncio.get_running_loop().time() - start - scheduled
    return Seen(scheduled, elapsed, reply)


def cut_out(seen: Iterable[Seen], start: float, end: float) -> list[Seen]:
    """Returns what was scheduled between two times."""
    return [one for one in seen if start <= one.scheduled < end]


def measure_percentile(latencies: Iterable[float], percentile: float) -> float:
    """Returns a percentile in milliseconds of latencies in seconds."""
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for latency in latencies:
        histogram.record_value(max(1, round(latency * MICROSECONDS)))
    found: float = histogram.get_value_at_percentile(percentile)
    return found / MILLISECONDS


def measure_p99(seen: Iterable[Seen]) -> float:
    """Returns the 99th percentile of the latency in milliseconds."""
    return measure_percentile((one.latency for one in seen), P99)


def measure_answered(seen: Sequence[Seen]) -> float:
    """Returns the share of queries with a whole answer, from 0 to 1."""
    return sum(one.reply.whole for one in seen) / max(1, len(seen))
