"""Tests of links and of choosing the hosts to link to."""

import asyncio
import contextlib
import os
import unittest
import zlib
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from almonddock_core.framing import (
    MAX_FRAME_BYTES,
    FrameReader,
    add_length_prefix,
)
from almonddock_core.model import ManualClock
from almonddock_core.news import choose_watchers
from almonddock_core.placement import choose_homes
from almonddock_gateway.controllers import Peer
from almonddock_gateway.http import ReplyMemory
from almonddock_gateway.links import (
    Link,
    PeerLinks,
    PeerLinkSettings,
    decode,
    encode,
)
from almonddock_gateway.links._link import _Decompressor
from almonddock_gateway.links._peers import HandleReply
from almonddock_gateway.relays import (
    FallbackStore,
    Leaving,
    LinkMessage,
    MessageLink,
    Ping,
    Pong,
    RelayRouter,
    StoreOutcome,
    StoreQuery,
    StoreReply,
)
from almonddock_gateway.store import StoreLostError, StoreView
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    Telemetry,
)
from almonddock_gateway.tests.fakes import FakeTransport, measure_memory
from almonddock_gateway.tests.relay_cases import make_query
from almonddock_gateway.tests.store_cases import ONE, ScriptedStore


def compress(content: bytes) -> bytes:
    """Returns the first bytes of a link."""
    compressor = zlib.compressobj(wbits=-13)
    return compressor.compress(content) + compressor.flush(zlib.Z_SYNC_FLUSH)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.received: list[LinkMessage] = []
        self.closed: list[Link] = []
        self.memory = ReplyMemory(max_bytes=100_000)

    async def asyncSetUp(self) -> None:
        self.here_transport = FakeTransport()
        self.here = self.make_link(self.here_transport)
        self.there_transport = FakeTransport()
        self.there = self.make_link(self.there_transport)

    def make_link(self, transport: FakeTransport) -> Link:
        link = Link(self.receive, self.closed.append, self.memory)
        link.connection_made(transport)
        return link

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        self.received.append(message)

    def deliver(self, transport: FakeTransport, link: Link) -> None:
        written = transport.written
        transport.written = b''
        link.data_received(written)

    async def test_much_compressed_data_takes_little_memory(self) -> None:
        """A read of 100 KB can hold 100 MB, which no limit on frames bounds."""
        compressor = zlib.compressobj(wbits=-13)
        packed = compressor.compress(b'\xff' * 4 + bytes(50_000_000))
        packed += compressor.flush()
        _, peak = measure_memory(self.here.data_received, packed)
        self.assertLess(peak, 1_000_000)
        self.assertTrue(self.here_transport.closed)

    async def test_incomplete_frames_of_all_links_are_bounded(self) -> None:
        """Each link could hold a frame of 8 MB that never ended."""
        for link, size in ((self.here, 60_000), (self.there, 50_000)):
            part = MAX_FRAME_BYTES.to_bytes(4, 'big') + bytes(size)
            link.data_received(compress(part))
        self.assertTrue(self.here_transport.closed)
        self.assertFalse(self.there_transport.closed)

    async def test_many_messages_in_a_few_bytes_do_not_hold_the_loop(
        self,
    ) -> None:
        """A read of 600 KB held 20 million messages, handled in one turn."""
        count = 20_000
        pings = add_length_prefix(encode(Ping(1))) * count
        self.here.data_received(compress(pings))
        self.assertTrue(self.here_transport.reading_paused)
        answered = len(self.here_transport.written)
        async with asyncio.timeout(10):
            while self.here_transport.reading_paused:
                await asyncio.sleep(0)
        self.assertGreater(len(self.here_transport.written), 2 * answered)
        reader = FrameReader()
        expand = zlib.decompressobj(wbits=-13).decompress
        replies = list(reader.feed(expand(self.here_transport.written)))
        self.assertEqual(len(replies), count)

    async def test_closed_link_holds_nothing(self) -> None:
        """Many links that were closed in one turn kept what they had read."""
        part = MAX_FRAME_BYTES.to_bytes(4, 'big') + bytes(1_000_000)
        links: list[Link] = []

        def receive(packed: bytes) -> None:
            links.append(self.make_link(FakeTransport()))
            links[-1].data_received(packed)

        held, _ = measure_memory(receive, *(compress(part) for _ in range(8)))
        self.assertLess(held, 1_000_000)

    async def test_host_that_reads_nothing_is_closed(self) -> None:
        """Answers to a host that does not read them waited without a bound."""
        self.here.pause_writing()
        self.here_transport.unread = 90_000
        self.here.ping()
        self.assertFalse(self.here_transport.closed)
        self.here_transport.unread = 110_000
        self.here.ping()
        self.assertTrue(self.here_transport.closed)

    async def test_bytes_that_were_read_are_not_held(self) -> None:
        self.here.pause_writing()
        self.here_transport.unread = 90_000
        self.here.ping()
        self.here.resume_writing()
        self.assertEqual(self.memory.held, 0)

    async def test_message_that_no_frame_holds_closes_the_link(self) -> None:
        """The error ended the connection to the target that had replied."""
        query = replace(make_query('t1'), body=bytes(MAX_FRAME_BYTES))
        self.here.send(query)
        self.assertTrue(self.here_transport.closed)

    async def test_unused_links_take_little_memory(self) -> None:
        """1,600 of them stay below a tenth of the smallest machine's 300 MB."""

        def connect(_: bytes) -> None:
            links.append(self.make_link(FakeTransport()))

        links: list[Link] = []
        held, _ = measure_memory(connect, *(b'' for _ in range(100)))
        self.assertLess(held * 16, 30_000_000)

    async def test_silent_link_is_closed(self) -> None:
        for sent, silence_s, is_closed in (
            (None, 2.9, False),
            (None, 3.1, True),
            (Ping(1), 9.9, False),
            (Ping(1), 10.1, True),
        ):
            with self.subTest(sent=sent, silence_s=silence_s):
                transport = FakeTransport()
                link = self.make_link(transport)
                if sent is not None:
                    link.data_received(
                        compress(add_length_prefix(encode(sent)))
                    )
                later = link._last_received + silence_s
                with patch.object(link._loop, 'time', return_value=later):
                    link.close_if_silent()
                self.assertEqual(transport.closed, is_closed)

    async def test_link_is_used_only_after_the_other_host_answered(
        self,
    ) -> None:
        self.here.ping()
        self.assertFalse(self.here.usable)
        self.deliver(self.here_transport, self.there)
        self.deliver(self.there_transport, self.here)
        self.assertTrue(self.here.usable)

    async def test_message_is_received_in_single_bytes(self) -> None:
        self.here.send(Pong(0))
        self.here.send(Ping(9))
        written = self.here_transport.written
        for byte in written:
            self.there.data_received(bytes((byte,)))
        self.assertNotEqual(self.there_transport.written, b'')

    async def test_repeated_messages_compress_better(self) -> None:
        sizes = []
        for _ in range(3):
            self.here_transport.written = b''
            self.here.send(Ping(1 << 40))
            sizes.append(len(self.here_transport.written))
        self.assertLess(sizes[2], sizes[0])

    async def test_malformed_data_closes_the_link(self) -> None:
        self.here.data_received(b'\xff' * 20)
        self.assertTrue(self.here_transport.closed)
        self.assertEqual(self.received, [])

    async def test_codec_decodes_sent_frames(self) -> None:
        self.here.ping()
        expanded = zlib.decompressobj(wbits=-13).decompress(
            self.here_transport.written
        )
        frames = list(FrameReader().feed(expanded))
        self.assertEqual([decode(frame) for frame in frames], [Ping(1)])


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.telemetry = Telemetry(
            LineWriter(writer, {}),
            GatewayMetrics(),
            ManualClock(),
        )
        self.listed: list[Peer] = []
        #: The groups of shards that have a home.
        self.groups = 0
        self.memory = ReplyMemory()
        self.peers = self.make_peers('kyu-1')

    def make_peers(self, own_name: str) -> PeerLinks:
        return PeerLinks(
            own_name,
            'a',
            lambda: self.listed,
            self.telemetry,
            PeerLinkSettings(self.memory, count_groups=lambda: self.groups),
        )

    def add_link(
        self, name: str, data_centre: str = 'b'
    ) -> tuple[Peer, Link, FakeTransport]:
        """Returns a usable link to a host, with its peer."""
        peer = Peer(name, data_centre, '10.0.0.1', 1)
        link = Link(self.peers._receive, self.peers._forget_link, self.memory)
        transport = FakeTransport()
        link.connection_made(transport)
        self.peers._links[peer] = link
        self.receive(link, Pong(0))
        return peer, link, transport

    def receive(self, link: Link, message: LinkMessage) -> None:
        other = Link(lambda sender, got: None, lambda sender: None, self.memory)
        transport = FakeTransport()
        other.connection_made(transport)
        other.send(message)
        link._input = _Decompressor()
        link.data_received(transport.written)

    async def test_links_for_credits_carry_nothing_else(self) -> None:
        """All hosts link to the same few, which would relay for all."""
        peer, link, _ = self.add_link('kyu-2')
        self.listed = [peer, Peer('kyu-3', 'b', '10.0.0.1', 1)]
        self.peers._quiet_peers = {peer: 2.0}
        self.assertIsNone(self.peers.find_link('b'))
        self.assertIs(self.peers.find_link_to('kyu-2'), link)

    def add_homes(self) -> dict[str, Link]:
        """Adds ten hosts of this data centre; returns links to all homes."""
        names = [f'here-{number}' for number in range(10)]
        self.listed = [Peer(name, 'a', '10.0.0.1', 1) for name in names]
        homes = choose_homes(self.groups, ('kyu-1', *names))
        return {
            name: self.add_link(name, 'a')[1]
            for name in names
            if any(name in group for group in homes)
        }

    async def test_second_home_is_asked_while_the_first_one_is_not(
        self,
    ) -> None:
        """A host that stops would have made every query late."""
        self.groups = 4
        links = self.add_homes()
        self.peers.check()
        homes = choose_homes(4, ('kyu-1', *(one.name for one in self.listed)))
        for group, (first, second) in enumerate(homes):
            if first == 'kyu-1':
                self.assertIsNone(self.peers.find_home(group))
                continue
            self.assertIs(self.peers.find_home(group), links[first])
            self.receive(links[first], Leaving())
            self.assertIs(self.peers.find_home(group), links.get(second))
        self.assertIsNone(self.peers.find_home(4))

    async def test_links_to_homes_carry_no_queries_for_all_targets(
        self,
    ) -> None:
        """All hosts link to the same few, which would relay for all."""
        self.groups = 2
        links = self.add_homes()
        self.peers.check()
        watchers = {peer.name for peer in self.peers._choose_peers()}
        self.assertEqual(
            set(links) - watchers,
            {peer.name for peer in self.peers._quiet_peers},
        )

    async def test_without_groups_there_are_no_homes(self) -> None:
        """A deployment of a few hosts asks targets itself."""
        self.add_homes()
        self.peers.check()
        self.assertIsNone(self.peers.find_home(0))
        self.assertEqual(self.peers._quiet_peers, {})

    async def test_leaving_host_gets_no_new_queries(self) -> None:
        _, link, transport = self.add_link('kyu-2')
        self.assertIs(self.peers.find_link('b'), link)
        self.receive(link, Leaving())
        self.assertIsNone(self.peers.find_link('b'))
        self.assertFalse(transport.closed)

    async def test_unlisted_host_keeps_its_link_until_another_is_usable(
        self,
    ) -> None:
        _, _, transport = self.add_link('kyu-2')
        self.peers._close_unwanted(set())
        self.assertFalse(transport.closed)
        other, _, _ = self.add_link('kyu-3')
        self.peers._close_unwanted({other})
        self.assertTrue(transport.closed)

    async def test_host_that_the_store_turns_away_can_ask_its_neighbour(
        self,
    ) -> None:
        """Two watchers had no link to each other, and one stayed behind."""
        server = await asyncio.get_running_loop().create_server(
            lambda: Link(
                lambda sender, got: None, lambda sender: None, self.memory
            ),
            '127.0.0.1',
            0,
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.listed = [Peer('kyu-2', 'a', '127.0.0.1', port)]
        self.peers.check()
        async with asyncio.timeout(10):
            await asyncio.gather(*self.peers._dialling.values())
            while self.peers.find_any_link() is None:
                await asyncio.sleep(0.001)
        self.assertEqual(self.peers._links.keys(), set(self.listed))
        self.assertIsNone(self.peers.find_watcher())

    async def test_watcher_of_many_hosts_links_to_the_other_one_only(
        self,
    ) -> None:
        """Links take memory, so a large data centre must not get more."""
        names = [f'here-{number}' for number in range(1600)]
        first, second = choose_watchers((name, 'a') for name in names)
        for own, other in ((first, second), (second, first)):
            self.listed = [
                Peer(name, 'a', '10.0.0.1', 1) for name in names if name != own
            ]
            chosen = self.make_peers(own)._choose_peers()
            self.assertEqual({peer.name for peer in chosen}, {other})

    async def test_other_hosts_link_to_watchers_of_their_data_centre(
        self,
    ) -> None:
        others = [f'here-{number}' for number in range(20)]
        self.listed = [Peer(name, 'a', '10.0.0.1', 1) for name in others]
        names = choose_watchers((name, 'a') for name in ('kyu-1', *others))
        self.assertNotIn('kyu-1', names)
        chosen = self.peers._choose_peers()
        self.assertEqual({peer.name for peer in chosen}, names)
        self.assertIsNone(self.peers.find_watcher())

    async def ask_peers(self, answering: Link) -> StoreView:
        """Reads through peers, of which one gets answers from the store."""
        lost = [StoreLostError('x') for _ in range(10)]
        router = RelayRouter('a')
        router.links = self.peers
        fallback = FallbackStore(
            ScriptedStore(*lost),
            router,
            'hosts/',
            self.telemetry,
            ManualClock(),
        )

        def answer(
            link: MessageLink, query: StoreQuery, handle: HandleReply
        ) -> None:
            self.asked.append(link)
            outcome, view = StoreOutcome.LOST, StoreView((), 0)
            if link is answering:
                outcome, view = StoreOutcome.ANSWERED, ONE
            handle(StoreReply(query.number, outcome, view))

        with patch.object(self.peers, 'send_query', answer):
            for _ in range(10):
                # A request that is relayed between two reads.
                self.peers.find_link('b')
                with contextlib.suppress(StoreLostError):
                    return await fallback.watch('p/', 1, timedelta())
        return StoreView((), 0)

    async def test_peer_without_the_store_is_not_asked_again_before_others(
        self,
    ) -> None:
        """Requests between reads led each read to the same peer."""
        links = [self.add_link(f'kyu-{number}')[1] for number in range(2, 6)]
        for answering in links:
            self.asked: list[MessageLink] = []
            self.assertEqual(await self.ask_peers(answering), ONE)
            self.assertEqual(len(self.asked), len(set(self.asked)))

    async def test_every_other_peer_is_asked_before_one_again(self) -> None:
        """One that answered without news was asked before one with news."""
        links = [self.add_link(f'kyu-{number}')[1] for number in range(2, 5)]
        first = self.peers.find_any_link()
        second = self.peers.find_any_link()
        assert second is not None
        third = self.peers.find_any_link({second})
        self.assertEqual({first, second, third}, set(links))

    async def test_link_in_use_is_not_closed(self) -> None:
        _, link, transport = self.add_link('kyu-2')
        query = StoreQuery(1, '', None, timedelta())
        self.peers.send_query(link, query, lambda message: None)
        other, _, _ = self.add_link('kyu-3')
        self.peers._close_unwanted({other})
        self.assertFalse(transport.closed)

    async def test_closed_link_ends_its_queries(self) -> None:
        _, link, _ = self.add_link('kyu-2')
        got: list[LinkMessage | None] = []
        query = StoreQuery(1, '', None, timedelta())
        self.peers.send_query(link, query, got.append)
        link.connection_lost(None)
        self.assertEqual(got, [None])
        self.assertIsNone(self.peers.find_link('b'))


if __name__ == '__main__':
    unittest.main()
