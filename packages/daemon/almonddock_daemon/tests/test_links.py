import asyncio
import unittest
from datetime import timedelta

from almonddock_core.model import (
    AttemptId,
    DataCentreId,
    HostId,
    Incarnation,
    ManualClock,
)
from almonddock_daemon.links import Link, LinkMesh
from almonddock_wire import CancelBatch, Hello, Message


def build_mesh(name: str, port: int, clock: ManualClock) -> LinkMesh:
    return LinkMesh(
        Hello(
            HostId(name),
            DataCentreId('north'),
            Incarnation(1),
            f'127.0.0.1:{port}',
        ),
        clock,
    )


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.received: asyncio.Queue[Message] = asyncio.Queue()
        self.lost: asyncio.Queue[HostId] = asyncio.Queue()
        port_finder = await asyncio.start_server(
            lambda *_: None, '127.0.0.1', 0
        )
        self.port = port_finder.sockets[0].getsockname()[1]
        port_finder.close()
        await port_finder.wait_closed()
        self.far = build_mesh('far', self.port, self.clock)
        self.far.subscribe(self.keep, self.lost.put_nowait)
        await self.far.start()
        self.near = build_mesh('near', 1, self.clock)
        self.near.subscribe(self.keep, self.lost.put_nowait)

    async def asyncTearDown(self) -> None:
        await self.near.stop()
        await self.far.stop()

    def keep(self, link: Link, message: Message) -> None:
        self.received.put_nowait(message)

    async def connect(self, name: str = 'far') -> bool:
        host = HostId(name)
        self.near.update_addresses({host: f'127.0.0.1:{self.port}'})
        return await self.near.connect(host)

    async def test_messages_arrive(self) -> None:
        message = CancelBatch((AttemptId('r:1'),))
        self.assertFalse(self.near.send(HostId('far'), message))
        self.assertTrue(await self.connect())
        self.assertTrue(self.near.send(HostId('far'), message))
        self.assertEqual(await self.received.get(), message)

    async def test_a_bad_frame_closes_only_its_link(self) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(b'\x00\x00\x00\x04junk')
        await reader.read()
        writer.close()
        self.assertTrue(await self.connect())

    async def test_an_oversized_frame_closes_the_link(self) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(b'\xff\xff\xff\xff')
        await reader.read()
        writer.close()
        self.assertEqual(self.received.qsize(), 0)

    async def test_a_link_to_the_wrong_host_is_closed(self) -> None:
        await self.connect('other')
        self.assertEqual(await self.lost.get(), 'other')

    async def test_a_silent_link_is_lost(self) -> None:
        self.assertTrue(await self.connect())
        self.near.check_links()
        self.clock.advance(timedelta(seconds=5))
        self.near.check_links()
        self.assertEqual(await self.lost.get(), 'far')

    async def test_an_idle_link_is_closed_and_not_lost(self) -> None:
        self.assertTrue(await self.connect())
        self.clock.advance(timedelta(minutes=1))
        self.near.check_links()
        while self.near.list_linked():
            await asyncio.sleep(0)
        self.assertTrue(self.lost.empty())
        self.assertTrue(await self.connect())

    async def test_a_link_that_is_not_used_is_not_pinged(self) -> None:
        self.assertTrue(await self.connect())
        link = self.near._dialled[HostId('far')]
        self.clock.advance(timedelta(seconds=5))
        self.near.check_links()
        self.assertEqual(link._ping_number, 0)
        link.send(CancelBatch((AttemptId('r:1'),)))
        self.near.check_links()
        self.assertEqual(link._ping_number, 1)

    async def test_a_host_without_address_is_not_connected(self) -> None:
        self.assertFalse(await self.near.connect(HostId('nowhere')))
