"""Open-loop load: queries are sent on schedule, without awaiting replies.

Latency counts from the scheduled time, so that delay in sending is included.
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
SIGNIFICANT_DIGITS = 3
P99 = 99


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """The rate of a load, how long it lasts and the seed of its arrivals."""

    rate: float
    seconds: float
    seed: int


@dataclass(frozen=True, slots=True)
class QueryRecord:
    """One query as the caller saw it."""

    #: Seconds after the start of the load.
    scheduled: float
    #: Seconds from the scheduled time to the answer.
    latency: float
    reply: Reply


#: Sends one query and returns its outcome.
Ask = Callable[[], Awaitable[Reply]]


async def run_load(
    settings: LoadSettings,
    ask: Ask,
    stop: asyncio.Event | None = None,
) -> list[QueryRecord]:
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


async def _ask_once(ask: Ask, start: float, scheduled: float) -> QueryRecord:
    reply = await ask()
    elapsed = asyncio.get_running_loop().time() - start - scheduled
    return QueryRecord(scheduled, elapsed, reply)


def select_records(
    records: Iterable[QueryRecord], start: float, end: float
) -> list[QueryRecord]:
    """Returns the queries that were scheduled between two times."""
    return [one for one in records if start <= one.scheduled < end]


def measure_percentile(latencies: Iterable[float], percentile: float) -> float:
    """Returns a percentile in milliseconds of latencies in seconds."""
    histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency in latencies:
        histogram.record_value(max(1, round(latency * MICROSECONDS)))
    found: float = histogram.get_value_at_percentile(percentile)
    return found / MILLISECONDS


def measure_p99(records: Iterable[QueryRecord]) -> float:
    """Returns the 99th percentile of the latency in milliseconds."""
    return measure_percentile((one.latency for one in records), P99)


def measure_answered(records: Sequence[QueryRecord]) -> float:
    """Returns the share of queries with a whole answer, from 0 to 1."""
    return sum(one.reply.whole for one in records) / max(1, len(records))
