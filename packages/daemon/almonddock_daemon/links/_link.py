"""One TCP connection between two hosts."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.model import Clock
from almonddock_wire import (
    MAX_FRAME_BYTES,
    BadFrameError,
    FrameReader,
    Hello,
    Message,
    Ping,
    Pong,
    add_length_prefix,
    decode,
    encode,
)

#: How often a ping is sent on a link.
PING_PERIOD = timedelta(seconds=0.5)

#: A link that receives nothing for this long after a ping is closed.
SILENCE_LIMIT = 3 * PING_PERIOD

#: A link that carried no message for this long is not pinged.
ACTIVE_TIME = 6 * PING_PERIOD

#: A dialled link that carried no message for this long is closed.
IDLE_LIMIT = 4 * ACTIVE_TIME

#: A link with more unsent bytes than this is closed.
MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES


class Link(asyncio.Protocol):
    """Sends and receives messages; both ends send :class:`Hello` first.

    ``receive`` is called with each message except hello, ping and pong, and
    ``close`` once, with the reason, when the connection ends.
    """

    def __init__(
        self,
        own: Hello,
        clock: Clock,
        handle_hello: 'Callable[[Link], None]',
        receive: 'Callable[[Link, Message], None]',
        close: 'Callable[[Link, str], None]',
    ) -> None:
        self._own = own
        self._clock = clock
        self._handle_hello = handle_hello
        self._receive = receive
        self._close = close
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._ping_number = 0
        # When the last ping was sent; None once anything was received.
        self._ping_sent_at: timedelta | None = None
        self._last_message_at = clock.now()
        self._reason = 'closed by the other host'
        #: The hello of the other host; None until it has arrived.
        self.peer: Hello | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the hello."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.send(self._own)

    def data_received(self, received: bytes) -> None:
        """Handles each message; closes the link on a bad frame."""
        now = self._clock.now()
        self._ping_sent_at = None
        try:
            for encoded in self._reader.feed(received):
                self._handle(decode(encoded, now))
        except BadFrameError as error:
            self.abort(error.code)

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the end of the link."""
        self._transport = None
        self._close(self, self._reason)

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None

    @property
    def idle(self) -> bool:
        """Whether no message was sent or received within the idle limit."""
        return self._clock.now() - self._last_message_at > IDLE_LIMIT

    def send(self, message: Message) -> bool:
        """Sends a message; returns False when the link is not open."""
        self._last_message_at = self._clock.now()
        return self._write(message)

    def check_liveness(self) -> None:
        """Pings a link in use; closes it if the last ping timed out."""
        now = self._clock.now()
        if self._ping_sent_at is not None:
            if now - self._ping_sent_at > SILENCE_LIMIT:
                self.abort('nothing was received within the silence limit')
        elif now - self._last_message_at <= ACTIVE_TIME:
            self._ping_sent_at = now
            self._ping_number += 1
            self._write(Ping(self._ping_number))

    def abort(self, reason: str) -> None:
        """Closes the link at once and discards unsent messages."""
        self._reason = reason
        if self._transport is not None:
            self._transport.abort()

    def _write(self, message: Message) -> bool:
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        transport.write(add_length_prefix(encode(message, self._clock.now())))
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort('the other host does not read')
        return True

    def _handle(self, message: Message) -> None:
        match message:
            case Ping():
                self._write(Pong(message.number))
            case Pong():
                pass
            case Hello():
                self.peer = message
                self._handle_hello(self)
            case _:
                self._last_message_at = self._clock.now()
                self._receive(self, message)
