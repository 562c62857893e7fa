import asyncio
import unittest
from collections.abc import Callable

from almonddock_core.deployment import Target, TargetEntry
from almonddock_core.model import (
    AttemptId,
    DataCentreId,
    ManualClock,
    ServiceId,
    ShardId,
    TargetId,
    WorkloadId,
)
from almonddock_core.owners import TargetHealth
from almonddock_daemon.adapters import TargetClient

HEAD = 'HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n'


def build_target(port: int) -> Target:
    return Target(
        target=TargetId('desk/a'),
        service=ServiceId('desk'),
        workload=WorkloadId('desk'),
        data_centre=DataCentreId('north'),
        shards=frozenset((ShardId('desk/s0'),)),
        entry=TargetEntry('a', f'127.0.0.1:{port}', 'north', ('s0',), 1, 1),
    )


class TargetClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.bodies: list[bytes] = []
        self.requests: list[bytes] = []
        self.ended = asyncio.Event()
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.client = TargetClient(build_target(port), ManualClock())

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.ended.wait()
        self.server.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            request = await reader.readline()
            if not request:
                break
            await reader.readuntil(b'\r\n\r\n')
            self.requests.append(request)
            body = self.bodies.pop(0)
            writer.write(HEAD.format(length=len(body)).encode() + body)
        writer.close()
        self.ended.set()

    async def request_health(self) -> TargetHealth:
        received: asyncio.Future[TargetHealth] = asyncio.Future()
        handle: Callable[[TargetHealth], None] = received.set_result
        self.client.request_health(handle)
        return await received

    async def test_health_is_read(self) -> None:
        for health in TargetHealth:
            with self.subTest(health=health):
                self.bodies = [f'{{"state":"{health.value}"}}'.encode()]
                self.assertIs(await self.request_health(), health)

    async def test_an_invalid_health_reply_is_ignored(self) -> None:
        received: list[TargetHealth] = []
        self.bodies = [b'junk', b'{"state":"odd"}', b'[]', b'{"state":"ok"}']
        for _ in range(3):
            self.client.request_health(received.append)
            await self.wait_idle()
        self.assertIs(await self.request_health(), TargetHealth.OK)
        self.assertEqual(received, [])

    async def test_a_cancellation_keeps_the_connection(self) -> None:
        self.bodies = [b'', b'{"state":"ok"}']
        self.client.cancel(AttemptId('r:1'))
        await self.wait_idle()
        await self.request_health()
        self.assertEqual(
            self.requests,
            [
                b'DELETE /v1/sub-query/r:1 HTTP/1.1\r\n',
                b'GET /v1/health HTTP/1.1\r\n',
            ],
        )

    async def wait_idle(self) -> None:
        while not self.client.idle:
            await asyncio.sleep(0)
