"""The server side of one connection from a caller."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from almonddock_core.model import Clock
from almonddock_core.routing import CallerLimits
from almonddock_gateway.http._errors import report_error
from almonddock_gateway.http._flow import FlowControlledProtocol
from almonddock_gateway.http._messages import (
    Headers,
    format_response,
    split_received,
)
from almonddock_gateway.http._sockets import set_user_timeout

#: The most requests that wait on one connection behind the current one.
MAX_PIPELINED = 16

#: How long a connection is read after its last answer, in seconds, so that
#: late bytes do not reset it before the caller has received the answer.
LINGER_S = 1.0

#: How long written bytes may stay unacknowledged, in milliseconds.
USER_TIMEOUT_MS = 10_000

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
BAD_GATEWAY = 502
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

#: What the parser raises.
ParserFault = httptools.HttpParserError, httptools.HttpParserUpgrade


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller."""

    method: bytes = b''
    #: The request target as received.
    url: bytes = b''
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b''
    keep_alive: bool = True

    def find(self, name: bytes) -> bytes | None:
        """Returns the first header with this name, None without one."""
        for found, content in self.headers:
            if found == name:
                return content
        return None


class Exchange(Protocol):
    """A request in progress."""

    def abandon(self) -> None:
        """Cancels the work, because the caller has disconnected."""
        ...


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """The dependencies that all connections of callers share."""

    #: Starts a request; it is answered through ``CallerConnection.send``.
    handle: 'Callable[[CallerRequest, CallerConnection], Exchange | None]'
    #: Returns the limits in force.
    get_limits: Callable[[], CallerLimits]
    #: Returns whether connections close after their next answer.
    is_stopping: Callable[[], bool]
    #: Called when a connection has been opened or closed.
    opened: 'Callable[[CallerConnection], None]'
    closed: 'Callable[[CallerConnection], None]'
    clock: Clock


class CallerConnection(FlowControlledProtocol):
    """Reads requests, handles them one by one, and writes the answers."""

    def __init__(self, settings: ConnectionSettings) -> None:
        #: When the first bytes of a request arrived, or the connection became
        #: idle.
        self.since = settings.clock.now()
        super().__init__()
        self._settings = settings
        self._parser = httptools.HttpRequestParser(self)
        self._request = CallerRequest()
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._reading_head = False
        self._reading_body = False
        self._waiting: deque[CallerRequest] = deque()
        self._current: CallerRequest | None = None
        self._exchange: Exchange | None = None
        self._ended = False

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled, and no answer sent."""
        busy = self._current is not None or self._waiting or self._ended
        return not (busy or self._reading_head or self._reading_body)

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes the answer to the current request."""
        request = self._current
        transport = self._transport
        if request is None or transport is None:
            return
        is_last = not (
            self._waiting or self._reading_head or self._reading_body
        )
        close = not request.keep_alive or (
            is_last and self._settings.is_stopping()
        )
        encoded = format_response(
            status,
            headers,
            body,
            close=close,
            with_body=request.method != b'HEAD',
        )
        transport.write(encoded)
        self._current = None
        self._exchange = None
        self.since = self._settings.clock.now()
        if close:
            self._linger()
        else:
            self._start_next()

    def abort(self) -> None:
        """Closes the connection immediately, even during a request."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self.idle and self._transport is not None:
            self._transport.close()

    def enforce_timeouts(self) -> None:
        """Ends the connection if a header or idle timeout has passed."""
        limits = self._settings.get_limits()
        waited = self._settings.clock.now() - self.since
        if self._reading_head and self._current is None:
            if waited > limits.header_timeout:
                self._reject(REQUEST_TIMEOUT)
        elif self._current is None and waited > limits.idle_timeout:
            if self._transport is not None:
                self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_user_timeout(transport, USER_TIMEOUT_MS)
        self._settings.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Abandons the request of a caller that has disconnected."""
        self._transport = None
        exchange = self._exchange
        self._exchange = None
        self._current = None
        # Frees what was read: the parser and the connection refer to each
        # other, and the garbage collector runs late.
        self._waiting.clear()
        self._request = CallerRequest()
        self._body = bytearray()
        del self._parser
        self._settings.closed(self)
        if exchange is not None:
            exchange.abandon()

    def data_received(self, received: bytes) -> None:
        """Feeds the parser."""
        for part in split_received(received):
            if self._ended:
                return
            if self.idle:
                self.since = self._settings.clock.now()
                self._reading_head = True
            if self._reading_head:
                self._head_bytes += len(part)
            try:
                self._parser.feed_data(part)
            except ParserFault as fault:
                self._reject(_choose_status(fault))
                return
            limits = self._settings.get_limits()
            if self._reading_head and self._head_bytes > limits.header_bytes:
                self._reject(HEADERS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Starts a request; called by the parser."""
        self._request = CallerRequest()
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._reading_head = True

    def on_url(self, url: bytes) -> None:
        """Appends to the request target; called by the parser."""
        self._request.url += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Stores a header; called by the parser."""
        self._request.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Checks the limits; called by the parser."""
        request = self._request
        self._reading_head = False
        self._reading_body = True
        request.method = self._parser.get_method()
        limits = self._settings.get_limits()
        size = sum(
            len(name) + len(content) + len(': \r\n')
            for name, content in request.headers
        )
        if size + len(request.url) > limits.header_bytes:
            self._reject(HEADERS_TOO_LARGE)
            return
        length = request.find(b'content-length')
        if length is not None and int(length) > limits.body_bytes:
            self._reject(BODY_TOO_LARGE)
        elif request.find(b'expect') == b'100-continue':
            if self._transport is not None and self._current is None:
                self._transport.write(CONTINUE)

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self._body_bytes += len(part)
        if self._body_bytes > self._settings.get_limits().body_bytes:
            self._reject(BODY_TOO_LARGE)
        elif not self._ended:
            self._body += part

    def on_message_complete(self) -> None:
        """Queues or starts the request; called by the parser."""
        self._reading_body = False
        if self._ended:
            return
        request = self._request
        request.body = bytes(self._body)
        request.keep_alive = self._parser.should_keep_alive()
        self._waiting.append(request)
        self._start_next()
        if len(self._waiting) > MAX_PIPELINED:
            self._reject(BAD_REQUEST)

    def _start_next(self) -> None:
        """Starts the next request, unless one runs or answers are unread."""
        is_held = self._current is not None or self._is_paused
        if is_held or self._ended or not self._waiting:
            return
        request = self._waiting.popleft()
        self._current = request
        exchange = self._settings.handle(request, self)
        if self._current is request:
            self._exchange = exchange

    def _reject(self, status: int) -> None:
        """Answers an unacceptable request and ends the connection."""
        if self._ended or self._transport is None:
            return
        self._waiting.clear()
        if self._current is None:
            encoded = format_response(status, (), b'', close=True)
            self._transport.write(encoded)
            self._linger()
            return
        # The answer to the current request is the last on this connection.
        self._current.keep_alive = False
        if self._exchange is None:
            # The handling of the request failed, so no other answer comes.
            self.send(status, (), b'')
        self._ended = True

    def _linger(self) -> None:
        """Closes the connection after the caller has had time to read."""
        self._ended = True
        transport = self._transport
        if transport is None:
            return
        try:
            transport.write_eof()
        except OSError:
            # The caller has already reset the connection.
            transport.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)


def _choose_status(fault: Exception) -> int:
    """Returns the status after an error in parsing or handling a request."""
    if isinstance(fault, httptools.HttpParserCallbackError):
        report_error('a request of a caller failed', fault)
        return BAD_GATEWAY
    return BAD_REQUEST
