"""What the host of a query does while others ask targets for it."""

import asyncio
import sys
import unittest
from datetime import timedelta
from types import FrameType
from typing import Any

from almonddock_core.dispatch import (
    Answer,
    Dispatch,
    DispatchedRequest,
    MergedAnswer,
)
from almonddock_core.model import ManualClock
from almonddock_core.placement import count_groups
from almonddock_core.tests.dispatch_cases import (
    HERE,
    MS,
    SECOND,
    DispatchCase,
    make_route,
)
from almonddock_gateway.entry._exchange import (
    ExchangeSettings,
    OutgoingRequest,
    TargetExchange,
)
from almonddock_gateway.relays import (
    RelayCancel,
    RelayQuery,
    RelayReply,
    RelayRouter,
)
from almonddock_gateway.tests.fakes import NAMES, FakeLink
from almonddock_gateway.tests.relay_cases import FakeLinks, FakePools

SHARDS = 18
HEDGE_DELAY = 30 * MS


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.make_exchange(SHARDS)

    def make_exchange(self, shards: int) -> None:
        self.clock = ManualClock()
        self.pools = FakePools()
        self.links = FakeLinks()
        groups = range(count_groups(shards))
        self.links.homes = {group: FakeLink() for group in groups}
        self.links.other_homes = {group: FakeLink() for group in groups}
        self.events: list[str] = []
        self.answers: list[Answer | None] = []
        self.case = DispatchCase(make_route(shards))
        router = RelayRouter(HERE)
        router.links = self.links  # type: ignore[assignment]
        self.exchange = TargetExchange(
            Dispatch(self.build_request(), self.case.context),
            OutgoingRequest(b'GET / HTTP/1.1\r\n', b'', b'a1', b'GET'),
            ExchangeSettings(NAMES, self.pools, self.clock, router),
            self.finish,
        )

    def build_request(self) -> DispatchedRequest:
        route = self.case.route
        return DispatchedRequest(
            'request-1', route, route.shards, timedelta(), SECOND
        )

    def finish(self, exchange: TargetExchange, answer: Answer | None) -> None:
        self.events.append('answer')
        self.answers.append(answer)

    async def start(self) -> None:
        self.exchange.start()
        self.addAsyncCleanup(self.stop, self.exchange)

    async def stop(self, exchange: TargetExchange) -> None:
        exchange.abandon()

    def list_queries(self, link: FakeLink) -> list[RelayQuery]:
        return [one for one in link.sent if isinstance(one, RelayQuery)]

    def reply(self, query: RelayQuery, *parts: int) -> None:
        stamps = tuple(query.targets[part].encode() for part in parts)
        self.links.handles[query.number](
            RelayReply(
                query.number, parts, stamps, (MS,) * len(parts), b'x' * 16, ()
            )
        )

    async def test_hedge_uses_the_connections_of_another_home(self) -> None:
        """Hosts opened a connection for each hedge while replies waited."""
        await self.start()
        first = self.list_queries(self.links.homes[0])[0]
        self.reply(first, *range(8))
        self.clock.advance(HEDGE_DELAY)
        self.exchange._tick()
        self.assertEqual(self.pools.pool.attempts, [])
        hedges = self.list_queries(self.links.other_homes[0])
        self.assertEqual([one.targets for one in hedges], [('desk-16/1',)])
        hedged = self.list_queries(self.links.other_homes[1])
        self.assertEqual(len(hedged), 9)

    async def test_records_of_a_shard_count_once_after_a_hedge(self) -> None:
        """Whichever of both replies comes first."""
        for hedge_first in (True, False):
            with self.subTest(hedge_first=hedge_first):
                self.setUp()
                await self.start()
                first, second = (
                    self.list_queries(self.links.homes[group])[0]
                    for group in (0, 1)
                )
                self.reply(second, *range(9))
                self.reply(first, *range(8))
                self.clock.advance(HEDGE_DELAY)
                self.exchange._tick()
                hedge = self.list_queries(self.links.other_homes[0])[0]
                replies = [(hedge, (0,)), (first, (8,))]
                for query, parts in replies[:: 1 if hedge_first else -1]:
                    if query.number in self.links.handles:
                        self.reply(query, *parts)
                answer = self.answers[0]
                assert isinstance(answer, MergedAnswer)
                self.assertEqual(len(answer.replies), SHARDS)
                groups = {id(one.group or one) for one in answer.replies}
                self.assertEqual(len(groups), 3)

    async def test_nothing_is_answered_after_the_caller_has_left(self) -> None:
        """A hedge that waited for reads said that the request had not run."""
        await self.start()
        self.clock.advance(HEDGE_DELAY)
        self.exchange._wake()
        self.exchange.abandon()
        for _ in range(3):
            await asyncio.sleep(0)
        self.exchange._tick(('desk-0',))
        self.assertEqual(self.answers, [None])

    async def test_answer_leaves_before_open_attempts_are_cancelled(
        self,
    ) -> None:
        """Callers waited for the messages that cancel what is late."""
        await self.start()
        for link in self.links.homes.values():
            query = self.list_queries(link)[0]
            self.reply(query, *range(8))
            send = link.send

            def record(message: object, send: object = send) -> None:
                if isinstance(message, RelayCancel):
                    self.events.append('cancel')

            link.send = record  # type: ignore[method-assign]
        self.clock.advance(self.exchange.dispatch.timing.partial_from)
        self.exchange._tick()
        self.assertEqual(self.events, ['answer', 'cancel', 'cancel'])

    async def test_time_of_this_host_is_not_lateness_of_targets(self) -> None:
        """A host that was slow to send a query hedged all of its shards."""
        start = self.exchange.dispatch.start
        slow = HEDGE_DELAY / 2

        def start_slowly(now: timedelta) -> object:
            actions = start(now)
            self.clock.advance(slow)
            return actions

        self.exchange.dispatch.start = start_slowly  # type: ignore[method-assign, assignment]
        await self.start()
        self.assertEqual(self.exchange.dispatch.wake_at, HEDGE_DELAY + slow)
        self.clock.advance(HEDGE_DELAY - MS)
        self.exchange._tick()
        hedges = [
            query
            for link in self.links.other_homes.values()
            for query in self.list_queries(link)
        ]
        self.assertEqual(hedges, [])

    async def test_home_that_is_cut_halfway_leaves_its_shards_to_the_other(
        self,
    ) -> None:
        """Each target is asked once, and what was sent counts once."""
        await self.start()
        first = self.list_queries(self.links.homes[0])[0]
        self.reply(first, *range(5))
        self.links.handles[first.number](None)
        retries = self.list_queries(self.links.other_homes[0])
        self.assertEqual(
            [one.targets for one in retries],
            [(f'{target.split("/")[0]}/1',) for target in first.targets[5:]],
        )
        self.links.handles[retries[0].number](None)
        self.assertEqual(len(self.list_queries(self.links.other_homes[0])), 4)
        self.assertEqual(self.pools.pool.attempts, [])
        for retry in retries[1:]:
            self.reply(retry, 0)
        self.reply(self.list_queries(self.links.homes[1])[0], *range(9))
        answer = self.answers[0]
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(len(answer.replies), SHARDS - 1)
        self.assertEqual(len(answer.missing), 1)

    async def test_target_is_asked_directly_without_another_home(self) -> None:
        """It stops, is frozen, or is this host."""
        self.links.other_homes = {}
        await self.start()
        first = self.list_queries(self.links.homes[0])[0]
        self.links.handles[first.number](None)
        self.assertEqual(len(self.pools.pool.attempts), 9)

    async def test_each_cancellation_takes_the_same_work(self) -> None:
        """Each went through all relay queries, one for each hedge."""
        few = await self.count_lines_of_end(36)
        self.assertLess(await self.count_lines_of_end(144), 5 * few)

    async def count_lines_of_end(self, shards: int) -> int:
        """Returns the lines of code that run when a hedged query ends."""
        self.make_exchange(shards)
        await self.start()
        self.clock.advance(HEDGE_DELAY)
        self.exchange._tick()
        lines = 0

        def trace(frame: FrameType, event: str, argument: object) -> Any:
            nonlocal lines
            lines += event == 'line'
            return trace

        before = sys.gettrace()
        sys.settrace(trace)
        try:
            self.exchange.give_up()
        finally:
            sys.settrace(before)
        self.assertEqual(len(self.answers), 1)
        return lines


if __name__ == '__main__':
    unittest.main()
