"""One connection between two hosts."""

import asyncio
import zlib
from collections.abc import Callable, Iterator

from almonddock_core.framing import (
    BadFrameError,
    FrameReader,
    add_length_prefix,
)
from almonddock_gateway.links._codec import decode, encode
from almonddock_gateway.relays import LinkMessage, Ping, Pong, RelayQuery

#: The time without received data after which a link is pinged, in seconds.
PING_AFTER_S = 0.4

#: The time without an answer after which a link is closed, in seconds: above
#: the pauses of a busy host, below the time until most requests are given up.
CLOSE_AFTER_S = 1.0

#: The time without an answer to a ping or relay query after which a link gets
#: no new queries, in seconds.
SUSPECT_AFTER_S = 0.15


#: Each direction is one compressed stream, in which a query that resembles
#: earlier ones takes few bytes. The window of 2 ** WINDOW_BITS bytes holds the
#: last queries and replies; with this memory level a link takes about 50 KB.
WINDOW_BITS = 13
MEMORY_LEVEL = 5

#: The most bytes that are decompressed before frames are read from them.
DECOMPRESSED_AT_ONCE_BYTES = 0x10000


class Link(asyncio.Protocol):
    """Sends and receives messages, and detects an unresponsive peer.

    ``receive`` is called with each message except pings and pongs, ``closed``
    once when the connection has ended.
    """

    def __init__(
        self,
        receive: 'Callable[[Link, LinkMessage], None]',
        closed: 'Callable[[Link], None]',
    ) -> None:
        self._receive = receive
        self._closed = closed
        self._loop = asyncio.get_running_loop()
        self._reader = FrameReader()
        self._compressor = zlib.compressobj(
            wbits=-WINDOW_BITS,
            memLevel=MEMORY_LEVEL,
        )
        self._decompressor = zlib.decompressobj(wbits=-WINDOW_BITS)
        self._transport: asyncio.Transport | None = None
        self._last_received = self._loop.time()
        self._has_received = False
        # When the oldest unanswered ping or relay query was sent, if any.
        self._unanswered_since: float | None = None
        self._pings = 0

    @property
    def usable(self) -> bool:
        """Whether the other host has answered recently.

        An open connection is no proof: the kernel accepts connections for a
        process that hangs.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        if not self._has_received:
            return False
        return (
            self._unanswered_since is None
            or self._loop.time() - self._unanswered_since < SUSPECT_AFTER_S
        )

    def send(self, message: LinkMessage) -> None:
        """Sends a message; drops it if the link is closed."""
        if self._transport is None:
            return
        if (
            isinstance(message, Ping | RelayQuery)
            and self._unanswered_since is None
        ):
            self._unanswered_since = self._loop.time()
        packed = self._compressor.compress(add_length_prefix(encode(message)))
        flushed = self._compressor.flush(zlib.Z_SYNC_FLUSH)
        self._transport.write(packed + flushed)

    def check(self) -> None:
        """Pings an idle link, and closes an unresponsive one."""
        now = self._loop.time()
        if (
            self._unanswered_since is not None
            and now - self._unanswered_since > CLOSE_AFTER_S
        ):
            self.close()
        elif now - self._last_received > PING_AFTER_S:
            self.ping()

    def ping(self) -> None:
        """Sends a ping."""
        self._pings += 1
        self.send(Ping(self._pings))

    def close(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Handles each message; closes the link after a bad frame."""
        self._last_received = self._loop.time()
        self._unanswered_since = None
        self._has_received = True
        try:
            for piece in self._decompress(received):
                for encoded in self._reader.feed(piece):
                    self._handle_message(decode(encoded))
        except BadFrameError:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Reports that the connection has ended."""
        self._transport = None
        self._closed(self)

    def _decompress(self, received: bytes) -> Iterator[bytes]:
        """Yields pieces, so that the limit on frames bounds their memory."""
        is_complete = False
        while not is_complete:
            try:
                piece = self._decompressor.decompress(
                    received, DECOMPRESSED_AT_ONCE_BYTES
                )
            except zlib.error as fault:
                raise BadFrameError(f'bad compressed data: {fault}') from fault
            yield piece
            received = self._decompressor.unconsumed_tail
            # Output can be left when all input was consumed.
            is_full = len(piece) == DECOMPRESSED_AT_ONCE_BYTES
            is_complete = not (received or is_full)

    def _handle_message(self, message: LinkMessage) -> None:
        if isinstance(message, Ping):
            self.send(Pong(message.number))
        elif not isinstance(message, Pong):
            self._receive(self, message)
