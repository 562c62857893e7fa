"""Short runs with real processes have no findings."""

import unittest
from dataclasses import replace
from datetime import timedelta

from soak.runs import run_soak
from soak.schedule import LATER_GROUPS, FaultKind
from soak.settings import Promises, SoakSettings

#: The seed of the fault schedule; fixed so that CI always draws the same one.
SEED = 4

PROCESS_KINDS = LATER_GROUPS['ends of processes']
OVERLAP_KINDS = LATER_GROUPS['overlapping processes']
OTHER_KINDS = frozenset(FaultKind).difference(
    PROCESS_KINDS, OVERLAP_KINDS, LATER_GROUPS['descriptors']
)

SETTINGS = SoakSettings(
    seed=SEED,
    fault_time=timedelta(seconds=8),
    hosts=3,
    shards=4,
    callers=6,
    kinds=tuple(kind.name for kind in FaultKind if kind in OTHER_KINDS),
    promises=Promises(),
)

#: Seeds that draw nearly all kinds of faults that may end a process.
PROCESS_SEED = 39
OVERLAP_SEED = 3

PROCESS_SETTINGS = replace(
    SETTINGS,
    seed=PROCESS_SEED,
    fault_time=timedelta(seconds=4),
    fault_rate=3.5,
    kinds=tuple(kind.name for kind in FaultKind if kind in PROCESS_KINDS),
)

OVERLAP_SETTINGS = replace(
    PROCESS_SETTINGS,
    seed=OVERLAP_SEED,
    kinds=tuple(
        kind.name for kind in FaultKind if kind in PROCESS_KINDS | OVERLAP_KINDS
    ),
)

#: What these runs check; the first run checks all promises.
PROCESS_PROMISES = frozenset(('processes', 'readiness', 'recovery'))


class ShortRunTest(unittest.IsolatedAsyncioTestCase):
    maxDiff = None

    async def test_promises_hold(self) -> None:
        report = await run_soak(SETTINGS)
        self.assertEqual(list(report.findings), [])
        self.assertGreater(report.calls, 100)

    async def test_processes_run_on_within_their_memory(self) -> None:
        """Hosts ended, or outgrew their memory, by what others sent to them."""
        await self.check_processes(PROCESS_SETTINGS)

    async def test_processes_that_overlap_run_on(self) -> None:
        """A restart found the ports and the name of the host in use."""
        await self.check_processes(OVERLAP_SETTINGS)

    async def check_processes(self, settings: SoakSettings) -> None:
        report = await run_soak(settings)
        findings = [
            one for one in report.findings if one.promise in PROCESS_PROMISES
        ]
        self.assertEqual(findings, [])
        self.assertGreater(report.calls, 100)


if __name__ == '__main__':
    unittest.main()
