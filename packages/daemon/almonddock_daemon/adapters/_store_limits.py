"""Limits on the calls of one store client: rate, concurrency, backoff."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

from almonddock_core.model import Clock
from almonddock_daemon.adapters._store_values import StoreSettings

# Limits the doublings of the backoff, to keep the power of two small.
_MAX_DOUBLINGS = 16


class CallLimiter:
    """Lets calls through at a bounded rate and concurrency.

    Use it as ``async with limiter.admit():`` around one call.
    """

    def __init__(self, settings: StoreSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._slots = asyncio.Semaphore(settings.max_concurrent_calls)
        # The time at which the token bucket is full again.
        self._bucket_full_at = clock.now()

    @asynccontextmanager
    async def admit(self) -> AsyncIterator[None]:
        """Waits for a token and a slot; holds the slot during the call."""
        delay = self.reserve()
        if delay:
            await asyncio.sleep(delay.total_seconds())
        async with self._slots:
            yield

    def reserve(self) -> timedelta:
        """Takes one token and returns how long the call must wait for it."""
        interval = timedelta(seconds=1 / self._settings.calls_per_second)
        now = self._clock.now()
        self._bucket_full_at = max(self._bucket_full_at, now) + interval
        credit = interval * self._settings.burst
        return max(self._bucket_full_at - credit - now, timedelta())


def choose_backoff(
    settings: StoreSettings,
    attempt: int,
    source: random.Random,
) -> timedelta:
    """Returns the delay before a retry: exponential with full jitter."""
    doublings = min(attempt, _MAX_DOUBLINGS)
    longest = min(
        settings.backoff_base * (1 << doublings),
        settings.backoff_limit,
    )
    return longest * source.uniform(0, 1)
