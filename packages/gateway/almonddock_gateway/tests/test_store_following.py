"""Following the store through its troubles."""

import asyncio
import os
import unittest
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.model import ManualClock
from almonddock_core.news import NewsSource
from almonddock_gateway.controllers import Follower, FollowSettings
from almonddock_gateway.relays import (
    LinkMessage,
    RelayBoard,
    SharedStore,
    StoreNews,
    StoreOutcome,
    StoreQuery,
    StoreReply,
    StoreServer,
)
from almonddock_gateway.store import (
    HistoryLostError,
    StoreItem,
    StoreLostError,
    StoreView,
)
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    Telemetry,
)
from almonddock_gateway.tests.fakes import FakeLink
from almonddock_gateway.tests.test_relays import FakeLinks

ONE = StoreView([StoreItem('p/a', b'1', 5)], 5)
TWO = StoreView([StoreItem('p/a', b'2', 6)], 6)

Step = StoreView | Exception


class ScriptedStore:
    """Answers each call with the next step; waits for ever at the end."""

    def __init__(self, *steps: Step) -> None:
        self.calls: list[str] = []
        self._steps = list(steps)

    async def read_prefix(self, prefix: str) -> StoreView:
        """Takes a step."""
        return await self._step('read')

    async def read_prefix_stale(self, prefix: str) -> StoreView:
        """Takes a step."""
        return await self._step('stale')

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: timedelta,
    ) -> StoreView:
        """Takes a step."""
        return await self._step(f'watch {after}')

    async def grant_lease(self, time_to_live: timedelta) -> int:
        """Is not asked in these tests."""
        raise NotImplementedError

    async def renew_lease(self, lease: int) -> None:
        """Is not asked in these tests."""
        raise NotImplementedError

    async def end_lease(self, lease: int) -> None:
        """Is not asked in these tests."""
        raise NotImplementedError

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Is not asked in these tests."""
        raise NotImplementedError

    async def _step(self, call: str) -> StoreView:
        self.calls.append(call)
        if not self._steps:
            await asyncio.Event().wait()
        step = self._steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


class StoreCase(unittest.IsolatedAsyncioTestCase):
    def make_telemetry(self) -> Telemetry:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        return Telemetry(
            LineWriter(writer, {}),
            GatewayMetrics(),
            ManualClock(),
        )

    async def settle(self, condition: Callable[[], bool]) -> None:
        """Lets other tasks run until something holds."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.001)


class FollowerTest(StoreCase):
    async def follow(self, calls: int, *steps: Step) -> ScriptedStore:
        """Runs a follower until the store got so many calls."""
        self.all: list[StoreView] = []
        self.changes: list[StoreView] = []
        self.backs = 0
        store = ScriptedStore(*steps)
        follower = Follower(
            FollowSettings(
                prefix='p/',
                wait=timedelta(seconds=1),
                choose_pause=lambda is_returning: timedelta(),
                take_all=self.all.append,
                take_changes=self.changes.append,
                store_back=self.count_back,
            ),
            store,
            ManualClock(),
            self.make_telemetry(),
        )
        task = asyncio.create_task(follower.run())
        await self.settle(lambda: len(store.calls) >= calls)
        task.cancel()
        return store

    def count_back(self) -> None:
        self.backs += 1

    async def test_reads_once_and_watches_from_there(self) -> None:
        store = await self.follow(3, ONE, TWO)
        self.assertEqual(store.calls, ['read', 'watch 5', 'watch 6'])
        self.assertEqual((self.all, self.changes), ([ONE], [TWO]))

    async def test_lost_history_is_read_again(self) -> None:
        store = await self.follow(4, ONE, HistoryLostError('x'), TWO)
        self.assertEqual(store.calls, ['read', 'watch 5', 'read', 'watch 6'])

    async def test_lost_store_is_asked_again_from_the_same_place(self) -> None:
        store = await self.follow(4, ONE, StoreLostError('x'), TWO)
        self.assertEqual(
            store.calls,
            ['read', 'watch 5', 'watch 5', 'watch 6'],
        )
        self.assertEqual(self.backs, 1)

    async def test_revision_never_goes_back(self) -> None:
        old = StoreView([], 3)
        store = await self.follow(3, TWO, old)
        self.assertEqual(store.calls, ['read', 'watch 6', 'watch 6'])

    async def test_store_back_comes_before_what_it_says(self) -> None:
        order: list[str] = []
        store = ScriptedStore(StoreLostError('x'), ONE)
        follower = Follower(
            FollowSettings(
                prefix='p/',
                wait=timedelta(seconds=1),
                choose_pause=lambda is_returning: timedelta(),
                take_all=lambda view: order.append('all'),
                take_changes=lambda view: order.append('changes'),
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


class SharedStoreCase(StoreCase):
    def make(self, *steps: Step) -> SharedStore:
        self.links = FakeLinks()
        self.board = RelayBoard('here')
        self.store = ScriptedStore(*steps)
        return SharedStore(
            self.store,
            self.board,
            'hosts/',
            self.make_telemetry(),
        )

    def connect(self) -> None:
        self.board.links = self.links  # type: ignore[assignment]

    async def ask_through_peer(
        self,
        shared: SharedStore,
        answer: LinkMessage | None,
    ) -> StoreView:
        task = asyncio.create_task(
            shared.watch('p/', 5, timedelta(seconds=1)),
        )
        await self.settle(lambda: self.links.handle is not None)
        self.links.deliver(answer)
        return await task


class SharedStoreTest(SharedStoreCase):
    async def test_own_calls_come_first(self) -> None:
        shared = self.make(ONE)
        self.connect()
        self.assertEqual(await shared.read_prefix('p/'), ONE)
        self.assertEqual(self.links.link.sent, [])

    async def test_without_a_link_the_loss_is_told(self) -> None:
        shared = self.make(StoreLostError('x'))
        with self.assertRaises(StoreLostError):
            await shared.read_prefix('p/')

    async def test_lost_store_is_read_through_a_peer(self) -> None:
        shared = self.make(StoreLostError('x'))
        self.connect()
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO)
        self.assertEqual(await self.ask_through_peer(shared, reply), TWO)
        query = self.links.link.sent[0]
        self.assertEqual(
            query,
            StoreQuery(7, 'p/', 5, timedelta(seconds=1)),
        )
        self.assertIs(shared.source, NewsSource.PEER)

    async def test_what_the_peer_meets_is_passed_on(self) -> None:
        nothing = StoreView((), 0)
        for outcome, expected in (
            (StoreOutcome.LOST, StoreLostError),
            (StoreOutcome.HISTORY_LOST, HistoryLostError),
        ):
            with self.subTest(outcome=outcome):
                shared = self.make(StoreLostError('x'))
                self.connect()
                reply = StoreReply(7, outcome, nothing)
                with self.assertRaises(expected):
                    await self.ask_through_peer(shared, reply)

    async def test_lost_link_is_a_lost_store(self) -> None:
        shared = self.make(StoreLostError('x'))
        self.connect()
        with self.assertRaises(StoreLostError):
            await self.ask_through_peer(shared, None)


class WatcherTest(SharedStoreCase):
    """Load: many hosts of one data centre, each of which needs the news."""

    def watched(self, *steps: Step) -> SharedStore:
        shared = self.make(*steps)
        self.connect()
        self.links.watched = True
        return shared

    async def test_watcher_is_asked_and_the_store_is_not(self) -> None:
        shared = self.watched(ONE)
        reply = StoreReply(7, StoreOutcome.ANSWERED, TWO)
        self.assertEqual(await self.ask_through_peer(shared, reply), TWO)
        self.assertEqual(self.store.calls, [])
        self.assertIs(shared.source, NewsSource.WATCHER)

    async def test_store_is_read_directly_when_the_watcher_fails(self) -> None:
        nothing = StoreView((), 0)
        for answer in (None, StoreReply(7, StoreOutcome.LOST, nothing)):
            shared = self.watched(ONE)
            self.assertEqual(await self.ask_through_peer(shared, answer), ONE)
            self.assertEqual(self.store.calls, ['watch 5'])
            self.assertIs(shared.source, NewsSource.STORE)

    async def test_watcher_that_stands_still_is_left_in_time(self) -> None:
        shared = self.watched(ONE)
        view = await shared.watch('p/', 5, timedelta(seconds=1))
        self.assertEqual(view, ONE)
        self.assertEqual(len(self.links.link.sent), 1)

    async def test_lost_history_is_passed_on(self) -> None:
        shared = self.watched(ONE)
        reply = StoreReply(7, StoreOutcome.HISTORY_LOST, StoreView((), 0))
        with self.assertRaises(HistoryLostError):
            await self.ask_through_peer(shared, reply)


class StoreNewsTest(StoreCase):
    def setUp(self) -> None:
        self.fresh = True
        self.news = StoreNews('', lambda: self.fresh)
        self.news.take_all(ONE)
        self.store = ScriptedStore(TWO, TWO)

    async def ask(self, after: int | None, wait_s: float = 10) -> StoreView:
        link = FakeLink()
        server = StoreServer(self.store, self.news)
        wait = timedelta(seconds=wait_s)
        server.receive(link, StoreQuery(3, '', after, wait))
        await self.settle(lambda: bool(link.sent))
        reply = link.sent[0]
        assert isinstance(reply, StoreReply)
        return reply.view

    async def test_watcher_answers_from_what_it_knows(self) -> None:
        self.assertEqual(await self.ask(None), ONE)
        self.assertEqual(await self.ask(5, 0), StoreView([], 5))
        self.assertEqual(self.store.calls, [])

    async def test_question_waits_for_news(self) -> None:
        asked = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0)
        self.news.take_changes(StoreView(ONE.items, 6), ('p/a',))
        await asyncio.sleep(0)
        self.news.take_changes(StoreView(TWO.items, 7), ())
        self.assertEqual(await asked, StoreView(TWO.items, 7))

    async def test_what_is_not_fresh_is_not_handed_on(self) -> None:
        """Two hosts without the store must not keep each other content."""
        self.fresh = False
        self.assertEqual(await self.ask(5), TWO)
        self.assertEqual(self.store.calls, ['watch 5'])


class StoreServerTest(StoreCase):
    async def test_reads_for_others(self) -> None:
        for step, outcome, view in (
            (ONE, StoreOutcome.ANSWERED, ONE),
            (StoreLostError('x'), StoreOutcome.LOST, StoreView((), 0)),
            (
                HistoryLostError('x'),
                StoreOutcome.HISTORY_LOST,
                StoreView((), 0),
            ),
        ):
            for after, call in ((None, 'read'), (5, 'watch 5')):
                with self.subTest(outcome=outcome, after=after):
                    store = ScriptedStore(step)
                    sent = await self.ask(store, after)
                    self.assertEqual(store.calls, [call])
                    self.assertEqual(sent, [StoreReply(3, outcome, view)])

    async def ask(
        self,
        store: ScriptedStore,
        after: int | None,
    ) -> list[LinkMessage]:
        link = FakeLink()
        server = StoreServer(store, StoreNews('', bool))
        server.receive(link, StoreQuery(3, 'p/', after, timedelta()))
        await self.settle(lambda: bool(link.sent))
        return link.sent


if __name__ == '__main__':
    unittest.main()
