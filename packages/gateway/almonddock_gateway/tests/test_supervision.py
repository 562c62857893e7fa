"""Tests that unexpected errors end neither a loop nor a host silently."""

import asyncio
import os
import unittest
from datetime import timedelta

from almonddock_core.model import ManualClock
from almonddock_gateway.supervision import (
    keep_running,
    log_unexpected_errors,
    run_until_done,
)
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    Telemetry,
)


class SupervisionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = reader
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.telemetry = Telemetry(
            LineWriter(writer, {}), GatewayMetrics(), ManualClock()
        )

    def read_log(self) -> str:
        self.telemetry.flush()
        return os.read(self.reader, 0x10000).decode()

    async def test_loop_runs_again_after_an_unexpected_error(self) -> None:
        runs = 0
        done = asyncio.Event()

        async def run() -> None:
            nonlocal runs
            runs += 1
            if runs < 3:
                raise KeyError('malformed')
            done.set()
            await asyncio.Event().wait()

        task = asyncio.create_task(
            keep_running('following', run, self.telemetry, timedelta())
        )
        async with asyncio.timeout(10):
            await done.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(runs, 3)
        log = self.read_log()
        self.assertEqual(log.count('loop_failed'), 2)
        self.assertIn('following', log)

    async def test_loop_runs_again_after_a_cancelled_future(self) -> None:
        """CancelledError is no Exception: the loop ended for good, unseen."""
        runs = 0
        done = asyncio.Event()

        async def run() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                answer: asyncio.Future[None] = asyncio.Future()
                answer.cancel()
                await answer
            done.set()
            await asyncio.Event().wait()

        task = asyncio.create_task(
            keep_running('following', run, self.telemetry, timedelta())
        )
        async with asyncio.timeout(10):
            await asyncio.wait(
                (task, asyncio.create_task(done.wait())),
                return_when=asyncio.FIRST_COMPLETED,
            )
        self.assertFalse(task.done())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertTrue(task.cancelled())
        self.assertIn('CancelledError', self.read_log())

    async def test_work_that_failed_is_tried_until_it_is_done(self) -> None:
        runs = 0

        async def run() -> None:
            nonlocal runs
            runs += 1
            if runs < 3:
                raise OverflowError('port')

        await run_until_done('listening', run, self.telemetry, timedelta())
        self.assertEqual(runs, 3)
        self.assertEqual(self.read_log().count('loop_failed'), 2)

    async def test_errors_of_callbacks_are_logged(self) -> None:
        loop = asyncio.get_running_loop()
        log_unexpected_errors(loop, self.telemetry)

        def fail() -> None:
            raise ValueError('unexpected')

        loop.call_soon(fail)
        await asyncio.sleep(0.01)
        self.assertIn('unexpected_error', self.read_log())


if __name__ == '__main__':
    unittest.main()
