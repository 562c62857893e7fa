"""Tests of requests with unknown keys that wait for a read of the store."""

import asyncio
import os
import unittest

from almonddock_core.model import ManualClock
from almonddock_gateway.entry._key_checks import KeyChecks
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    Telemetry,
)


class KeyChecksTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_right_after_a_check_gets_one_too(self) -> None:
        """It waited for a task that had ended, and got no answer."""
        output = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, output)
        clock = ManualClock()
        telemetry = Telemetry(LineWriter(output, {}), GatewayMetrics(), clock)
        decided = asyncio.Event()

        async def read_store() -> None:
            """Reads at once."""

        checks = KeyChecks(read_store, clock, telemetry)

        def add_another() -> None:
            # Runs once the check has ended, before its end is handled.
            loop = asyncio.get_running_loop()
            loop.call_soon(checks.add, decided.set)

        checks.add(add_another)
        async with asyncio.timeout(10):
            await decided.wait()
        self.assertEqual(checks.waiting, 0)


if __name__ == '__main__':
    unittest.main()
