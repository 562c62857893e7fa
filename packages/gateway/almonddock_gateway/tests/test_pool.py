"""Tests of the connection pool of one target."""

import asyncio
import unittest
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.dispatch import Failure
from almonddock_core.routing import KnownTarget, TargetTable
from almonddock_core.tests.dispatch_cases import make_entry
from almonddock_gateway.http import ClientConnection, ReplyMatch
from almonddock_gateway.targets import (
    PoolSettings,
    TargetAttempt,
    TargetPool,
)
from almonddock_gateway.tests.fakes import FakeTransport

REPLY = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


class FakeLoop:
    """A loop whose clock, timers and dials are controlled by a test."""

    def __init__(self) -> None:
        self.now: float = 100
        #: The exception that dials raise; None lets them succeed.
        self.fault: Exception | None = None
        self.timers: list[Callable[[], None]] = []
        self.transports: list[FakeTransport] = []
        self.connections: list[ClientConnection] = []
        self._loop = asyncio.get_running_loop()

    def time(self) -> float:
        """Returns the time set by the test."""
        return self.now

    def call_later(self, wait: float, work: Callable[[], None]) -> object:
        """Records a timer for the test to fire."""
        self.timers.append(work)
        return work

    def call_soon(self, work: Callable[..., None], *arguments: object) -> None:
        """Calls back on the real loop."""
        self._loop.call_soon(work, *arguments)

    def create_task(self, work: object) -> object:
        """Runs a task on the real loop."""
        return self._loop.create_task(work)  # type: ignore[arg-type]

    async def create_connection(
        self,
        build: Callable[[], ClientConnection],
        host: str,
        port: int,
    ) -> tuple[FakeTransport, ClientConnection]:
        """Connects, or raises the fault."""
        if self.fault is not None:
            raise self.fault
        connection = build()
        transport = FakeTransport()
        connection.connection_made(transport)
        self.transports.append(transport)
        self.connections.append(connection)
        return transport, connection


class PoolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        table = TargetTable()
        table.put(make_entry('t1'), timedelta())
        self.target = table.list_all()[0]
        #: Whether the target was unreachable at each report.
        self.reported: list[bool] = []
        self.failures: list[Failure] = []
        self.limit = 2
        self.may_wait = True
        self.loop = FakeLoop()
        self.pool = TargetPool(
            PoolSettings(
                self.target,
                lambda: self.limit,
                self.report_reachability,
                lambda: self.may_wait,
            ),
        )
        self.pool._loop = self.loop  # type: ignore[assignment]

    def report_reachability(self, target: KnownTarget) -> None:
        self.reported.append(target.health.unreachable)

    async def submit(
        self,
        name: bytes = b'x',
        *,
        priority: int = 1,
        turn: float = 0,
        fresh_only: bool = False,
    ) -> TargetAttempt:
        attempt = TargetAttempt(
            encode=lambda: name,
            receive=lambda reply: ReplyMatch.ACCEPTED,
            fail=self.failures.append,
            fresh_only=fresh_only,
            priority=priority,
            turn=turn,
        )
        self.pool.submit(attempt)
        await self.run_tasks()
        return attempt

    async def run_tasks(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    def list_written(self) -> list[bytes]:
        return [transport.written for transport in self.loop.transports]

    async def test_idle_connection_is_used_again(self) -> None:
        await self.submit(b'a')
        self.loop.connections[0].data_received(REPLY)
        await self.submit(b'b')
        self.assertEqual(self.list_written(), [b'ab'])

    async def test_limit_is_kept_and_the_queue_is_ordered_by_priority(
        self,
    ) -> None:
        for name, priority in ((b'a', 1), (b'b', 1), (b'c', 2), (b'd', 0)):
            await self.submit(name, priority=priority)
        self.assertEqual(self.list_written(), [b'a', b'b'])
        self.loop.connections[0].data_received(REPLY)
        self.assertEqual(self.list_written(), [b'ad', b'b'])

    async def test_queue_of_one_priority_is_ordered_by_turn(self) -> None:
        """Requests of an organisation that took most waited like others."""
        for name, turn in ((b'a', 1), (b'b', 2), (b'c', 9), (b'd', 4)):
            await self.submit(name, turn=turn)
        self.loop.connections[0].data_received(REPLY)
        self.loop.connections[0].data_received(REPLY)
        self.assertEqual(self.list_written(), [b'adc', b'b'])

    async def test_long_idle_connection_carries_no_fresh_only_attempt(
        self,
    ) -> None:
        await self.submit(b'a')
        self.loop.connections[0].data_received(REPLY)
        self.loop.now += 1
        await self.submit(b'b', fresh_only=True)
        self.assertEqual(self.list_written(), [b'a', b'b'])

    async def test_cancelled_attempt_closes_its_connection(self) -> None:
        attempt = await self.submit(b'a')
        self.pool.cancel(attempt)
        self.assertTrue(self.loop.transports[0].closed)
        self.assertEqual(self.failures, [])

    async def test_refused_dial_fails_the_queued_attempt(self) -> None:
        self.loop.fault = ConnectionRefusedError()
        await self.submit()
        self.assertEqual(self.failures, [Failure.UNSENT])
        self.assertEqual(self.reported, [True])

    async def test_no_attempt_waits_once_waiting_ones_are_withdrawn(
        self,
    ) -> None:
        """A host that stops would exit while they wait."""
        for name in (b'a', b'b', b'c'):
            await self.submit(name)
        self.may_wait = False
        self.pool.check_waiting()
        self.assertEqual(self.failures, [Failure.WITHDRAWN])
        await self.submit(b'd')
        self.assertEqual(self.failures, [Failure.WITHDRAWN, Failure.WITHDRAWN])
        self.loop.connections[0].data_received(REPLY)
        await self.submit(b'e')
        self.assertEqual(self.list_written(), [b'ae', b'b'])

    async def test_attempt_does_not_wait_for_a_target_that_leaves(
        self,
    ) -> None:
        """Attempts were sent to a leaving target until it ended.

        A connection that becomes free may be the first to notice.
        """
        for name in (b'a', b'b', b'c'):
            await self.submit(name)
        self.may_wait = False
        self.loop.connections[0].data_received(REPLY)
        self.assertEqual(self.failures, [Failure.WITHDRAWN])
        self.assertEqual(self.list_written(), [b'a', b'b'])

    async def test_refused_dial_is_ignored_while_a_connection_is_open(
        self,
    ) -> None:
        await self.submit(b'a')
        self.loop.fault = ConnectionResetError()
        await self.submit(b'b')
        self.assertEqual(self.failures, [])
        self.assertFalse(self.target.health.unreachable)

    async def test_dial_timeout_closes_idle_connections(
        self,
    ) -> None:
        await self.submit(b'a')
        await self.submit(b'b')
        self.loop.connections[0].data_received(REPLY)
        self.loop.now += 1
        self.loop.fault = TimeoutError()
        self.limit = 3
        await self.submit(b'c', fresh_only=True)
        self.assertEqual(self.failures, [Failure.UNSENT])
        self.assertTrue(self.target.health.unreachable)
        self.assertTrue(self.loop.transports[0].closed)
        self.assertFalse(self.loop.transports[1].closed)

    async def test_redial_without_a_request_detects_recovery(self) -> None:
        self.loop.fault = TimeoutError()
        await self.submit()
        self.loop.fault = None
        self.loop.timers.pop()()
        await self.run_tasks()
        self.assertEqual(self.reported, [True, False])
        self.assertEqual(self.list_written(), [b''])

    async def test_refused_redial_does_not_leave_a_target_unreachable(
        self,
    ) -> None:
        """No further redial came while a request hung on a connection."""
        await self.submit(b'a')
        self.loop.fault = TimeoutError()
        await self.submit(b'b')
        self.loop.fault = ConnectionRefusedError()
        self.loop.timers.pop()()
        await self.run_tasks()
        self.loop.fault = None
        self.loop.timers.pop()()
        await self.run_tasks()
        self.assertEqual(self.reported, [True, False])

    async def test_dropped_target_is_not_dialled_again(self) -> None:
        self.loop.fault = TimeoutError()
        await self.submit()
        self.target.dropped = True
        self.loop.fault = None
        self.loop.timers.pop()()
        await self.run_tasks()
        self.assertEqual(self.loop.transports, [])

    async def test_lost_connection_fails_its_attempt(self) -> None:
        await self.submit()
        self.loop.connections[0].connection_lost(None)
        self.assertEqual(self.failures, [Failure.LOST])


if __name__ == '__main__':
    unittest.main()
