"""One connection between two hosts."""

import asyncio
import zlib
from collections.abc import Callable

from almonddock_core.framing import (
    BadFrameError,
    FrameReader,
    OversizedFrameError,
    add_length_prefix,
)
from almonddock_core.quotas import CreditQuery
from almonddock_gateway.http import ReplyMemory
from almonddock_gateway.links._codec import decode, encode
from almonddock_gateway.relays import (
    CountExchange,
    LinkMessage,
    Ping,
    Pong,
    RelayQuery,
    UnknownMessage,
)

#: The time without received data after which a link is pinged, in seconds.
PING_AFTER_S = 0.4

#: The time without an answer after which a link is closed, in seconds: above
#: the pauses of a busy host, below the time until most requests are given up.
CLOSE_AFTER_S = 1.0

#: The time without an answer to a ping or relay query after which a link gets
#: no new queries, in seconds.
SUSPECT_AFTER_S = 0.15

#: The time in which the other end of an accepted link must send its first
#: message, and the time without received data after which an accepted link is
#: closed, in seconds. The host that opened the link pings it.
FIRST_MESSAGE_S = 3.0
SILENCE_S = 10.0

#: Each direction is one compressed stream, in which a query that resembles
#: earlier ones takes few bytes. The window of 2 ** WINDOW_BITS bytes holds the
#: last queries and replies; with this memory level a link takes about 50 KB.
WINDOW_BITS = 13
MEMORY_LEVEL = 5

#: The most bytes that are decompressed before frames are read from them.
DECOMPRESSED_AT_ONCE_BYTES = 0x10000

#: The unsent bytes above which they count as held.
UNSENT_BYTES = 0x4000


class Link(asyncio.Protocol):
    """Sends and receives messages, and detects an unresponsive peer.

    ``receive`` is called with each message except pings and pongs, ``closed``
    once when the connection has ended. ``memory`` bounds what all links hold:
    incomplete frames, and bytes that the other host does not read.
    """

    def __init__(
        self,
        receive: 'Callable[[Link, LinkMessage], None]',
        closed: 'Callable[[Link], None]',
        memory: ReplyMemory,
        counts: CountExchange | None = None,
    ) -> None:
        self._receive = receive
        self._closed = closed
        self._memory = memory
        self._loop = asyncio.get_running_loop()
        self._reader = FrameReader()
        self._input = _Decompressor()
        # Created for the first message, since it takes much memory.
        self._compressor: zlib._Compress | None = None
        self._transport: asyncio.Transport | None = None
        self._is_writing_paused = False
        self._opened_at = self._loop.time()
        self._last_received = self._opened_at
        self._has_received = False
        # When the oldest unanswered ping or relay query was sent, if any.
        self._unanswered_since: float | None = None
        self._pings = 0
        self._counts = CountExchange() if counts is None else counts
        self._told_at = self._opened_at
        #: Why this end closed the link; empty otherwise.
        self.fault = ''

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
        """Sends a message; drops it if the link is closed.

        A message that no frame can hold closes the link.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if (
            isinstance(message, Ping | RelayQuery | CreditQuery)
            and self._unanswered_since is None
        ):
            self._unanswered_since = self._loop.time()
        try:
            frame = add_length_prefix(encode(message))
        except OversizedFrameError as oversized:
            self._close_faulty(oversized.message)
            return
        if self._compressor is None:
            self._compressor = zlib.compressobj(
                wbits=-WINDOW_BITS,
                memLevel=MEMORY_LEVEL,
            )
        packed = self._compressor.compress(frame)
        flushed = self._compressor.flush(zlib.Z_SYNC_FLUSH)
        transport.write(packed + flushed)
        self._count_held()

    def check(self, ping_after_s: float = PING_AFTER_S) -> None:
        """Pings an idle link, and closes an unresponsive one."""
        now = self._loop.time()
        if (
            self._unanswered_since is not None
            and now - self._unanswered_since > CLOSE_AFTER_S
        ):
            self.close()
        elif now - self._last_received > ping_after_s:
            self.ping()
        elif self._counts.is_needed() and now - self._told_at > PING_AFTER_S:
            self.ping()

    def ping(self) -> None:
        """Sends a ping."""
        self._pings += 1
        self._told_at = self._loop.time()
        self.send(Ping(self._pings, self._counts.list_new(self)))

    def close_if_silent(self) -> None:
        """Closes an accepted link whose other end sends nothing."""
        now = self._loop.time()
        if not self._has_received:
            if now - self._opened_at > FIRST_MESSAGE_S:
                self._close_faulty('no message after the link was opened')
        elif now - self._last_received > SILENCE_S:
            self._close_faulty('nothing was received')

    def abort(self) -> None:
        """Closes a link that holds too much."""
        self._close_faulty('too much memory for unread or unsent bytes')

    def close(self) -> None:
        """Closes the connection at once, and drops what it holds."""
        self._reader = FrameReader()
        self._input = _Decompressor()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=UNSENT_BYTES)

    def pause_writing(self) -> None:
        """Counts what the other host does not read as held."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Counts unsent bytes no longer."""
        self._is_writing_paused = False
        self._count_held()

    def data_received(self, received: bytes) -> None:
        """Handles each message; closes the link after a bad frame."""
        self._last_received = self._loop.time()
        self._unanswered_since = None
        is_behind = self._input.is_behind
        self._input.add(received)
        if not is_behind:
            self._read()

    def connection_lost(self, error: Exception | None) -> None:
        """Reports that the connection has ended."""
        self._transport = None
        self._memory.release(self)
        self._closed(self)

    def _read(self) -> None:
        """Handles some messages, and the rest in later turns of the loop.

        A few received bytes can hold millions of messages.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        try:
            for encoded in self._reader.feed(self._input.read()):
                self._handle_message(decode(encoded))
        except BadFrameError as bad:
            self._close_faulty(bad.message)
            return
        self._count_held()
        if self._input.is_behind:
            transport.pause_reading()
            self._loop.call_soon(self._read)
        else:
            transport.resume_reading()

    def _handle_message(self, message: LinkMessage) -> None:
        self._has_received = True
        if isinstance(message, Ping | Pong):
            if message.counts:
                self._counts.record(message.counts)
            if isinstance(message, Ping):
                self.send(Pong(message.number, self._counts.list_new(self)))
        elif not isinstance(message, UnknownMessage):
            self._receive(self, message)

    def _count_held(self) -> None:
        transport = self._transport
        held = self._reader.held + self._input.held
        if transport is not None and self._is_writing_paused:
            held += transport.get_write_buffer_size()
        if held:
            self._memory.hold(self, held)
        else:
            self._memory.release(self)

    def _close_faulty(self, fault: str) -> None:
        self.fault = self.fault or fault
        self.close()


class _Decompressor:
    """Decompresses received bytes, some at once."""

    def __init__(self) -> None:
        # Created for the first bytes, since it takes much memory.
        self._stream: zlib._Decompress | None = None
        self._received = b''
        #: Whether more can be read.
        self.is_behind = False

    @property
    def held(self) -> int:
        """The bytes that are not decompressed yet."""
        return len(self._received)

    def add(self, received: bytes) -> None:
        """Appends received bytes."""
        self._received += received
        self.is_behind = True

    def read(self) -> bytes:
        """Returns the next bytes.

        Raises:
            BadFrameError: the received bytes are not compressed data.
        """
        if self._stream is None:
            self._stream = zlib.decompressobj(wbits=-WINDOW_BITS)
        try:
            piece = self._stream.decompress(
                self._received, DECOMPRESSED_AT_ONCE_BYTES
            )
        except zlib.error as fault:
            raise BadFrameError(f'bad compressed data: {fault}') from fault
        self._received = self._stream.unconsumed_tail
        # Output can be left when all input was consumed.
        is_full = len(piece) == DECOMPRESSED_AT_ONCE_BYTES
        self.is_behind = bool(self._received) or is_full
        return piece
