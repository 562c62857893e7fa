"""Tests of queries relayed through another host."""

import unittest
from dataclasses import replace
from datetime import timedelta

from almonddock_core.dispatch import (
    Failure,
    ReplyKind,
    Send,
    TargetReply,
)
from almonddock_core.memory import HostMemory
from almonddock_core.model import ManualClock
from almonddock_core.routing import Costs, TargetTable
from almonddock_core.tests.dispatch_cases import THERE, make_entry
from almonddock_gateway.relays import (
    CostExchange,
    PartFailure,
    Relay,
    RelayCancel,
    RelayReply,
    RelayRouter,
    RelayServer,
    RelaySettings,
)
from almonddock_gateway.relays._server import MAX_RELAYED_BYTES
from almonddock_gateway.tests.fakes import NAMES, FakeLink
from almonddock_gateway.tests.relay_cases import (
    MS,
    FakeLinks,
    FakePools,
    make_query,
)


class RelayServerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.pools = FakePools()
        self.pool = self.pools.pool
        self.targets = TargetTable()
        for number in range(3):
            self.targets.put(make_entry(f't{number}'), self.clock.now())
        self.make_server(CostExchange())
        self.link = FakeLink()

    def make_server(self, costs: CostExchange) -> None:
        self.server = RelayServer(
            RelaySettings(NAMES, self.targets, self.pools, self.clock, costs),
            HostMemory(self.clock),
        )

    def start(self, *targets: str) -> None:
        self.server.receive(self.link, make_query(*targets))

    def get_replies(self) -> list[RelayReply]:
        return [one for one in self.link.sent if isinstance(one, RelayReply)]

    async def test_queries_beyond_the_bound_are_refused(self) -> None:
        """Queries in progress took memory that nothing bounded."""
        query = make_query('t0', 't1')
        large = replace(query, body=bytes(MAX_RELAYED_BYTES // 3))
        self.server.receive(self.link, large)
        self.assertEqual(self.get_replies(), [])
        for number in (query.number, query.number + 1):
            self.server.receive(self.link, replace(large, number=number))
            refusal = self.get_replies()[-1]
            failures = ((0, PartFailure.UNSENT), (1, PartFailure.UNSENT))
            self.assertEqual(refusal.number, number)
            self.assertEqual(refusal.failures, failures)
        self.assertEqual(len(self.pool.attempts), 2)
        self.server.forget(self.link)
        self.server.receive(self.link, large)
        self.assertEqual(len(self.pool.attempts), 4)

    async def test_replies_are_merged_into_one_message(self) -> None:
        self.start('t0', 't1', 't2')
        for number, letter in enumerate((b'a', b'c', b'b')):
            self.assertEqual(self.get_replies(), [])
            self.pool.reply(number, letter * 16)
        reply = self.get_replies()[0]
        self.assertEqual(reply.parts, (0, 1, 2))
        self.assertEqual(reply.stamps, (b's0', b's1', b's2'))
        self.assertEqual(reply.records, b'c' * 16 + b'b' * 16)

    async def test_queries_that_waited_for_a_paused_host_are_not_sent(
        self,
    ) -> None:
        """Their callers may have left while the host stood still.

        The query and its cancellation then arrive together, and the target
        has started to work before the second one is read.
        """
        self.clock.advance(1000 * MS)
        self.start('t0', 't1')
        self.assertEqual(self.pool.attempts, [])
        failures = self.get_replies()[0].failures
        self.assertEqual(
            failures, ((0, PartFailure.UNSENT), (1, PartFailure.UNSENT))
        )
        self.server.record_alive()
        self.start('t0')
        self.assertEqual(len(self.pool.attempts), 1)

    async def test_costs_of_targets_near_are_sent_once(self) -> None:
        """Every reply would carry them otherwise, several a second."""
        near: list[Costs] = [(('t9', 4.0),), (('t8', 3.0),)]
        self.make_server(CostExchange(list_near=lambda: near[0]))
        for _ in range(2):
            self.start('t0')
            self.pool.reply(-1, b'a' * 16)
        near.pop(0)
        self.start('t0')
        self.pool.reply(-1, b'a' * 16)
        sent = [reply.costs for reply in self.get_replies()]
        self.assertEqual(sent, [(('t9', 4.0),), (), (('t8', 3.0),)])

    async def test_relayed_requests_show_the_health_of_targets(self) -> None:
        """The host near a target sees more of its requests than any other."""
        query = make_query('t0', 't1', 't2')
        query = replace(query, typical_latency=20 * MS)
        self.server.receive(self.link, query)
        health = [target.health for target in self.targets.list_all()]
        self.assertEqual([one.in_flight for one in health], [1, 1, 1])
        self.clock.advance(160 * MS)
        self.pool.reply(0, b'a' * 16)
        self.pool.attempts[1].fail(Failure.LOST)
        self.server.forget(self.link)
        now = self.clock.now()
        slow, failed, cancelled = health
        self.assertEqual([one.in_flight for one in health], [0, 0, 0])
        self.assertAlmostEqual(slow.measure_cost(now), 1 + 0.3 * 7)
        self.assertGreater(failed.ejected_until, now)
        self.assertGreater(cancelled.measure_cost(now), 3)

    async def test_records_that_are_not_needed_are_left_out(self) -> None:
        """A late shard sends only records that can still enter the answer."""
        self.server.receive(
            self.link,
            make_query('t0', 't1', 't2', threshold=b'b' * 16),
        )
        relayed = next(iter(self.server._running.values()))
        self.server._flush(relayed)
        for number, body in enumerate((b'ad', b'ce', b'de')):
            records = b''.join(bytes([letter]) * 16 for letter in body)
            self.pool.reply(number, records)
            self.server._send_gathered(relayed)
        sent = [reply.records for reply in self.get_replies()]
        self.assertEqual(sent, [b'd' * 16, b'e' * 16 + b'c' * 16, b'e' * 16])
        stamps = [reply.stamps for reply in self.get_replies()]
        self.assertEqual(stamps, [(b's0',), (b's1',), (b's2',)])

    async def test_late_replies_of_a_short_time_travel_together(self) -> None:
        """Hosts with a third of a core read one message for each of them."""
        self.start('t0', 't1', 't2')
        relayed = next(iter(self.server._running.values()))
        self.server._flush(relayed)
        for number in range(2):
            self.pool.reply(number, b'a' * 16)
        self.assertEqual(self.get_replies(), [])
        self.server._send_gathered(relayed)
        self.assertEqual([one.parts for one in self.get_replies()], [(0, 1)])
        self.pool.reply(2, b'a' * 16)
        self.assertEqual(len(self.get_replies()), 2)

    async def test_failures_are_sent_immediately(self) -> None:
        self.start('t0', 't1')
        self.pool.reply(0, b'', status=500)
        self.assertEqual(
            self.get_replies()[0].failures,
            ((0, PartFailure.FAILED),),
        )

    async def test_unknown_target_is_reported_as_unsent(self) -> None:
        self.start('nobody', 't0')
        self.assertEqual(
            self.get_replies()[0].failures,
            ((0, PartFailure.UNSENT),),
        )
        self.assertEqual(len(self.pool.attempts), 1)

    async def test_lost_attempt_is_reported_as_lost(self) -> None:
        self.start('t0', 't1')
        self.pool.attempts[0].fail(Failure.LOST)
        self.assertEqual(
            self.get_replies()[0].failures,
            ((0, PartFailure.LOST),),
        )

    async def test_withdrawn_attempt_is_reported_as_unsent(self) -> None:
        """The other host may send the sub-query to another target."""
        self.start('t0', 't1')
        self.pool.attempts[0].fail(Failure.WITHDRAWN)
        self.assertEqual(
            self.get_replies()[0].failures,
            ((0, PartFailure.UNSENT),),
        )
        target = self.targets.find('t0')
        assert target is not None
        self.assertEqual(target.health.connection_failures, 0)
        self.assertTrue(self.server.busy)
        self.pool.reply(1, b'a' * 16)
        self.assertFalse(self.server.busy)

    async def test_cancelled_part_is_left_out(self) -> None:
        self.start('t0', 't1', 't2')
        self.pool.reply(0, b'a' * 16)
        self.server.receive(self.link, RelayCancel(7, (0, 1)))
        self.assertEqual(self.pool.cancelled, [self.pool.attempts[1]])
        self.pool.reply(2, b'b' * 16)
        self.assertEqual(self.get_replies()[0].parts, (2,))

    async def test_closed_link_cancels_its_queries(self) -> None:
        self.start('t0', 't1')
        self.server.forget(self.link)
        self.assertEqual(len(self.pool.cancelled), 2)
        self.assertEqual(self.link.sent, [])

    async def test_deadline_of_targets_shrinks(self) -> None:
        self.start('t0')
        self.clock.advance(200 * MS)
        sent = self.pool.attempts[0].encode()
        self.assertIn(b'x-deadline: 300\r\n', sent)
        self.assertIn(b'x-expected: t0\r\n', sent)


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.links = FakeLinks()
        self.router = RelayRouter('here')
        self.router.links = self.links  # type: ignore[assignment]
        self.outcomes: list[tuple[int, TargetReply | Failure]] = []
        self.relay = Relay(
            self.router,
            self.links.link,
            (10, 11, 12),
            self.outcomes.extend,
        )
        self.relay.send_query(make_query('t0', 't1', 't2'))

    def test_reply_that_does_not_fit_the_query_counts_as_lost(self) -> None:
        for parts, stamps, failures in (
            ((0, 3), (b's0', b's3'), ()),
            ((0, 1), (b's0',), ()),
            ((0,), (b's0',), ((9, PartFailure.LOST),)),
        ):
            with self.subTest(parts=parts, failures=failures):
                self.setUp()
                self.links.deliver(
                    RelayReply(
                        7, parts, stamps, (MS,) * len(parts), b'', failures
                    ),
                )
                self.assertEqual(
                    self.outcomes,
                    [(number, Failure.LOST) for number in (10, 11, 12)],
                )

    def test_parts_become_outcomes_of_attempts(self) -> None:
        self.links.deliver(
            RelayReply(
                7,
                (0, 2),
                (b's0', b's2'),
                (MS, MS),
                b'x' * 16,
                ((1, PartFailure.LOST),),
            ),
        )
        kinds = [
            outcome if isinstance(outcome, Failure) else outcome.kind
            for _, outcome in self.outcomes
        ]
        self.assertEqual([number for number, _ in self.outcomes], [10, 12, 11])
        self.assertEqual(
            kinds,
            [ReplyKind.SUCCESS, ReplyKind.SUCCESS, Failure.LOST],
        )

    def test_lost_link_fails_pending_attempts(self) -> None:
        self.relay.cancel(10)
        self.links.deliver(None)
        self.assertEqual(
            self.outcomes,
            [(11, Failure.LOST), (12, Failure.LOST)],
        )

    def test_end_cancels_pending_parts_once(self) -> None:
        self.relay.cancel(11)
        self.relay.send_cancelled()
        self.relay.end()
        self.assertEqual(
            self.links.link.sent[1:],
            [RelayCancel(7, (1,)), RelayCancel(7, (0, 2))],
        )
        self.assertIsNone(self.links.handle)


class RelayRouterTest(unittest.TestCase):
    def test_groups_need_a_link_to_another_data_centre(self) -> None:
        table = TargetTable()
        for number, data_centre in enumerate(
            ('here', THERE, THERE, 'far', 'far')
        ):
            table.put(
                make_entry(f't{number}', data_centre=data_centre), timedelta()
            )
        sends = [
            Send(number, target)
            for number, target in enumerate(table.list_all())
        ]
        shards = (sends[0].target.entry.service,)
        router = RelayRouter('here')
        self.assertEqual(router.group(sends, shards), [])
        links = FakeLinks()
        router.links = links  # type: ignore[assignment]
        expected = [(links.link, sends[1:3])]
        self.assertEqual(router.group(sends, shards), expected)
        expected = [(links.link, sends[1:2])]
        self.assertEqual(router.group(sends[:2], shards), expected)
        self.assertEqual(router.group(sends[:1], shards), [])

    def test_shards_of_this_data_centre_go_to_their_homes(self) -> None:
        """Others are asked directly: they have no home, or it is this host."""
        shards = tuple(f'desk-{number:02}' for number in range(20))
        table = TargetTable()
        for service in shards:
            table.put(make_entry(service, service, 'here'), timedelta())
        sends = [
            Send(number, target)
            for number, target in enumerate(table.list_all())
        ]
        router = RelayRouter('here')
        links = FakeLinks()
        router.links = links  # type: ignore[assignment]
        self.assertEqual(router.group(sends, shards), [])
        links.homes = {0: FakeLink(), 2: FakeLink()}
        grouped = router.group(sends, shards, {'desk-01'})
        expected = [
            (links.homes[0], [sends[0], *sends[2:7]]),
            (links.homes[2], sends[14:]),
        ]
        self.assertEqual(grouped, expected)

    def test_shard_is_relayed_only_once(self) -> None:
        """Two merged replies with its records would count them twice."""
        table = TargetTable()
        for number in range(3):
            entry = make_entry(f't{number}', f'desk-{number}', THERE)
            table.put(entry, timedelta())
        sends = [
            Send(number, target)
            for number, target in enumerate(table.list_all())
        ]
        router = RelayRouter('here')
        links = FakeLinks()
        router.links = links  # type: ignore[assignment]
        everything = ('desk-0', 'desk-1', 'desk-2')
        grouped = router.group(sends, everything, {'desk-1'})
        self.assertEqual(grouped, [(links.link, [sends[0], sends[2]])])
        self.assertEqual(router.group(sends, everything, everything), [])


if __name__ == '__main__':
    unittest.main()
