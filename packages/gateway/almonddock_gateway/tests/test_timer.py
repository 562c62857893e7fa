"""Tests of the timer of a request."""

import asyncio
import gc
import socket
import unittest
import weakref
from datetime import timedelta

from almonddock_core.model import ManualClock
from almonddock_gateway.entry._timer import WakeTimer, call_after_reads

MS = timedelta(milliseconds=1)


class Request:
    """A request that owns its timer."""

    def __init__(self) -> None:
        self.timer = WakeTimer(ManualClock())
        self.wakes = 0

    def wake(self) -> None:
        """Counts a call."""
        self.wakes += 1


class WakeTimerTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_last_time_that_was_set_counts(self) -> None:
        request = Request()
        for milliseconds in (60_000, 1, 1):
            request.timer.set(milliseconds * MS, request.wake)
        while not request.wakes:
            await asyncio.sleep(0.001)
        request.timer.set(2 * MS, request.wake)
        request.timer.stop()
        await asyncio.sleep(0.01)
        self.assertEqual(request.wakes, 1)

    async def test_ended_request_is_freed_at_once(self) -> None:
        """A timer that kept its callback left that to the collector."""
        gc.disable()
        self.addCleanup(gc.enable)
        request = Request()
        request.timer.set(60_000 * MS, request.wake)
        request.timer.stop()
        found = weakref.ref(request)
        del request
        self.assertIsNone(found())


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_replies_that_have_arrived_are_read_before_hedges(
        self,
    ) -> None:
        """Shards were hedged whose replies waited in the kernel."""
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        events: list[str] = []
        with near, far:
            near.setblocking(False)
            loop.add_reader(near, lambda: events.append(str(near.recv(1))))
            far.send(b'r')
            loop.call_soon(call_after_reads, lambda: events.append('hedge'))
            while 'hedge' not in events:
                await asyncio.sleep(0)
            loop.remove_reader(near)
        self.assertEqual(events, ["b'r'", 'hedge'])


if __name__ == '__main__':
    unittest.main()
