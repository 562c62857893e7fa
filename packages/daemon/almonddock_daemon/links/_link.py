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
    add_length,
    decode,
    encode,
)

#: How often a ping is sent on a link.
PING_PERIOD = timedelta(seconds=0.5)

#: A link without any received byte for this long is closed.
SILENCE_LIMIT = 3 * PING_PERIOD

#: Bytes that wait to be sent before a link counts as stuck.
MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES


class Link(asyncio.Protocol):
    """Sends and receives messages; both ends send :class:`Hello` first.

    ``receive`` is called with each message but hello, ping and pong; and
    ``close`` once, with the reason, when the connection ends.
    """

    def __init__(
        self,
        own: Hello,
        clock: Clock,
        greet: 'Callable[[Link], None]',
        receive: 'Callable[[Link, Message], None]',
        close: 'Callable[[Link, str], None]',
    ) -> None:
        self._own = own
        self._clock = clock
        self._greet = greet
        self._receive = receive
        self._close = close
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._heard_at = clock.now()
        self._ping_number = 0
        self._reason = 'closed by the other host'
        #: Who is at the other end; None until its hello has arrived.
        self.peer: Hello | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the hello."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._heard_at = self._clock.now()
        self.send(self._own)

    def data_received(self, received: bytes) -> None:
        """Hands on each message; closes the link at a bad frame."""
        now = self._clock.now()
        self._heard_at = now
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

    def send(self, message: Message) -> bool:
        """Sends a message; returns False when the link is not open."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        transport.write(add_length(encode(message, self._clock.now())))
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort('the other host does not read')
        return True

    def check(self) -> None:
        """Sends a ping, and closes the link after too long a silence."""
        if self._clock.now() - self._heard_at > SILENCE_LIMIT:
            self.abort('nothing was received within the silence limit')
            return
        self._ping_number += 1
        self.send(Ping(self._ping_number))

    def abort(self, reason: str) -> None:
        """Closes the link at once, without sending what waits."""
        self._reason = reason
        if self._transport is not None:
            self._transport.abort()

    def _handle(self, message: Message) -> None:
        match message:
            case Ping():
                self.send(Pong(message.number))
            case Pong():
                pass
            case Hello():
                self.peer = message
                self._greet(self)
            case _:
                self._receive(self, message)
