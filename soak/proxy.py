"""A TCP proxy on loopback that can impair the connections through it."""

import asyncio
import math
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from almonddock_gateway.settings import Address

#: ``SO_LINGER`` with a zero timeout: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

END_OF_HEAD = b'\r\n\r\n'

#: Bytes that are no reply, and the pause between two writes of them.
FILLER = b'x' * 65_536
FILLER_INTERVAL_S = 0.02

#: The head of a reply whose body does not end, and how much of it is sent at
#: once, in writes of filler.
ENDLESS_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 100000000000000\r\n\r\n'
ENDLESS_WRITES = 32


@dataclass(frozen=True, slots=True)
class PathImpairment:
    """How the proxy impairs the traffic of a path."""

    #: The delay before bytes are forwarded, in seconds.
    delay_s: float = 0
    #: Whether new connections are reset.
    refused: bool = False
    #: Whether bytes to the server are discarded.
    drops_upstream: bool = False
    #: Whether bytes from the server are discarded.
    drops_downstream: bool = False
    #: Whether each chunk that the server sends is forwarded twice.
    doubled: bool = False
    #: Whether only half of the next chunk that the server sends is forwarded,
    #: followed by a reset of the connection.
    cut: bool = False
    #: Whether the next chunk that the server sends ends in the middle of the
    #: head of its reply, where the connection is closed without a reset.
    half_head: bool = False
    #: How long after a chunk of the server a copy of it is sent, in seconds; 0
    #: for no copy.
    copy_after_s: float = 0
    #: Whether the head of a reply goes on with bytes without end.
    endless: bool = False
    #: Whether each chunk that the server sends is replaced by a reply with a
    #: body without end.
    endless_body: bool = False
    #: What each chunk that the server sends is replaced by, in turn; empty to
    #: forward the chunks.
    replies: tuple[bytes, ...] = ()


UNIMPAIRED = PathImpairment()
SILENT = PathImpairment(drops_upstream=True, drops_downstream=True)

Alter = Callable[[bytes], bytes]


class _Side(asyncio.Protocol):
    """One end of a connection through the proxy."""

    def __init__(self, proxy: 'Proxy', *, is_server: bool) -> None:
        self.peer: _Side | None = None
        self._proxy = proxy
        self._is_server = is_server
        self._transport: asyncio.Transport | None = None
        self._pending: list[bytes] = []
        self._next_call_at: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; dials the server for a client connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._is_server:
            return
        self._proxy.accept(self)

    @property
    def is_open(self) -> bool:
        """Whether this end has not been lost."""
        return self._transport is not None

    def attach_peer(self, peer: '_Side') -> None:
        """Sets the other end, and forwards what was received before."""
        self.peer = peer
        for received in self._pending:
            self._forward(received)
        self._pending = []

    def data_received(self, received: bytes) -> None:
        """Forwards bytes, or keeps them until the other end is open."""
        if self.peer is None:
            self._pending.append(received)
        else:
            self._forward(received)

    def connection_lost(self, error: Exception | None) -> None:
        """Closes the other end after delayed bytes have been written."""
        self._transport = None
        self._proxy.discard(self)
        if self.peer is not None:
            self._call_in_order(self.peer.close)

    def close(self) -> None:
        """Closes this end without a reset."""
        if self._transport is not None:
            self._transport.close()

    def write(self, sent: bytes) -> None:
        """Writes to this end."""
        if self._transport is not None:
            self._transport.write(sent)

    def send_endlessly(self, writes: int = 1) -> None:
        """Writes filler as fast as this end reads, until it closes."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() < len(FILLER):
            transport.write(FILLER * writes)
        loop = asyncio.get_running_loop()
        loop.call_later(FILLER_INTERVAL_S, self.send_endlessly, writes)

    def reset(self) -> None:
        """Closes this end with a reset."""
        transport = self._transport
        if transport is None:
            return
        raw = transport.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()

    def _forward(self, received: bytes) -> None:
        impairment = self._proxy.impairment
        assert self.peer is not None
        lost = (
            impairment.drops_downstream
            if self._is_server
            else impairment.drops_upstream
        )
        if lost:
            return
        if self._is_server and impairment.cut:
            self.peer.write(received[: len(received) // 2])
            self.peer.reset()
            self.reset()
            return
        peer = self.peer
        if self._is_server and (impairment.half_head or impairment.endless):
            self._break_head(peer, received)
            return
        if self._is_server and impairment.endless_body:
            peer.write(ENDLESS_HEAD)
            peer.send_endlessly(ENDLESS_WRITES)
            return
        if self._is_server and impairment.replies:
            received = self._proxy.next_reply()
        if self._is_server and impairment.doubled:
            received += received
        self._call_in_order(lambda: peer.write(received))
        if self._is_server and impairment.copy_after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(impairment.copy_after_s, peer.write, received)

    def _break_head(self, peer: '_Side', received: bytes) -> None:
        """Forwards half of a reply's head, then filler or the end."""
        peer.write(received[: max(0, received.find(END_OF_HEAD)) // 2])
        if self._proxy.impairment.endless:
            peer.send_endlessly()
        else:
            peer.close()

    def _call_in_order(self, call: Callable[[], None]) -> None:
        """Makes a call after the delay, and not before any earlier call."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        due = max(now + self._proxy.impairment.delay_s, self._next_call_at)
        # Calls at the same time may be made in any order.
        self._next_call_at = math.nextafter(due, math.inf)
        if due <= now:
            call()
        else:
            loop.call_at(due, call)


class Proxy:
    """Forwards connections to one server."""

    def __init__(self, upstream: Address) -> None:
        #: The current impairment; it applies to open connections too.
        self.impairment = UNIMPAIRED
        self._upstream = upstream
        self._sides: set[_Side] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._replaced = 0

    async def start(self, host: str) -> Address:
        """Listens on a free port and returns the address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Side(self, is_server=False),
            host,
            0,
        )
        port: int = self._server.sockets[0].getsockname()[1]
        return Address(host, port)

    def next_reply(self) -> bytes:
        """Returns the next of the replies that replace the server's."""
        self._replaced += 1
        replies = self.impairment.replies
        return replies[self._replaced % len(replies)]

    def reset_all(self) -> None:
        """Resets every open connection."""
        for side in tuple(self._sides):
            side.reset()

    def close(self) -> None:
        """Stops listening, and resets every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def accept(self, side: _Side) -> None:
        """Opens a connection to the server for a new client connection."""
        if self.impairment.refused:
            side.reset()
            return
        self._sides.add(side)
        task = asyncio.create_task(self._dial(side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def discard(self, side: _Side) -> None:
        """Removes a closed end."""
        self._sides.discard(side)

    async def _dial(self, side: _Side) -> None:
        try:
            _, server = await asyncio.get_running_loop().create_connection(
                lambda: _Side(self, is_server=True),
                self._upstream.host,
                self._upstream.port,
            )
        except OSError:
            # The server is not listening, so the client is refused too.
            side.reset()
            return
        if not side.is_open:
            # The client has left meanwhile, and nothing would end the rest.
            server.close()
            return
        self._sides.add(server)
        server.attach_peer(side)
        side.attach_peer(server)
