"""Series of signals to one host, which overlap its stops and starts."""

import asyncio
import random
import signal
from collections.abc import Callable
from datetime import timedelta

from soak.processes import HostProcess

#: The signals in a series, and the longest pause between two, in seconds.
RELOADS = 20
MAX_PAUSE_S = 0.15

#: The processes of a host that are killed one after the other, and the
#: greatest age at which the next one is, in seconds.
KILLS = 4
MAX_AGE_S = 0.8


async def reload_in_series(
    process: HostProcess, rng: random.Random, rewrite: Callable[[], None]
) -> None:
    """Sends SIGHUP many times, in whatever state the process is."""
    for _ in range(RELOADS):
        rewrite()
        process.send(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))


async def stop_in_series(
    process: HostProcess, rng: random.Random, grace: timedelta
) -> None:
    """Sends SIGTERM, then both signals until the process has ended.

    The next process gets SIGHUP while it starts. A process that still runs
    after ``grace`` is killed.
    """
    loop = asyncio.get_running_loop()
    incarnation = process.incarnation
    until = loop.time() + grace.total_seconds()
    process.send(signal.SIGTERM)
    while process.incarnation == incarnation:
        await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
        if process.incarnation != incarnation:
            break
        if loop.time() > until:
            process.send(signal.SIGKILL)
        process.send(rng.choice((signal.SIGHUP, signal.SIGTERM)))
    for _ in range(RELOADS):
        process.send(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))


async def kill_in_series(process: HostProcess, rng: random.Random) -> None:
    """Kills several processes of a host, each soon after its start."""
    for _ in range(KILLS):
        process.send(signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0, MAX_AGE_S))
