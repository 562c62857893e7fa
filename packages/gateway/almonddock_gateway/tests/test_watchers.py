"""Tests of reading the store through watchers."""

import asyncio
import unittest
from dataclasses import replace
from datetime import timedelta

from almonddock_core.model import ManualClock, join_revision
from almonddock_core.news import ReadSource
from almonddock_gateway.relays import (
    FallbackStore,
    StoreCache,
    StoreOutcome,
    StoreQuery,
    StoreReply,
    StoreServer,
)
from almonddock_gateway.relays._fallback_store import (
    MAX_DIRECT_READS,
    MAX_QUERIES_A_LINK,
    WATCHER_REST,
)
from almonddock_gateway.store import (
    CallCutError,
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


class WatcherTest(FallbackStoreCase):
    """A watcher reads each change of the store for many hosts."""

    def make_with_watcher(self, *steps: Step) -> FallbackStore:
        fallback = self.make(*steps)
        self.connect()
        self.links.has_watcher = True
        return fallback

    async def test_watcher_is_queried_instead_of_the_store(self) -> None:
        fallback = self.make_with_watcher(ONE)
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO)
        self.assertEqual(await self.ask_other_host(fallback, reply), TWO)
        self.assertEqual(self.store.calls, [])
        self.assertIs(fallback.source, ReadSource.WATCHER)

    async def test_store_is_read_directly_when_the_watcher_fails(self) -> None:
        nothing = StoreView((), 0)
        for answer in (None, StoreReply(7, StoreOutcome.LOST, nothing)):
            fallback = self.make_with_watcher(ONE)
            self.assertEqual(await self.ask_other_host(fallback, answer), ONE)
            self.assertEqual(self.store.calls, ['watch 5'])
            self.assertIs(fallback.source, ReadSource.STORE)

    async def test_unresponsive_watcher_times_out(self) -> None:
        fallback = self.make_with_watcher(ONE)
        view = await fallback.watch('p/', 5, timedelta(seconds=1))
        self.assertEqual(view, ONE)
        self.assertEqual(len(self.links.link.sent), 1)

    async def test_lost_history_is_raised(self) -> None:
        fallback = self.make_with_watcher(ONE)
        reply = StoreReply(7, StoreOutcome.HISTORY_LOST, StoreView((), 0))
        with self.assertRaises(HistoryLostError):
            await self.ask_other_host(fallback, reply)


class DatedReadTest(FallbackStoreCase):
    """Withdrawn keys counted on hosts that read old news through others."""

    async def ask_dated(self, view_age: timedelta | None) -> StoreView:
        """Returns what a watcher tells, or else the store."""
        fallback = self.make(ONE)
        fallback.age_bound = timedelta(seconds=5)
        self.connect()
        self.links.has_watcher = True
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO, view_age)
        return await self.ask_other_host(fallback, reply)

    async def test_view_is_as_old_as_the_watchers_own_read(self) -> None:
        for age_s in (1.5, 0, -0.5):
            view = await self.ask_dated(timedelta(seconds=age_s))
            self.assertEqual(view, TWO)
            self.assertEqual(view.as_of, timedelta(seconds=-age_s))

    async def test_store_is_read_if_a_watcher_knows_too_little(self) -> None:
        """A watcher of an earlier release does not say what it knows."""
        for view_age in (None, timedelta(seconds=4)):
            view = await self.ask_dated(view_age)
            self.assertEqual(view, ONE)
            self.assertEqual(view.as_of, timedelta())

    async def test_watcher_of_no_use_is_not_asked_at_once_again(self) -> None:
        """Each wait for it made what the host knew a second older."""
        fallback = self.make(ONE, ONE, ONE)
        fallback.age_bound = timedelta(seconds=5)
        clock = ManualClock()
        fallback._clock = clock
        self.connect()
        self.links.has_watcher = True
        lost = StoreReply(7, StoreOutcome.LOST, StoreView((), 0))
        self.assertEqual(await self.ask_other_host(fallback, lost), ONE)
        await fallback.watch('p/', 5, timedelta())
        self.assertEqual(len(self.links.link.sent), 1)
        clock.advance(WATCHER_REST)
        self.links.handle = None
        self.assertEqual(await self.ask_other_host(fallback, lost), ONE)
        self.assertEqual(len(self.links.link.sent), 2)

    async def test_call_that_is_cut_is_made_again(self) -> None:
        """A store that cuts waiting watches answers the next call."""
        for bound, calls in ((timedelta(seconds=5), 2), (None, 1)):
            fallback = self.make(CallCutError('x'), ONE)
            fallback.age_bound = bound
            if bound is None:
                with self.assertRaises(StoreLostError):
                    await fallback.watch('p/', 5, timedelta())
            else:
                view = await fallback.watch('p/', 5, timedelta())
                self.assertEqual(view, ONE)
            self.assertEqual(len(self.store.calls), calls)

    async def test_time_on_the_way_makes_a_view_older(self) -> None:
        """A host that was frozen took an old reply for a fresh one."""
        clock = ManualClock()
        fallback = self.make(ONE)
        fallback._clock = clock
        self.connect()
        self.links.has_watcher = True
        task = asyncio.create_task(fallback.watch('p/', 5, timedelta()))
        await self.settle(lambda: self.links.handle is not None)
        clock.advance(timedelta(seconds=60))
        self.links.deliver(
            StoreReply(7, StoreOutcome.ANSWERED, TWO, timedelta(seconds=1))
        )
        self.assertEqual((await task).as_of, timedelta(seconds=-1))

    async def test_answer_with_more_to_come_dates_nothing(self) -> None:
        cache = StoreCache('', lambda: True)
        for view, expected in (
            (replace(ONE, as_of=timedelta(seconds=1)), 1),
            (replace(TWO, as_of=timedelta(seconds=9), has_more=True), 1),
            (replace(TWO, as_of=timedelta(seconds=3)), 3),
        ):
            cache.apply_changes(view, ())
            told = await cache.read(None, timedelta())
            self.assertEqual(told.as_of, timedelta(seconds=expected))


class StoreCacheTest(StoreCase):
    def setUp(self) -> None:
        self.fresh = True
        self.cache = StoreCache('', lambda: self.fresh)
        self.cache.apply_snapshot(ONE)
        self.store = ScriptedStore(TWO, TWO)

    async def ask(self, after: int | None, wait_s: float = 10) -> StoreView:
        link = FakeLink()
        server = StoreServer(self.store, self.cache, ManualClock())
        wait = timedelta(seconds=wait_s)
        server.receive(link, StoreQuery(3, '', after, wait))
        await self.settle(lambda: bool(link.sent))
        reply = link.sent[0]
        assert isinstance(reply, StoreReply)
        return reply.view

    async def test_watcher_answers_from_its_cache(self) -> None:
        self.assertEqual(await self.ask(None), ONE)
        self.assertEqual(await self.ask(5, 0), StoreView([], 5))
        self.assertEqual(self.store.calls, [])

    async def test_query_waits_for_a_change(self) -> None:
        asked = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0)
        self.cache.apply_changes(StoreView(ONE.items, 6), (5,))
        await asyncio.sleep(0)
        self.cache.apply_changes(StoreView(TWO.items, 7), ())
        self.assertEqual(await asked, StoreView(TWO.items, 7))

    async def test_queries_of_one_host_are_bounded(self) -> None:
        """Queries that waited for years took memory and descriptors."""
        link = FakeLink()
        server = StoreServer(self.store, self.cache, ManualClock())
        for number in range(MAX_QUERIES_A_LINK + 1):
            query = StoreQuery(number, '', 5, timedelta(days=10_000))
            server.receive(link, query)
        lost = StoreReply(
            MAX_QUERIES_A_LINK, StoreOutcome.LOST, StoreView((), 0)
        )
        self.assertEqual(link.sent, [lost])
        tasks = server._tasks[link]
        server.forget(link)
        await self.settle(lambda: not tasks)
        self.assertEqual(link.sent, [lost])

    async def test_queries_passed_on_to_the_store_are_bounded(self) -> None:
        """Each took a connection, until no descriptor was left."""
        self.fresh = False
        self.store = ScriptedStore()
        server = StoreServer(self.store, self.cache, ManualClock())
        for _ in range(MAX_DIRECT_READS + 1):
            link = FakeLink()
            server.receive(link, StoreQuery(1, '', None, timedelta()))
        await self.settle(lambda: bool(link.sent))
        lost = StoreReply(1, StoreOutcome.LOST, StoreView((), 0))
        self.assertEqual(link.sent, [lost])
        self.assertEqual(len(self.store.calls), MAX_DIRECT_READS)

    async def test_cache_that_is_not_fresh_is_not_served(self) -> None:
        """Two hosts without the store could serve each other stale data."""
        self.fresh = False
        self.assertEqual(await self.ask(5), TWO)
        self.assertEqual(self.store.calls, ['watch 5'])


class RestoredCacheTest(StoreCase):
    """Hosts ask a watcher that has read era 2 of the store."""

    def setUp(self) -> None:
        self.view = place_in_era(ONE, 2)
        self.cache = StoreCache('', lambda: True)
        self.cache.apply_snapshot(self.view)
        self.store = ScriptedStore(place_in_era(TWO, 3))

    async def ask(
        self, after: int | None, *, knows_eras: bool = True
    ) -> StoreReply:
        link = FakeLink()
        server = StoreServer(self.store, self.cache, ManualClock())
        query = StoreQuery(3, '', after, timedelta(), knows_eras=knows_eras)
        server.receive(link, query)
        await self.settle(lambda: bool(link.sent))
        reply = link.sent[0]
        assert isinstance(reply, StoreReply)
        return reply

    async def test_revision_of_an_earlier_era_has_no_history(self) -> None:
        """The number is in the cache too, but of another write."""
        for number in (4, 5, 6):
            reply = await self.ask(join_revision(1, number))
            self.assertIs(reply.outcome, StoreOutcome.HISTORY_LOST)
        self.assertEqual(self.store.calls, [])

    async def test_revision_of_the_same_era_is_answered(self) -> None:
        reply = await self.ask(join_revision(2, 5))
        self.assertEqual(reply.view, StoreView([], self.view.revision))

    async def test_host_that_knows_a_later_era_is_not_served_from_the_cache(
        self,
    ) -> None:
        after = join_revision(3, 4)
        reply = await self.ask(after)
        self.assertEqual(self.store.calls, [f'watch {after}'])
        self.assertEqual(reply.view, place_in_era(TWO, 3))

    async def test_host_of_an_earlier_release_is_told_changes(self) -> None:
        self.cache.apply_changes(place_in_era(TWO, 2), ())
        reply = await self.ask(5, knows_eras=False)
        self.assertEqual(reply.view, place_in_era(TWO, 2))


if __name__ == '__main__':
    unittest.main()
