"""The server side of one connection from a caller."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
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
from almonddock_gateway.http._reply_memory import ReplyMemory
from almonddock_gateway.http._request_memory import RequestMemory
from almonddock_gateway.http._request_reader import (
    CallerRequest,
    RequestReader,
)
from almonddock_gateway.http._sockets import measure_way, set_user_timeout

#: The most requests that wait on one connection behind the current one.
MAX_PIPELINED = 16

#: How long a connection is read after its last answer, in seconds, so that
#: late bytes do not reset it before the caller has received the answer.
LINGER_S = 1.0

#: How long written bytes may stay unacknowledged, in milliseconds.
USER_TIMEOUT_MS = 10_000

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BAD_GATEWAY = 502
UNAVAILABLE = 503
#: The Retry-After of a host without memory or sockets left; other hosts have
#: room.
FULL_RETRY_AFTER = b'0.1'

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

#: What the parser raises.
ParserFault = httptools.HttpParserError, httptools.HttpParserUpgrade


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
    #: Bounds the requests of all connections.
    requests: RequestMemory
    #: Bounds the answers that callers have not read yet.
    answers: ReplyMemory


class CallerConnection(FlowControlledProtocol):
    """Reads requests, handles them one by one, and writes the answers."""

    def __init__(self, settings: ConnectionSettings) -> None:
        #: When the first bytes of a request arrived, or the connection became
        #: idle.
        self.since = settings.clock.now()
        #: When bytes arrived last.
        self.progress_at = self.since
        super().__init__()
        self._settings = settings
        self._reader = RequestReader(settings.get_limits, self)
        self._waiting: deque[CallerRequest] = deque()
        self._current: CallerRequest | None = None
        self._exchange: Exchange | None = None
        self._ended = False
        #: Whether a request was served on this connection.
        self._is_reused = False

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled, and no answer sent."""
        busy = self._current is not None or self._waiting or self._ended
        return not (busy or self._reader.reading)

    @property
    def ended(self) -> bool:
        """Whether the last answer was written, and the connection closes."""
        return self._ended and self._current is None

    @property
    def serving(self) -> bool:
        """Whether a request is being served."""
        return self._current is not None

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes the answer to the current request."""
        request = self._current
        transport = self._transport
        if request is None or transport is None:
            return
        is_last = not (self._waiting or self._reader.reading)
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
        self._settings.requests.update(self, self._estimate_memory())

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self.idle and self._transport is not None:
            self._transport.close()

    def enforce_timeouts(self) -> None:
        """Ends the connection if a header or idle timeout has passed."""
        if self._transport is None or self._current is not None:
            return
        limits = self._settings.get_limits()
        now = self._settings.clock.now()
        if self._is_paused:
            # Nothing is read, so nothing can arrive.
            self.progress_at = now
        waited = now - self.since
        silent = now - max(self.progress_at, self.since)
        if self._reader.is_late(limits, waited, silent):
            self.reject(REQUEST_TIMEOUT)
        elif waited > limits.idle_timeout:
            self._transport.close()
        self._count_unread_answers()

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
        self._waiting.clear()
        self._reader.close()
        self._settings.requests.update(self, 0)
        self._settings.answers.release(self)
        self._settings.closed(self)
        if exchange is not None:
            exchange.abandon()

    def data_received(self, received: bytes) -> None:
        """Feeds the parser."""
        for part in split_received(received):
            if self._ended:
                return
            self.progress_at = self._settings.clock.now()
            if self.idle:
                self.since = self.progress_at
                self._reader.reading_head = True
            try:
                self._reader.feed(part)
            except ParserFault as fault:
                self.reject(_choose_status(fault))
                return
            self._settings.requests.hold(self, self._estimate_memory())

    def expect_body(self) -> None:
        """Tells a caller that waits for it to send its body."""
        if self._transport is not None and self._current is None:
            self._transport.write(CONTINUE)

    def receive(self, request: CallerRequest) -> None:
        """Queues or starts a complete request."""
        self._waiting.append(request)
        self._start_next()
        if len(self._waiting) > MAX_PIPELINED:
            self.reject(BAD_REQUEST)

    def refuse(self) -> None:
        """Refuses what is not being served, for lack of memory or sockets."""
        self.reject(UNAVAILABLE, ((b'retry-after', FULL_RETRY_AFTER),))

    def reject(self, status: int, headers: Headers = ()) -> None:
        """Answers an unacceptable request and ends the connection."""
        if self._ended or self._transport is None:
            return
        self._waiting.clear()
        self._reader.end()
        if self._current is None:
            encoded = format_response(status, headers, b'', close=True)
            self._transport.write(encoded)
            self._linger()
        else:
            # The answer to the current request is the last on the connection.
            self._current.keep_alive = False
            if self._exchange is None:
                # Its handling failed, so no other answer comes.
                self.send(status, headers, b'')
            self._ended = True
        self._settings.requests.update(self, self._estimate_memory())

    def _start_next(self) -> None:
        """Starts the next request, unless one runs or answers are unread."""
        self._count_unread_answers()
        is_held = self._current is not None or self._is_paused
        if is_held or self._ended or not self._waiting:
            return
        request = self._waiting.popleft()
        self._current = request
        request.way = measure_way(self._transport, is_reused=self._is_reused)
        self._is_reused = True
        exchange = self._settings.handle(request, self)
        if self._current is request:
            self._exchange = exchange

    def _estimate_memory(self) -> int:
        """Returns about how many bytes the requests take."""
        requests = list(self._waiting)
        if self._current is not None:
            requests.append(self._current)
        whole = sum(request.estimate_memory() for request in requests)
        return whole + self._reader.estimate_memory()

    def _count_unread_answers(self) -> None:
        """Keeps the bound on the answers that callers have not read."""
        if self._transport is not None:
            self._settings.answers.hold(self, self.unread_bytes)

    def _linger(self) -> None:
        """Closes the connection after the caller has had time to read."""
        self._count_unread_answers()
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
