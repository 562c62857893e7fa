"""The store comes back from a copy, and what it lost is written again."""

import asyncio
import pathlib
import unittest
from datetime import timedelta
from unittest.mock import patch

from almonddock_platform.tests.standins import (
    KEYS,
    StoreFault,
    StoreStandin,
)
from soak import drills, returns
from soak.injector import Injector
from soak.installation import Installation
from soak.schedule import Fault, FaultKind
from soak.settings import SoakSettings
from soak.tests.cases import seconds

#: Times of a drill in a test, in seconds.
SHORT_S = 0.01


class DrillCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for module, name in (
            (drills, 'AWAY_S'),
            (returns, 'GAP_S'),
            (returns, 'WRITTEN_AGAIN_S'),
            (returns, 'SILENCE_S'),
        ):
            shortened = patch.object(module, name, SHORT_S)
            shortened.start()
            self.addCleanup(shortened.stop)


class StoreCopiesTest(DrillCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = StoreStandin()
        self.time = timedelta()
        self.copies = drills.StoreCopies(self.store, lambda: self.time)
        for second in range(5):
            self.time = seconds(second)
            self.store.put(f'servers/{second}', {})
            self.copies.take()

    async def test_store_returns_from_a_copy_of_an_age(self) -> None:
        taken = await self.copies.restore(seconds(1.5))
        self.assertEqual(taken, seconds(2))
        self.assertEqual(len(self.store.list_keys('')), 3)
        self.assertEqual((self.store.era, self.store.revision), (1, 4))
        self.assertIs(self.store.fault, StoreFault.NONE)

    async def test_lost_copies_are_not_used_again(self) -> None:
        await self.copies.restore(seconds(1.5))
        self.assertEqual(await self.copies.restore(timedelta()), seconds(2))

    async def test_oldest_copy_is_used_again(self) -> None:
        for era in (1, 2):
            self.assertEqual(await self.copies.restore(seconds(60)), seconds(0))
            self.assertEqual(self.store.era, era)

    async def test_store_is_away_before_it_returns(self) -> None:
        drill = asyncio.create_task(self.copies.restore(seconds(1)))
        await asyncio.sleep(0)
        self.assertIs(self.store.fault, StoreFault.DOWN)
        self.copies.take()
        self.assertEqual(await drill, seconds(3))

    async def test_other_fault_of_the_store_goes_on(self) -> None:
        drill = asyncio.create_task(self.copies.restore(seconds(1)))
        await asyncio.sleep(0)
        self.store.fault = StoreFault.SLOW
        await drill
        self.assertIs(self.store.fault, StoreFault.SLOW)


class ReturnTest(DrillCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.installation = Installation(
            SoakSettings(seed=1), pathlib.Path('unused')
        )
        self.store = self.installation.store
        self.installation.configure()
        self.installation.drain('a')
        self.store.put(f'{KEYS.target_prefix}gone', {})

    async def play(self, kind: FaultKind) -> Injector:
        fault = Fault(timedelta(), kind, 0, timedelta())
        played = Injector(self.installation)
        await played.run(fault)
        return played

    async def test_lost_writes_of_the_operator_return(self) -> None:
        for kind, era in (
            (FaultKind.STORE_RETURN, 1),
            (FaultKind.STORE_RETURN_TWICE, 3),
        ):
            with self.subTest(kind):
                installation = self.installation
                installation.copies.take()
                installation.undrain('a')
                installation.drain('b')
                installation.configure()
                lost = installation.versions[-1]
                played = await self.play(kind)
                written = installation.versions[-1]
                self.assertEqual(self.store.era, era)
                self.assertEqual(written.number, lost.number)
                self.assertEqual(written.routes, lost.routes)
                self.assertGreater(written.written, played.spans[0].end)
                self.assertEqual(
                    self.store.list_keys(KEYS.drained_prefix),
                    [f'{KEYS.drained_prefix}b'],
                )
                installation.undrain('b')
                installation.drain('a')

    async def test_kept_version_is_not_written_again(self) -> None:
        await asyncio.sleep(SHORT_S)
        self.installation.copies.take()
        await self.play(FaultKind.STORE_RETURN)
        self.assertEqual(len(self.installation.versions), 1)

    async def test_entry_that_no_target_reports_is_removed(self) -> None:
        self.installation.copies.take()
        self.store.remove(f'{KEYS.target_prefix}gone')
        await self.play(FaultKind.STORE_RETURN)
        self.assertEqual(self.store.list_keys(KEYS.target_prefix), [])

    async def test_operator_waits_for_a_store_that_is_down(self) -> None:
        self.installation.copies.take()
        self.installation.configure()
        play = asyncio.create_task(self.play(FaultKind.STORE_RETURN))
        while self.store.fault is not StoreFault.DOWN:
            await asyncio.sleep(0)
        self.store.fault = StoreFault.SILENT
        await asyncio.sleep(SHORT_S * 5)
        self.assertEqual(len(self.installation.versions), 2)
        self.store.fault = StoreFault.NONE
        await play
        self.assertEqual(len(self.installation.versions), 3)


if __name__ == '__main__':
    unittest.main()
