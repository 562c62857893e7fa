import asyncio
import base64
import itertools
import json
import random
import unittest
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

import httpx

from almonddock_core.model import ManualClock, StoreUnavailableError
from almonddock_daemon.adapters import (
    Conflict,
    Guard,
    StoreClient,
    StoredValue,
    StoreSettings,
    Swapped,
    Unknown,
    WatchEvent,
)
from almonddock_daemon.adapters._store_limits import CallLimiter

SETTINGS = StoreSettings(
    ('http://127.0.0.1:1', 'http://127.0.0.1:2'),
    prefix='/a/',
    backoff_base=timedelta(),
    call_timeout=timedelta(seconds=5),
)


def encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def make_value(text: str, revision: int) -> dict[str, str]:
    return {
        'key': encode('head'),
        'value': encode(text),
        'mod_revision': str(revision),
    }


def make_watch(revision: int, *values: dict[str, str]) -> bytes:
    events = [{'kv': one} for one in values]
    header = {'revision': str(revision)}
    return json.dumps({'result': {'header': header, 'events': events}}).encode()


class Stream(httpx.AsyncByteStream):
    def __init__(self, lines: list[bytes], *, idle: bool = False) -> None:
        self.lines = lines
        self.idle = idle

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for line in self.lines:
            yield b'%b\n' % line
        if self.idle:
            raise httpx.ReadTimeout('idle')


class ScriptedStore(httpx.AsyncBaseTransport):
    """Answers each call with the next step of a script."""

    def __init__(self, *steps: Any) -> None:
        self.steps = iter(steps)
        self.requests: list[dict[str, Any]] = []
        self.ports: list[int | None] = []

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        self.ports.append(request.url.port)
        self.requests.append(json.loads(await request.aread()))
        step = next(self.steps)
        if isinstance(step, Exception):
            raise step
        if isinstance(step, int):
            return httpx.Response(step, json={}, request=request)
        if isinstance(step, Stream):
            return httpx.Response(200, stream=step, request=request)
        return httpx.Response(200, json=step, request=request)


def open_client(store: ScriptedStore) -> StoreClient:
    return StoreClient(SETTINGS, ManualClock(), random.Random(1), store)


CONFLICT = {'responses': [{'response_range': {'kvs': [make_value('b', 9)]}}]}
ABSENT: dict[str, Any] = {'responses': [{'response_range': {'header': {}}}]}
SWAPS: tuple[tuple[Any, object], ...] = (
    ({'succeeded': True, 'header': {'revision': '7'}}, Swapped(7)),
    (CONFLICT, Conflict(StoredValue(b'b', 9))),
    (ABSENT, Conflict(None)),
    (httpx.ReadTimeout('lost'), Unknown),
    (httpx.RemoteProtocolError('cut'), Unknown),
    (503, Unknown),
    (400, StoreUnavailableError),
    (httpx.ConnectError('refused'), StoreUnavailableError),
)


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_reads_many_keys_in_few_calls(self) -> None:
        entry = {**make_value('b', 9), 'key': encode('/a/k1')}
        replies = [
            {'succeeded': True, 'responses': [{'response_range': one}]}
            for one in ({'kvs': [entry]}, {})
        ]
        store = ScriptedStore(*replies)
        keys = [f'k{number}' for number in range(100)]
        found = await open_client(store).read_many(keys)
        self.assertEqual(found, {'k1': StoredValue(b'b', 9)})
        sizes = [len(request['success']) for request in store.requests]
        self.assertEqual(sizes, [64, 36])

    async def test_tells_apart_every_outcome_of_a_swap(self) -> None:
        for step, expected in SWAPS:
            with self.subTest(step=step):
                client = open_client(ScriptedStore(step))
                try:
                    result: object = await client.swap('head', b'a', 3)
                except StoreUnavailableError as error:
                    result = error
                if isinstance(expected, type):
                    self.assertIsInstance(result, expected)
                else:
                    self.assertEqual(result, expected)
                self.assertEqual(client.calls, 1)

    async def test_compares_the_expected_revision(self) -> None:
        for expected, compare in (
            (None, {'target': 'CREATE', 'create_revision': '0'}),
            (3, {'target': 'MOD', 'mod_revision': '3'}),
        ):
            store = ScriptedStore(ABSENT)
            await open_client(store).swap('head', b'a', expected)
            sent = store.requests[0]['compare'][0]
            self.assertEqual(
                sent, {'key': encode('/a/head'), 'result': 'EQUAL', **compare}
            )

    async def test_guards_a_swap_by_a_second_key(self) -> None:
        store = ScriptedStore(ABSENT)
        await open_client(store).swap('head', b'a', 3, Guard('other', 5))
        self.assertEqual(
            [
                (one['key'], one['mod_revision'])
                for one in store.requests[0]['compare']
            ],
            [(encode('/a/head'), '3'), (encode('/a/other'), '5')],
        )

    async def test_lists_keys_without_the_prefix(self) -> None:
        entry = {'key': encode('/a/x/1'), 'mod_revision': '4'}
        store = ScriptedStore({'kvs': [entry]})
        found = await open_client(store).list_keys('x/')
        self.assertEqual(found, {'x/1': 4})
        self.assertEqual(store.requests[0]['range_end'], encode('/a/x0'))

    async def test_repeats_reads_and_then_gives_up(self) -> None:
        found = {'kvs': [make_value('a', 4)]}
        store = ScriptedStore(503, httpx.ReadTimeout(''), found)
        client = open_client(store)
        self.assertEqual(await client.read('head'), StoredValue(b'a', 4))
        self.assertEqual(store.ports, [1, 2, 1])
        client = open_client(ScriptedStore(503, 503, 503, found))
        with self.assertRaises(StoreUnavailableError):
            await client.read('head')

    async def test_resumes_a_watch_without_loss_or_repeats(self) -> None:
        store = ScriptedStore(
            Stream([make_watch(4), make_watch(5, make_value('a', 5))]),
            httpx.ConnectError('down'),
            Stream(
                [make_watch(7, make_value('a', 5), make_value('b', 7))],
                idle=True,
            ),
            Stream([make_watch(8, make_value('c', 8))]),
        )
        found = await collect(open_client(store).watch('head', 5), 3)
        self.assertEqual(
            [(event.revision, event.reset) for event in found],
            [(5, False), (7, False), (8, False)],
        )
        starts = [
            one['create_request']['start_revision'] for one in store.requests
        ]
        self.assertEqual(starts, ['5', '6', '6', '8'])

    async def test_resets_a_watch_when_the_revision_decreases(self) -> None:
        store = ScriptedStore(
            Stream([make_watch(9, make_value('a', 9))]),
            Stream([make_watch(4)]),
            {'kvs': [make_value('old', 3)]},
            Stream([make_watch(5, make_value('b', 5))]),
        )
        found = await collect(open_client(store).watch('head', 9), 3)
        self.assertEqual(
            found[1],
            WatchEvent(StoredValue(b'old', 3), 3, reset=True),
        )
        self.assertEqual(found[2].revision, 5)

    async def test_bounds_the_rate_of_calls(self) -> None:
        clock = ManualClock()
        limits = StoreSettings((), calls_per_second=10, burst=2)
        limiter = CallLimiter(limits, clock)
        waits = [limiter.reserve().total_seconds() for _ in range(4)]
        self.assertEqual(waits, [0, 0, 0.1, 0.2])
        clock.advance(timedelta(seconds=10))
        self.assertEqual(limiter.reserve(), timedelta())

    async def test_bounds_concurrent_calls(self) -> None:
        limiter = CallLimiter(
            StoreSettings((), max_concurrent_calls=2), ManualClock()
        )
        release = asyncio.Event()
        running = itertools.count()
        tasks = [
            asyncio.create_task(hold(limiter, running, release))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(next(running), 2)
        release.set()
        await asyncio.gather(*tasks)


async def hold(
    limiter: CallLimiter, running: 'itertools.count[int]', until: asyncio.Event
) -> None:
    async with limiter.admit():
        next(running)
        await until.wait()


async def collect(
    events: AsyncIterator[WatchEvent], count: int
) -> list[WatchEvent]:
    found: list[WatchEvent] = []
    async for event in events:
        found.append(event)
        if len(found) == count:
            break
    return found
