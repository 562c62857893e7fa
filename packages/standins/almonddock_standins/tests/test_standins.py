import asyncio
import unittest
from base64 import b64encode
from datetime import timedelta
from typing import Any

import httpx
import orjson

from almonddock_standins import (
    Faults,
    HostEntry,
    HostListFaults,
    ServiceTimes,
    StandInHostList,
    StandInStore,
    StandInTarget,
    StoreFaults,
    TargetSettings,
    build_rows,
)

SHARD = 'desk/s0'
SLOW = ServiceTimes(median=timedelta(seconds=30))
FAST = ServiceTimes(median=timedelta(milliseconds=1))


def encode(text: str) -> str:
    return b64encode(text.encode()).decode()


class TargetTest(unittest.IsolatedAsyncioTestCase):
    async def start_target(self, times: ServiceTimes) -> StandInTarget:
        target = StandInTarget(
            TargetSettings(
                'desk/a',
                frozenset((SHARD,)),
                slots=2,
                service_times=times,
            )
        )
        await target.start()
        self.addAsyncCleanup(target.stop)
        self.client = httpx.AsyncClient(base_url=f'http://{target.address}')
        self.addAsyncCleanup(self.client.aclose)
        return target

    async def send_sub_query(
        self, attempt: str, version: int = 1
    ) -> httpx.Response:
        return await self.client.post(
            '/v1/sub-query',
            content=b'{}',
            headers={
                'x-request-id': attempt.split(':')[0],
                'x-attempt-id': attempt,
                'x-shard': SHARD,
                'x-index-version': str(version),
            },
        )

    async def test_answers_with_predictable_rows(self) -> None:
        await self.start_target(FAST)
        reply = await self.send_sub_query('r:1')
        self.assertEqual(reply.content, build_rows(SHARD, 1))
        self.assertEqual(reply.headers['x-attempt-id'], 'r:1')

    def check_echo(self, reply: httpx.Response) -> None:
        echo = [reply.headers[name] for name in ('x-attempt-id', 'x-shard')]
        self.assertEqual(echo, ['r:1', SHARD])

    async def test_refused_sub_queries_do_not_run(self) -> None:
        cases = (
            (Faults(shed=True), 'overloaded'),
            (Faults(drain=True), 'draining'),
        )
        target = await self.start_target(FAST)
        for faults, reason in cases:
            with self.subTest(reason=reason):
                target.switch_faults(faults)
                reply = await self.send_sub_query('r:1')
                self.assertEqual(reply.status_code, 503)
                self.assertEqual(reply.headers['x-not-run'], reason)
                self.check_echo(reply)
        target.switch_faults(Faults())
        reply = await self.send_sub_query('r:1', version=9)
        self.assertEqual(reply.headers['x-not-run'], 'wrong_version')
        self.check_echo(reply)
        self.assertEqual(target.counters.run, 0)

    async def test_counts_sub_queries_above_its_slots(self) -> None:
        cases = (
            (Faults(), 'over_slots', 3),
            (Faults(cold=True), 'over_cold', 2),
            (Faults(cold_unannounced=True), 'over_cold', 2),
        )
        for faults, counter, sent in cases:
            with self.subTest(counter=counter):
                target = await self.start_target(SLOW)
                target.switch_faults(faults)
                pending = [
                    asyncio.create_task(self.send_sub_query(f'{number}:1'))
                    for number in range(sent)
                ]
                while target.counters.received < sent:
                    await asyncio.sleep(0)
                self.assertEqual(getattr(target.counters, counter), 1)
                for task in pending:
                    task.cancel()

    async def test_cancellation_frees_the_slot(self) -> None:
        target = await self.start_target(SLOW)
        pending = asyncio.create_task(self.send_sub_query('r:1'))
        while not target.counters.run:
            await asyncio.sleep(0)
        await self.client.delete('/v1/sub-query/r:1')
        reply = await pending
        self.assertEqual(reply.headers['x-cancelled'], '1')
        self.check_echo(reply)
        counters = await self.client.get('/counters')
        self.assertEqual(counters.json()['cancelled'], 1)

    async def test_crosses_replies_and_reports_repeated_runs(self) -> None:
        target = await self.start_target(FAST)
        target.switch_faults(Faults(crossed=True))
        await self.send_sub_query('r:1')
        reply = await self.send_sub_query('r:2')
        self.assertEqual(reply.headers['x-attempt-id'], 'r:1')
        self.assertEqual(
            target.counters.export()['doubled'],
            {f'r/{SHARD}': 2},
        )

    async def test_silent_and_down_targets_give_no_reply(self) -> None:
        target = await self.start_target(FAST)
        for faults in (Faults(silent=True), Faults(stall_open=True)):
            with self.subTest(faults=faults):
                await self.send_sub_query('r:1')
                target.switch_faults(faults)
                with self.assertRaises(httpx.TimeoutException):
                    await self.client.get('/v1/health', timeout=0.05)
                target.switch_faults(Faults())
        await self.client.post('/fault', json={'slow': 2})
        self.assertEqual(target.faults, Faults(slow=2))
        target.switch_faults(Faults(down=True))
        with self.assertRaises(httpx.TransportError):
            await self.send_sub_query('r:2')


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = StandInStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.client = httpx.AsyncClient(base_url=f'http://{address}')
        self.addAsyncCleanup(self.client.aclose)

    async def call(self, path: str, body: dict[str, Any]) -> Any:
        reply = await self.client.post(f'/v3/{path}', json=body)
        return reply.json()

    async def swap(self, revision: int, text: str) -> Any:
        compared = {
            'key': encode('k'),
            'target': 'MOD',
            'mod_revision': str(revision),
        }
        put = {'key': encode('k'), 'value': encode(text)}
        return await self.call(
            'kv/txn',
            {'compare': [compared], 'success': [{'request_put': put}]},
        )

    async def read(self) -> list[Any]:
        found = await self.call('kv/range', {'key': encode('k')})
        return list(found.get('kvs', []))

    async def test_swaps_only_at_the_compared_revision(self) -> None:
        self.assertTrue((await self.swap(0, 'a'))['succeeded'])
        self.assertFalse((await self.swap(0, 'b'))['succeeded'])
        self.assertEqual((await self.read())[0]['value'], encode('a'))

    async def test_a_write_with_a_lost_reply_takes_effect(self) -> None:
        self.store.switch_faults(StoreFaults(lost_replies=1))
        with self.assertRaises(httpx.TransportError):
            await self.swap(0, 'a')
        self.assertEqual((await self.read())[0]['value'], encode('a'))

    async def test_watches_from_a_revision(self) -> None:
        await self.swap(0, 'a')
        create = {'key': encode('k'), 'start_revision': '1'}
        async with self.client.stream(
            'POST',
            '/v3/watch',
            json={'create_request': create},
        ) as stream:
            lines = stream.aiter_lines()
            self.assertTrue(
                orjson.loads(await anext(lines))['result']['created'],
            )
            past = orjson.loads(await anext(lines))['result']
            self.assertEqual(past['events'][0]['kv']['value'], encode('a'))
            self.store.key_values.write([(b'k', None, 0)])
            deletion = orjson.loads(await anext(lines))['result']
            self.assertEqual(deletion['events'][0]['type'], 'DELETE')

    async def test_expired_leases_delete_their_keys(self) -> None:
        lease = (await self.call('lease/grant', {'TTL': 5}))['ID']
        put = {'key': encode('k'), 'value': encode('a'), 'lease': lease}
        await self.call('kv/put', put)
        kept = await self.call('lease/keepalive', {'ID': lease})
        self.assertEqual(kept['result']['TTL'], '5')
        self.store.key_values.expire(timedelta.max)
        self.assertEqual(await self.read(), [])

    async def test_limits_values_and_restores_copies(self) -> None:
        await self.swap(0, 'a')
        await self.client.post('/copy')
        refused = await self.swap(2, 'x' * 1_000_001)
        self.assertIn('too large', refused['error'])
        await self.swap(2, 'b')
        self.store.restore_copy()
        with self.assertRaises(httpx.TransportError):
            await self.read()
        self.assertEqual((await self.read())[0]['value'], encode('a'))

    async def test_an_outage_refuses_connections(self) -> None:
        self.store.switch_faults(StoreFaults(outage=True))
        with self.assertRaises(httpx.TransportError):
            await self.read()


class HostListTest(unittest.IsolatedAsyncioTestCase):
    async def test_lists_wrong_hosts_and_leaves_out_omitted_ones(self) -> None:
        running = HostEntry('h1', 'north', '127.0.0.1:1')
        absent = HostEntry('h9', 'north', '127.0.0.1:9')
        hosts = StandInHostList([running])
        address = await hosts.start()
        self.addAsyncCleanup(hosts.stop)
        cases = (
            (HostListFaults(), ('h1',)),
            (HostListFaults(wrong=(absent,)), ('h1', 'h9')),
            (HostListFaults(omitted=('h1',)), ()),
        )
        async with httpx.AsyncClient() as client:
            for faults, expected in cases:
                with self.subTest(expected=expected):
                    hosts.switch_faults(faults)
                    reply = await client.get(f'http://{address}/v1/hosts')
                    listed = [one['host'] for one in reply.json()['hosts']]
                    self.assertEqual(listed, list(expected))
