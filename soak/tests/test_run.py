"""A short run with real processes has no findings."""

import unittest
from datetime import timedelta

from soak.runs import run_soak
from soak.settings import Promises, SoakSettings

#: The seed of the fault schedule; fixed so that CI always draws the same one.
SEED = 4

SETTINGS = SoakSettings(
    seed=SEED,
    fault_time=timedelta(seconds=8),
    hosts=3,
    shards=4,
    callers=6,
    promises=Promises(),
)


class ShortRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_promises_hold(self) -> None:
        report = await run_soak(SETTINGS)
        self.assertEqual(list(report.findings), [])
        self.assertGreater(report.calls, 100)


if __name__ == '__main__':
    unittest.main()
