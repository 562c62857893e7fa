"""Tests of following the store during failures."""

import asyncio
import unittest
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from almonddock_core.model import ManualClock
from almonddock_core.news import ReadSource
from almonddock_gateway.controllers import Follower, FollowSettings
from almonddock_gateway.relays import (
    LinkMessage,
    StoreCache,
    StoreOutcome,
    StoreQuery,
    StoreReply,
    StoreServer,
    _fallback_store,
)
from almonddock_gateway.store import (
    HistoryLostError,
    StoreLostError,
    StoreView,
)
from almonddock_gateway.tests.fakes import FakeLink
from almonddock_gateway.tests.store_cases import (
    ONE,
    TWO,
    FallbackStoreCase,
    ScriptedStore,
    Step,
    StoreCase,
    place_in_era,
)


class FollowerTest(StoreCase):
    async def follow(self, calls: int, *steps: Step) -> ScriptedStore:
        """Runs a follower until the store has received ``calls`` calls."""
        self.snapshots: list[StoreView] = []
        self.changes: list[StoreView] = []
        self.recoveries = 0
        store = ScriptedStore(*steps)
        follower = Follower(
            FollowSettings(
                prefix='p/',
                wait=timedelta(seconds=1),
                choose_pause=lambda is_recovering: timedelta(),
                apply_snapshot=self.snapshots.append,
                apply_changes=self.changes.append,
                store_back=self.count_recovery,
            ),
            store,
            ManualClock(),
            self.make_telemetry(),
        )
        task = asyncio.create_task(follower.run())
        await self.settle(lambda: len(store.calls) >= calls)
        task.cancel()
        return store

    def count_recovery(self) -> None:
        self.recoveries += 1

    async def test_reads_once_and_watches_from_there(self) -> None:
        store = await self.follow(3, ONE, TWO)
        self.assertEqual(store.calls, ['read', 'watch 5', 'watch 6'])
        self.assertEqual((self.snapshots, self.changes), ([ONE], [TWO]))

    async def test_lost_history_is_read_again(self) -> None:
        store = await self.follow(4, ONE, HistoryLostError('x'), TWO)
        self.assertEqual(store.calls, ['read', 'watch 5', 'read', 'watch 6'])

    async def test_lost_store_is_watched_from_the_same_revision(self) -> None:
        store = await self.follow(4, ONE, StoreLostError('x'), TWO)
        self.assertEqual(
            store.calls,
            ['read', 'watch 5', 'watch 5', 'watch 6'],
        )
        self.assertEqual(self.recoveries, 1)

    async def test_changes_beyond_one_answer_are_read_without_pause(
        self,
    ) -> None:
        """A pause may gather more changes than fit into one answer."""
        changes: list[StoreView] = []
        more = replace(TWO, has_more=True)
        store = ScriptedStore(ONE, more, more, TWO)
        follower = Follower(
            FollowSettings(
                prefix='p/',
                wait=timedelta(seconds=1),
                choose_pause=lambda is_recovering: (
                    timedelta(hours=len(changes)) if changes else timedelta()
                ),
                apply_snapshot=lambda view: None,
                apply_changes=changes.append,
                store_back=lambda: None,
            ),
            store,
            ManualClock(),
            self.make_telemetry(),
        )
        task = asyncio.create_task(follower.run())
        await self.settle(lambda: len(changes) == 3)
        task.cancel()

    async def test_revision_never_goes_back(self) -> None:
        old = StoreView([], 3)
        store = await self.follow(3, TWO, old)
        self.assertEqual(store.calls, ['read', 'watch 6', 'watch 6'])

    async def count_calls(self, step: Step) -> int:
        """Returns the calls of two turns at a store that answers at once."""
        store = ScriptedStore(ONE, *(step for _ in range(100)))
        follower = Follower(
            FollowSettings(
                prefix='p/',
                wait=timedelta(seconds=1),
                choose_pause=lambda is_recovering: timedelta(),
                apply_snapshot=lambda view: None,
                apply_changes=lambda view: None,
                store_back=lambda: None,
            ),
            store,
            ManualClock(),
            self.make_telemetry(),
        )
        task = asyncio.create_task(follower.run())
        for _ in range(5):
            await asyncio.sleep(0)
        task.cancel()
        return len(store.calls)

    async def test_reads_that_fail_at_once_leave_others_a_turn(self) -> None:
        """A loop that never waits holds up all requests of the host."""
        calls = await self.count_calls(HistoryLostError('x'))
        self.assertLess(calls, 10)

    async def test_changes_without_progress_leave_others_a_turn(self) -> None:
        calls = await self.count_calls(replace(ONE, has_more=True))
        self.assertLess(calls, 10)

    async def test_snapshot_of_a_later_era_is_applied_as_after_an_outage(
        self,
    ) -> None:
        """Hosts that saw no outage dropped targets that the copy lacked."""
        restored = place_in_era(StoreView([], 3), 1)
        store = await self.follow(4, TWO, HistoryLostError('x'), restored)
        self.assertEqual(
            store.calls,
            ['read', 'watch 6', 'read', f'watch {restored.revision}'],
        )
        self.assertEqual(self.snapshots, [TWO, restored])
        self.assertEqual(self.recoveries, 1)

    async def test_older_snapshot_is_read_again(self) -> None:
        """A target that has left must not come back.

        After the restart of the watcher that it followed, a host reads
        everything again, and may ask a watcher that is behind the first one.
        """
        older = StoreView([], 3)
        store = await self.follow(
            6, ONE, TWO, HistoryLostError('x'), older, TWO
        )
        self.assertEqual(
            store.calls,
            ['read', 'watch 5', 'watch 6', 'read', 'read', 'watch 6'],
        )
        self.assertEqual(self.snapshots, [ONE, TWO])

    async def test_store_back_is_called_before_the_snapshot(self) -> None:
        order: list[str] = []
        store = ScriptedStore(StoreLostError('x'), ONE)
        follower = Follower(
            FollowSettings(
                prefix='p/',
                wait=timedelta(seconds=1),
                choose_pause=lambda is_recovering: timedelta(),
                apply_snapshot=lambda view: order.append('all'),
                apply_changes=lambda view: order.append('changes'),
                store_back=lambda: order.append('back'),
            ),
            store,
            ManualClock(),
            self.make_telemetry(),
        )
        task = asyncio.create_task(follower.run())
        await self.settle(lambda: len(order) >= 2)
        task.cancel()
        self.assertEqual(order, ['back', 'all'])


class FallbackStoreTest(FallbackStoreCase):
    async def test_store_is_read_directly_first(self) -> None:
        fallback = self.make(ONE)
        self.connect()
        self.assertEqual(await fallback.read_prefix('p/'), ONE)
        self.assertEqual(self.links.link.sent, [])

    async def test_without_a_link_the_loss_is_raised(self) -> None:
        fallback = self.make(StoreLostError('x'))
        with self.assertRaises(StoreLostError):
            await fallback.read_prefix('p/')

    async def test_lost_store_is_read_through_a_peer(self) -> None:
        fallback = self.make(StoreLostError('x'))
        self.connect()
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO)
        self.assertEqual(await self.ask_other_host(fallback, reply), TWO)
        query = self.links.link.sent[0]
        self.assertEqual(
            query,
            StoreQuery(7, 'p/', 5, timedelta(seconds=1)),
        )
        self.assertIs(fallback.source, ReadSource.PEER)

    async def test_store_is_probed_again_after_an_unexpected_error(
        self,
    ) -> None:
        """A host whose probe ended never read the store directly again."""
        fallback = self.make(StoreLostError('x'), KeyError('x'), TWO, ONE)
        self.connect()
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO)
        with patch.object(_fallback_store, 'PROBE_PAUSE_S', 0):
            await self.ask_other_host(fallback, reply)
            await self.settle(lambda: self.store.calls.count('stale') == 2)
        self.assertEqual(await fallback.read_prefix('p/'), ONE)

    async def test_failure_of_the_peer_is_raised(self) -> None:
        nothing = StoreView((), 0)
        for outcome, expected in (
            (StoreOutcome.LOST, StoreLostError),
            (StoreOutcome.HISTORY_LOST, HistoryLostError),
        ):
            with self.subTest(outcome=outcome):
                fallback = self.make(StoreLostError('x'))
                self.connect()
                reply = StoreReply(7, outcome, nothing)
                with self.assertRaises(expected):
                    await self.ask_other_host(fallback, reply)

    async def test_lost_link_is_reported_as_a_lost_store(self) -> None:
        fallback = self.make(StoreLostError('x'))
        self.connect()
        with self.assertRaises(StoreLostError):
            await self.ask_other_host(fallback, None)

    async def test_answers_of_an_earlier_era_are_not_taken(self) -> None:
        """A peer that has not read the restored store told of the lost one."""
        fallback = self.make(place_in_era(ONE, 2), StoreLostError('x'))
        self.connect()
        await fallback.read_prefix('p/')
        reply = StoreReply(7, StoreOutcome.ANSWERED, place_in_era(TWO, 1))
        with self.assertRaises(StoreLostError):
            await self.ask_other_host(fallback, reply)

    async def test_peer_of_an_earlier_release_is_not_read_once_restored(
        self,
    ) -> None:
        """It may answer from what the store has lost, at higher numbers."""
        fallback = self.make(place_in_era(ONE, 2), StoreLostError('x'))
        self.connect()
        await fallback.read_prefix('p/')
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO, knows_eras=False)
        with self.assertRaises(StoreLostError):
            await self.ask_other_host(fallback, reply)

    async def test_peer_of_an_earlier_release_is_read_in_the_first_era(
        self,
    ) -> None:
        fallback = self.make(ONE, StoreLostError('x'))
        self.connect()
        await fallback.read_prefix('p/')
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO, knows_eras=False)
        self.assertEqual(await self.ask_other_host(fallback, reply), TWO)


class StoreServerTest(StoreCase):
    async def test_outcome_of_a_read_is_sent_to_the_other_host(self) -> None:
        lost = StoreView((), 0)
        for step, reply in (
            (ONE, StoreReply(3, StoreOutcome.ANSWERED, ONE, timedelta())),
            (StoreLostError('x'), StoreReply(3, StoreOutcome.LOST, lost)),
            (
                HistoryLostError('x'),
                StoreReply(3, StoreOutcome.HISTORY_LOST, lost),
            ),
        ):
            for after, call in ((None, 'read'), (5, 'watch 5')):
                with self.subTest(outcome=reply.outcome, after=after):
                    store = ScriptedStore(step)
                    sent = await self.ask(store, after)
                    self.assertEqual(store.calls, [call])
                    self.assertEqual(sent, [reply])

    async def ask(
        self,
        store: ScriptedStore,
        after: int | None,
    ) -> list[LinkMessage]:
        link = FakeLink()
        server = StoreServer(store, StoreCache('', bool), ManualClock())
        server.receive(link, StoreQuery(3, 'p/', after, timedelta()))
        await self.settle(lambda: bool(link.sent))
        return link.sent


if __name__ == '__main__':
    unittest.main()
