"""The client side of one connection, with one request at a time."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from almonddock_core.framing import is_oversized
from almonddock_gateway.http._errors import report_error
from almonddock_gateway.http._incomplete_reply import IncompleteReply
from almonddock_gateway.http._messages import Headers, split_received
from almonddock_gateway.http._reply_memory import ReplyMemory
from almonddock_gateway.http._sockets import set_user_timeout

#: How long written bytes may stay unacknowledged before the kernel closes the
#: connection, in milliseconds; ends connections to unreachable peers.
USER_TIMEOUT_MS = 2000

#: The statuses that HTTP defines (RFC 9110, 15); those from 200 on are final.
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
NO_BODY_STATUSES = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def find(self, name: bytes) -> bytes | None:
        """Returns the first header with this name, None without one."""
        for field, content in self.headers:
            if field == name:
                return content
        return None


class ReplyMatch(enum.Enum):
    """Whether a reply answers the request that was sent."""

    #: The reply answers the request.
    ACCEPTED = 'accepted'
    #: The reply answers another request; the right one may follow.
    FOREIGN = 'foreign'
    #: What was read is no reply: bytes of several replies may be mixed in it.
    BROKEN = 'broken'


#: Handles a reply, or None if the connection ended without one.
HandleReply = Callable[[HttpReply | None], ReplyMatch]


class ClientConnection(asyncio.Protocol):
    """Sends requests and reads their replies.

    ``released`` is called after each reply that leaves the connection usable,
    ``closed`` once when the connection has ended. ``memory`` bounds what all
    connections together hold of incomplete replies.
    """

    def __init__(
        self,
        released: 'Callable[[ClientConnection], None]',
        closed: 'Callable[[ClientConnection], None]',
        memory: ReplyMemory | None = None,
    ) -> None:
        #: When the connection became idle; set by its pool.
        self.idle_since: float = 0
        #: The server's idle timeout in seconds; None if it sent none.
        self.keep_alive: float | None = None
        #: Whether a reply exceeded its size limit, which ends the connection.
        self.exceeded = False
        self._released = released
        self._closed = closed
        self._memory = ReplyMemory() if memory is None else memory
        self._transport: asyncio.Transport | None = None
        self._handle: HandleReply | None = None
        self._without_body = False
        #: Whether a reply has left the connection usable; it is released once
        #: the bytes that came with the reply are known to end with it.
        self._to_release = False
        # Bytes received since the request was sent, and those of bodies.
        self._received_bytes = 0
        self._body_bytes = 0
        self._reply = IncompleteReply()
        self._parser = httptools.HttpResponseParser(self)

    @property
    def usable(self) -> bool:
        """Whether the connection is open and idle."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._handle is None
        )

    def request(
        self,
        encoded: bytes,
        handle: HandleReply,
        *,
        without_body: bool = False,
    ) -> None:
        """Sends a request; ``without_body`` is true for HEAD."""
        assert self._transport is not None
        self._handle = handle
        self._without_body = without_body
        self._received_bytes = 0
        self._body_bytes = 0
        self._transport.write(encoded)

    def close(self) -> None:
        """Closes immediately; the current request is not notified."""
        self._handle = None
        self.abort()

    def abort(self) -> None:
        """Closes immediately; the current request fails."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_user_timeout(transport, USER_TIMEOUT_MS)

    def data_received(self, received: bytes) -> None:
        """Feeds the parser; unsolicited bytes end the connection."""
        for part in split_received(received):
            self._parse(part)
        # Bytes may follow the reply: a request that is sent while they are
        # still to be parsed would take them for its reply.
        if self._to_release:
            self._to_release = False
            if self.usable:
                self._released(self)

    def pause_writing(self) -> None:
        """Counts a request that waits for the server to read it."""
        self._hold()

    def resume_writing(self) -> None:
        """Counts a request once the server has read most of it."""
        self._hold()

    def eof_received(self) -> bool:
        """Completes a reply that is delimited by the connection's end."""
        reply = self._reply
        if reply.is_head_complete and not reply.has_length:
            self.on_message_complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the end to the pool and to the current request."""
        self._transport = None
        handle = self._handle
        self._handle = None
        # Frees what was read: the parser and the connection refer to each
        # other, and the garbage collector runs late.
        self._reply = IncompleteReply()
        del self._parser
        self._memory.release(self)
        self._closed(self)
        if handle is not None:
            handle(None)

    def on_message_begin(self) -> None:
        """Starts a reply; called by the parser."""
        if self._handle is None:
            self.abort()
        self._reply = IncompleteReply()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Stores a header; called by the parser."""
        reply = self._reply
        if reply.has_too_many_headers:
            return
        name = name.lower()
        reply.headers.append((name, content))
        if name in {b'content-length', b'transfer-encoding'}:
            reply.has_length = True
        if reply.has_too_many_headers:
            self.abort()

    def on_headers_complete(self) -> None:
        """Handles the end of the headers; called by the parser."""
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self.abort()
            return
        if status < FIRST_FINAL_STATUS:
            return
        self._reply.is_head_complete = True
        if status in NO_BODY_STATUSES:
            self._reply.has_length = True
        elif self._without_body:
            self.on_message_complete()
            self.abort()

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self._body_bytes += len(part)
        self._reply.body += part

    def on_message_complete(self) -> None:
        """Passes the reply to its handler; called by the parser."""
        handle = self._handle
        read = self._reply
        if handle is None or not read.is_head_complete:
            return
        if read.has_too_many_headers:
            return
        reply = HttpReply(
            status=self._parser.get_status_code(),
            headers=read.headers,
            body=bytes(read.body),
        )
        keep = read.has_length and self._parser.should_keep_alive()
        self._reply = IncompleteReply()
        match = handle(reply)
        if match is not ReplyMatch.ACCEPTED:
            if match is ReplyMatch.BROKEN or not keep:
                self.abort()
            return
        self._handle = None
        # The server may still read the request, which counts it again.
        self._received_bytes = 0
        self.keep_alive = _read_keep_alive(reply) or self.keep_alive
        if keep:
            self._to_release = True
        else:
            self.abort()

    def _parse(self, part: bytes) -> None:
        """Feeds the parser, then checks the limits of a reply."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._handle is None:
            self.abort()
            return
        self._received_bytes += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserCallbackError as fault:
            report_error('the handling of a reply failed', fault)
            self.abort()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()
        if self._handle is None:
            self._memory.release(self)
        elif is_oversized(
            self._received_bytes,
            self._body_bytes,
            self._memory.max_reply_bytes,
        ):
            self.exceeded = True
            self.abort()
        else:
            self._hold()

    def _hold(self) -> None:
        """Counts what was read of a reply, and what waits to be sent."""
        if self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
            self._memory.hold(self, self._received_bytes + unsent)


def _read_keep_alive(reply: HttpReply) -> float | None:
    """Returns the idle timeout of the server in seconds, None without one."""
    stated = reply.find(b'keep-alive')
    if stated is None or not stated.startswith(b'timeout='):
        return None
    seconds = stated[len(b'timeout=') :].split(b',')[0]
    return float(seconds) if seconds.isdigit() else None
