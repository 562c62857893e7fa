"""Lets requests with unknown keys wait for a read of the store."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from almonddock_core.access import KeyCheckSchedule
from almonddock_core.model import AlmonddockError, Clock
from almonddock_gateway.http import Exchange
from almonddock_gateway.supervision import guard, run_until_done
from almonddock_gateway.telemetry import Telemetry

#: How long a read may take before the requests that wait are refused.
CHECK_TIMEOUT = timedelta(seconds=1)


class WaitingRequest:
    """A request that is decided on once the store has been read."""

    def __init__(
        self,
        start: Callable[[], Exchange | None],
        leave: 'Callable[[WaitingRequest], None]',
    ) -> None:
        self._start = start
        self._leave = leave
        self._is_waiting = True
        self._exchange: Exchange | None = None

    def resume(self) -> None:
        """Decides on the request, which may start it."""
        self._is_waiting = False
        self._leave(self)
        self._exchange = self._start()

    def abandon(self) -> None:
        """Drops the request, because the caller has disconnected."""
        if self._is_waiting:
            self._leave(self)
        elif self._exchange is not None:
            self._exchange.abandon()


class KeyChecks:
    """Reads the configuration again for requests with unknown keys."""

    def __init__(
        self,
        read: Callable[[], Awaitable[None]],
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """``read`` reads and applies the configuration that is in force."""
        #: The reads so far.
        self.count = 0
        self._read = read
        self._clock = clock
        self._telemetry = telemetry
        self._schedule = KeyCheckSchedule()
        # The requests that wait for the next read, in the order of arrival.
        self._waiting: dict[WaitingRequest, None] = {}
        # Those that the read in progress serves.
        self._served: dict[WaitingRequest, None] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return self._schedule.waiting

    def add(
        self, start: Callable[[], Exchange | None]
    ) -> WaitingRequest | None:
        """Lets a request wait; returns None if it must not.

        ``start`` is called when the store has been read, or was not in time.
        """
        if not self._schedule.join(self._clock.now()):
            return None
        request = WaitingRequest(start, self._remove)
        self._waiting[request] = None
        if self._task is None:
            self._task = asyncio.create_task(
                run_until_done('key checks', self._run, self._telemetry)
            )
        return request

    def resume_all(self) -> None:
        """Decides on all requests that wait, without the store."""
        self._resume((*self._served, *self._waiting))

    def _remove(self, request: WaitingRequest) -> None:
        for requests in (self._waiting, self._served):
            if request in requests:
                requests.pop(request)
                self._schedule.leave()

    async def _run(self) -> None:
        while self._waiting:
            due = self._schedule.next_at - self._clock.now()
            await asyncio.sleep(max(due.total_seconds(), 0))
            # A request that comes later may have a key that is newer still.
            self._served = self._waiting
            self._waiting = {}
            try:
                await self._check()
            finally:
                self._resume(tuple(self._served))
        # Without a pause since the last look at what waits, so that what comes
        # later starts another task.
        self._task = None

    async def _check(self) -> None:
        """Reads once for all requests that wait now."""
        started = self._clock.now()
        self._schedule.start(started)
        self.count += 1
        fault = ''
        try:
            async with asyncio.timeout(CHECK_TIMEOUT.total_seconds()):
                await self._read()
        except AlmonddockError as lost:
            fault = lost.message
        except TimeoutError:
            fault = 'no answer in time'
        self._schedule.finish(answered=not fault)
        self._telemetry.log_event(
            'keys_checked',
            requests=len(self._served),
            elapsed=self._clock.now() - started,
            fault=fault,
        )

    def _resume(self, requests: tuple[WaitingRequest, ...]) -> None:
        for request in requests:
            guard('a request resumed', request.resume, self._telemetry)()
