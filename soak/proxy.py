"""A proxy on loopback that harms the connections through it."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from almonddock_gateway.settings import Address

#: Ends a connection with a reset instead of in good order.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclass(frozen=True, slots=True)
class PathTrouble:
    """What is wrong with a path."""

    #: Bytes are passed on so much later, in seconds.
    delay_s: float = 0
    #: New connections are reset.
    refused: bool = False
    #: Bytes towards the server are lost.
    drops_upstream: bool = False
    #: Bytes from the server are lost.
    drops_downstream: bool = False
    #: What the server sends arrives twice.
    doubled: bool = False
    #: Half of what the server sends arrives, and the connection is reset.
    cut: bool = False


SOUND = PathTrouble()
SILENT = PathTrouble(drops_upstream=True, drops_downstream=True)

Alter = Callable[[bytes], bytes]


class _Side(asyncio.Protocol):
    """One end of a connection through the proxy."""

    def __init__(self, proxy: 'Proxy', *, is_server: bool) -> None:
        self.other: _Side | None = None
        self._proxy = proxy
        self._is_server = is_server
        self._transport: asyncio.Transport | None = None
        self._early: list[bytes] = []
        self._due: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; asks for the server's end if there is none."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._is_server:
            return
        self._proxy.take(self)

    def join(self, other: '_Side') -> None:
        """Passes on what came before the server's end was open."""
        self.other = other
        for received in self._early:
            self._pass_on(received)
        self._early = []

    def data_received(self, received: bytes) -> None:
        """Passes bytes on, as far as the trouble lets them."""
        if self.other is None:
            self._early.append(received)
        else:
            self._pass_on(received)

    def connection_lost(self, error: Exception | None) -> None:
        """Closes the other end, after what is on its way."""
        self._transport = None
        self._proxy.forget(self)
        if self.other is not None:
            self._call_in_order(self.other.finish)

    def finish(self) -> None:
        """Closes this end in good order."""
        if self._transport is not None:
            self._transport.close()

    def write(self, sent: bytes) -> None:
        """Writes to this end."""
        if self._transport is not None:
            self._transport.write(sent)

    def reset(self) -> None:
        """Ends this end with a reset."""
        transport = self._transport
        if transport is None:
            return
        raw = transport.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()

    def _pass_on(self, received: bytes) -> None:
        trouble = self._proxy.trouble
        assert self.other is not None
        lost = (
            trouble.drops_downstream
            if self._is_server
            else trouble.drops_upstream
        )
        if lost:
            return
        if self._is_server and trouble.cut:
            self.other.write(received[: len(received) // 2])
            self.other.reset()
            self.reset()
            return
        if self._is_server and trouble.doubled:
            received += received
        other = self.other
        self._call_in_order(lambda: other.write(received))

    def _call_in_order(self, call: Callable[[], None]) -> None:
        """Calls after the delay, and never before an earlier call."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        due = max(now + self._proxy.trouble.delay_s, self._due)
        self._due = due
        if due <= now:
            call()
        else:
            loop.call_at(due, call)


class Proxy:
    """Passes connections on to one server."""

    def __init__(self, upstream: Address) -> None:
        #: What is wrong now; it concerns open connections too.
        self.trouble = SOUND
        self._upstream = upstream
        self._sides: set[_Side] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> Address:
        """Starts on a free port, and returns the address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Side(self, is_server=False),
            host,
            0,
        )
        port: int = self._server.sockets[0].getsockname()[1]
        return Address(host, port)

    def reset_all(self) -> None:
        """Resets every open connection."""
        for side in tuple(self._sides):
            side.reset()

    def close(self) -> None:
        """Stops listening, and resets every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def take(self, side: _Side) -> None:
        """Opens the server's end for a new connection."""
        if self.trouble.refused:
            side.reset()
            return
        self._sides.add(side)
        task = asyncio.create_task(self._dial(side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def forget(self, side: _Side) -> None:
        """Drops an end that has closed."""
        self._sides.discard(side)

    async def _dial(self, side: _Side) -> None:
        try:
            _, server = await asyncio.get_running_loop().create_connection(
                lambda: _Side(self, is_server=True),
                self._upstream.host,
                self._upstream.port,
            )
        except OSError:
            # The server is down, so the caller is refused as well.
            side.reset()
            return
        self._sides.add(server)
        server.join(side)
        side.join(server)
