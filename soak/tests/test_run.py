"""A short run with real processes keeps every promise."""

import unittest
from datetime import timedelta

from soak.runs import play
from soak.settings import Promises, SoakSettings

#: Faults of every run in CI come from this seed.
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
        report = await play(SETTINGS)
        self.assertEqual(list(report.findings), [])
        self.assertGreater(report.calls, 100)


if __name__ == '__main__':
    unittest.main()
