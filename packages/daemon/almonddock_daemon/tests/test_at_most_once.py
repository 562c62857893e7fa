import asyncio
import base64
import random
import unittest
from dataclasses import replace
from datetime import timedelta
from typing import Any

import httpx
import orjson

from almonddock_core.idempotency import Claim, Finish
from almonddock_core.model import (
    Answer,
    Coverage,
    HostId,
    IndexVersion,
    Outcome,
    Query,
    Reason,
    RequestId,
    WorkloadId,
)
from almonddock_daemon._clock import MonotonicClock
from almonddock_daemon.adapters import StoreClient, StoreSettings
from almonddock_daemon.controllers import IdempotencyController, PeerPorts
from almonddock_daemon.filters import (
    Exchange,
    Handler,
    build_at_most_once_filter,
    build_chain,
)

A, B = HostId('a'), HostId('b')
CLOCK = MonotonicClock()


def make_query(request_id: str, body: bytes = b'{}') -> Query:
    return Query(
        request_id=RequestId(request_id),
        workload=WorkloadId('desk'),
        body=body,
        deadline=CLOCK.now() + timedelta(seconds=10),
        idempotency_key='order-7',
    )


class FakeStore:
    """A fake store with the calls that the idempotency log makes."""

    def __init__(self) -> None:
        self.down = False
        self.revision = 0
        self.entries: dict[str, dict[str, Any]] = {}

    def handle(self, request: httpx.Request) -> httpx.Response:
        if self.down:
            raise httpx.ConnectError('the store is down')
        body = orjson.loads(request.content)
        if request.url.path.endswith('range'):
            first = base64.b64decode(body['key'])
            end = base64.b64decode(body['range_end'])
            found = [
                entry
                for key, entry in sorted(self.entries.items())
                if first <= base64.b64decode(key) < end
            ]
            return httpx.Response(200, json={'kvs': found})
        put = body['success'][0]['request_put']
        compare = body['compare'][0]
        current = self.entries.get(put['key'], {}).get('mod_revision', '0')
        if current != compare.get('mod_revision', '0'):
            ranges: list[Any] = [{'response_range': {}}]
            return httpx.Response(200, json={'responses': ranges})
        self.revision += 1
        self.entries[put['key']] = {**put, 'mod_revision': str(self.revision)}
        header = {'revision': str(self.revision)}
        return httpx.Response(200, json={'succeeded': True, 'header': header})


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fake_store = FakeStore()
        self.runs: list[Query] = []
        self.outcome = Outcome.ANSWERED
        self.hold: asyncio.Event | None = None

    async def run_query(self, exchange: Exchange) -> Answer:
        self.runs.append(exchange.query)
        if self.hold is not None:
            await self.hold.wait()
        return Answer(
            request_id=exchange.query.request_id,
            outcome=self.outcome,
            coverage=Coverage(1, 1),
            version=IndexVersion(3),
            rows=b'[5]',
        )

    def build_entry(self, host: HostId, hosts: tuple[HostId, ...]) -> Handler:
        """Returns the handler of an entry host without links to others."""
        store = StoreClient(
            StoreSettings(('http://store',), call_timeout=timedelta(seconds=1)),
            CLOCK,
            random.Random(1),
            httpx.MockTransport(self.fake_store.handle),
        )
        self.addAsyncCleanup(store.close)

        def send(_host: HostId, _message: Claim | Finish) -> bool:
            return False

        async def connect(_host: HostId) -> bool:
            return False

        controller = IdempotencyController(
            host, f'{host}.1', store, CLOCK, PeerPorts(send, connect)
        )
        controller.update_hosts(hosts)
        self.addAsyncCleanup(controller.close)
        at_most_once = build_at_most_once_filter(
            controller.claim, controller.finish, CLOCK
        )
        return build_chain([at_most_once], self.run_query)

    async def ask(self, entry: Handler, query: Query) -> Answer:
        return await entry(Exchange(query, arrived=CLOCK.now()))

    async def test_repeats_the_recorded_answer(self) -> None:
        entry = self.build_entry(A, (A,))
        first = await self.ask(entry, make_query('1'))
        again = await self.ask(entry, make_query('2'))
        self.assertEqual(len(self.runs), 1)
        self.assertFalse(self.runs[0].idempotent)
        self.assertEqual(
            replace(again, elapsed=first.elapsed, request_id=first.request_id),
            first,
        )
        self.assertEqual(again.request_id, '2')

    async def test_runs_once_through_two_hosts_that_disagree(self) -> None:
        """Neither host reaches the other, so both serve the partition."""
        first, second = (self.build_entry(host, (A, B)) for host in (A, B))
        self.hold = asyncio.Event()
        running = asyncio.create_task(self.ask(first, make_query('1')))
        while not self.runs:
            await asyncio.sleep(0)
        answer = await self.ask(second, make_query('2'))
        self.assertIs(answer.outcome, Outcome.OUTCOME_UNKNOWN)
        self.assertIs(answer.reason, Reason.NOT_RECORDED)
        self.hold.set()
        self.assertIs((await running).outcome, Outcome.ANSWERED)
        self.assertEqual(len(self.runs), 1)

    async def test_frees_the_key_of_a_request_that_did_not_run(self) -> None:
        entry = self.build_entry(A, (A,))
        self.outcome = Outcome.NOT_RUN
        await self.ask(entry, make_query('1'))
        self.outcome = Outcome.ANSWERED
        answer = await self.ask(entry, make_query('2'))
        self.assertIs(answer.outcome, Outcome.ANSWERED)

    async def test_refuses_repeats_of_a_running_request(self) -> None:
        entry = self.build_entry(A, (A,))
        self.hold = asyncio.Event()
        running = asyncio.create_task(self.ask(entry, make_query('1')))
        while not self.runs:
            await asyncio.sleep(0)
        same = await self.ask(entry, make_query('2'))
        self.assertIs(same.outcome, Outcome.OUTCOME_UNKNOWN)
        self.assertIs(same.reason, Reason.IN_PROGRESS)
        other = await self.ask(entry, make_query('3', b'{"x":1}'))
        self.assertIs(other.outcome, Outcome.NOT_RUN)
        self.assertIs(other.reason, Reason.KEY_MISMATCH)
        self.hold.set()
        await running

    async def test_refuses_while_the_store_is_down(self) -> None:
        self.fake_store.down = True
        answer = await self.ask(self.build_entry(A, (A,)), make_query('1'))
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
        self.assertIs(answer.reason, Reason.STORE_UNAVAILABLE)
        self.assertEqual(self.runs, [])
