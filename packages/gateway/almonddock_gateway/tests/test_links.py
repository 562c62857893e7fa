"""When a link to another host may be used."""

import unittest

from almonddock_core.framing import FrameReader
from almonddock_gateway.links import Link, decode
from almonddock_gateway.relays import LinkMessage, MessageLink, Ping, Pong
from almonddock_gateway.tests.fakes import FakeTransport


class LinkTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.received: list[LinkMessage] = []
        self.closed: list[Link] = []

    async def asyncSetUp(self) -> None:
        self.here_transport = FakeTransport()
        self.here = self.make_link(self.here_transport)
        self.there_transport = FakeTransport()
        self.there = self.make_link(self.there_transport)

    def make_link(self, transport: FakeTransport) -> Link:
        link = Link(self.receive, self.closed.append)
        link.connection_made(transport)
        return link

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        self.received.append(message)

    def carry(self, transport: FakeTransport, link: Link) -> None:
        written = transport.written
        transport.written = b''
        link.data_received(written)

    async def test_link_is_used_only_after_the_other_host_answered(
        self,
    ) -> None:
        self.here.ping()
        self.assertFalse(self.here.usable)
        self.carry(self.here_transport, self.there)
        self.carry(self.there_transport, self.here)
        self.assertTrue(self.here.usable)

    async def test_messages_cross_whole_and_in_pieces(self) -> None:
        self.here.send(Pong(0))
        self.here.send(Ping(9))
        written = self.here_transport.written
        for byte in written:
            self.there.data_received(bytes((byte,)))
        self.assertNotEqual(self.there_transport.written, b'')

    async def test_repeated_messages_shrink(self) -> None:
        sizes = []
        for _ in range(3):
            self.here_transport.written = b''
            self.here.send(Ping(1 << 40))
            sizes.append(len(self.here_transport.written))
        self.assertLess(sizes[2], sizes[0])

    async def test_rubbish_closes_the_link(self) -> None:
        self.here.data_received(b'\xff' * 20)
        self.assertTrue(self.here_transport.closed)
        self.assertEqual(self.received, [])

    async def test_frames_are_what_the_codec_reads(self) -> None:
        self.here.ping()
        expanded = self.there._expand(self.here_transport.written)
        frames = list(FrameReader().feed(expanded))
        self.assertEqual([decode(frame) for frame in frames], [Ping(1)])


if __name__ == '__main__':
    unittest.main()
