"""The timer of one request, and the order of what is due in a turn."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.model import Clock


class WakeTimer:
    """Calls back at one time, which can be moved.

    Keeps the callback only until the call, so that a request and its timer are
    freed without the garbage collector.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._handle: asyncio.TimerHandle | None = None
        self._wake_at = timedelta()

    def set(self, wake_at: timedelta, wake: Callable[[], None]) -> None:
        """Replaces the time of the call."""
        if self._handle is not None:
            if self._wake_at == wake_at:
                return
            self._handle.cancel()
        wait = wake_at - self._clock.now()
        self._wake_at = wake_at
        self._handle = asyncio.get_running_loop().call_later(
            max(0, wait.total_seconds()),
            self._fire,
            wake,
        )

    def stop(self) -> None:
        """Cancels the call."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self, wake: Callable[[], None]) -> None:
        self._handle = None
        wake()


def call_after_reads(act: Callable[[], None]) -> None:
    """Calls back once all that can be read now has been handled.

    A callback runs before what the same turn of the loop finds to read, so it
    takes a second one.
    """
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, act)
