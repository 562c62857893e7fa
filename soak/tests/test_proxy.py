"""The proxy applies each impairment to the connections through it."""

import asyncio
import socket
import unittest

from almonddock_gateway.settings import Address
from almonddock_platform.tests.standins import LOOPBACK
from soak.proxy import (
    ENDLESS_HEAD,
    FILLER,
    SILENT,
    UNIMPAIRED,
    PathImpairment,
    Proxy,
)

#: A timeout that also holds on a busy machine.
TIMEOUT_S = 10
#: How long no bytes may arrive before a path counts as silent.
SILENCE_S = 0.2


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(self.echo, LOOPBACK, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = Proxy(Address(LOOPBACK, port))
        self.address = await self.proxy.start(LOOPBACK)

    async def asyncTearDown(self) -> None:
        self.proxy.close()
        self.server.close()

    async def echo(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while received := await reader.read(100):
            writer.write(received)
        writer.close()

    async def ask(self, impairment: PathImpairment, length: int = 4) -> bytes:
        reader, writer = await asyncio.open_connection(
            self.address.host,
            self.address.port,
        )
        self.addCleanup(writer.close)
        writer.write(b'ab')
        await reader.readexactly(2)
        self.proxy.impairment = impairment
        writer.write(b'cdef')
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await reader.readexactly(length)
        finally:
            self.proxy.impairment = UNIMPAIRED

    async def test_bytes_stay_in_order_when_a_delay_ends(self) -> None:
        """Links got bytes in another order, which no network delivers."""
        reader, writer = await asyncio.open_connection(
            self.address.host,
            self.address.port,
        )
        self.addCleanup(writer.close)
        writer.write(b'\0')
        await reader.readexactly(1)
        client = next(one for one in self.proxy._sides if not one._is_server)
        self.proxy.impairment = PathImpairment(delay_s=0.05)
        sent = bytes(range(1, 40))
        for one in sent:
            client.data_received(bytes((one,)))
            self.proxy.impairment = UNIMPAIRED
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.readexactly(len(sent)), sent)

    async def test_unimpaired_and_delayed_paths_forward_all(self) -> None:
        for impairment in (UNIMPAIRED, PathImpairment(delay_s=0.05)):
            self.assertEqual(await self.ask(impairment), b'cdef')

    async def test_replies_come_twice(self) -> None:
        doubled = await self.ask(PathImpairment(doubled=True), 8)
        self.assertEqual(doubled, b'cdefcdef')

    async def test_cut_replies_end_in_a_reset(self) -> None:
        with self.assertRaises(
            (ConnectionResetError, asyncio.IncompleteReadError)
        ):
            await self.ask(PathImpairment(cut=True))

    async def test_replies_end_in_their_heads(self) -> None:
        reader, writer = await asyncio.open_connection(
            self.address.host,
            self.address.port,
        )
        self.addCleanup(writer.close)
        self.proxy.impairment = PathImpairment(half_head=True)
        writer.write(b'HTTP/1.1 200 OK\r\n\r\nrecords')
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.read(), b'HTTP/1.')

    async def test_copies_of_replies_follow_them(self) -> None:
        copied = await self.ask(PathImpairment(copy_after_s=0.05), 8)
        self.assertEqual(copied, b'cdefcdef')

    async def test_heads_of_replies_go_on_without_end(self) -> None:
        length = 4 * len(FILLER)
        received = await self.ask(PathImpairment(endless=True), length)
        self.assertEqual(received, b'x' * length)

    async def test_bodies_of_replies_go_on_without_end(self) -> None:
        length = len(ENDLESS_HEAD) + 40 * len(FILLER)
        received = await self.ask(PathImpairment(endless_body=True), length)
        filler = b'x' * (40 * len(FILLER))
        self.assertEqual(received, ENDLESS_HEAD + filler)

    async def test_replies_are_replaced_in_turn(self) -> None:
        impairment = PathImpairment(replies=(b'one.', b'two.'))
        self.assertEqual(await self.ask(impairment), b'two.')
        self.assertEqual(await self.ask(impairment), b'one.')

    async def test_silent_paths_pass_nothing_on(self) -> None:
        for impairment in (
            SILENT,
            PathImpairment(drops_upstream=True),
            PathImpairment(drops_downstream=True),
        ):
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(self.ask(impairment), SILENCE_S)

    async def test_connection_that_ends_during_the_dial_ends_at_the_server(
        self,
    ) -> None:
        """Connections to servers leaked until there were no descriptors."""
        ended = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            writer.close()
            ended.set()

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        proxy = Proxy(Address(LOOPBACK, port))
        self.addCleanup(proxy.close)
        address = await proxy.start(LOOPBACK)
        socket.create_connection((address.host, address.port)).close()
        async with asyncio.timeout(TIMEOUT_S):
            await ended.wait()

    async def test_refused_and_reset_connections_end(self) -> None:
        self.proxy.impairment = PathImpairment(refused=True)
        with self.assertRaises((OSError, asyncio.IncompleteReadError)):
            await self.ask(UNIMPAIRED)
        self.proxy.impairment = UNIMPAIRED
        reader, writer = await asyncio.open_connection(
            self.address.host,
            self.address.port,
        )
        self.addCleanup(writer.close)
        writer.write(b'ab')
        await reader.readexactly(2)
        self.proxy.reset_all()
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), TIMEOUT_S)


if __name__ == '__main__':
    unittest.main()
