"""One HTTP/1.1 connection to a target, parsed with httptools."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httptools

from almonddock_core.framing import is_oversized

#: Responses with a lower status are interim: another one follows.
FIRST_FINAL_STATUS = 200


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response; header names are in lower case."""

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


#: Receives the response, or None when the connection ended without one.
HandleResponse = Callable[[HttpResponse | None], None]


class HttpConnection(asyncio.Protocol):
    """Carries one request at a time.

    ``close`` is called once, when the connection has ended.
    """

    def __init__(self, close: 'Callable[[HttpConnection], None]') -> None:
        self._close = close
        self._transport: asyncio.Transport | None = None
        self._handle: HandleResponse | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        # The whole response; it is handed on once the bytes that came with
        # it are parsed.
        self._response: HttpResponse | None = None
        # Bytes received since the request was sent, and those of bodies.
        self._received_bytes = 0
        self._body_bytes = 0

    @property
    def open(self) -> bool:
        """Whether the connection is established and not closing."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def request(self, encoded: bytes, handle: HandleResponse) -> None:
        """Sends one request; no other may be in progress."""
        assert self._transport is not None
        self._handle = handle
        self._received_bytes = 0
        self._body_bytes = 0
        self._transport.write(encoded)

    def abort(self) -> None:
        """Closes the connection; a request in progress gets None."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Feeds the parser; bytes that no request waits for are an error.

        The handler of a response may send the next request at once, so it is
        called after all received bytes are parsed: a second copy of the
        response would be taken for the answer to the next request.
        """
        if self._handle is None:
            self.abort()
            return
        self._received_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()
        response = self._response
        if response is not None:
            self._response = None
            self._finish(response)
        elif is_oversized(self._received_bytes, self._body_bytes):
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the end to a request in progress and to ``close``."""
        self._transport = None
        self._finish(None)
        self._close(self)

    def on_message_begin(self) -> None:
        """Starts a response; called by the parser."""
        if self._response is not None:
            self.abort()
        self._headers = {}
        self._body = bytearray()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Stores a header; called by the parser."""
        self._headers[name.lower()] = field

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self._body_bytes += len(part)
        self._body += part

    def on_message_complete(self) -> None:
        """Keeps the first final response; called by the parser."""
        status = self._parser.get_status_code()
        if self._response is not None or status < FIRST_FINAL_STATUS:
            return
        self._response = HttpResponse(
            status=status,
            headers=self._headers,
            body=bytes(self._body),
        )
        if not self._parser.should_keep_alive():
            self.abort()

    def _finish(self, response: HttpResponse | None) -> None:
        handle = self._handle
        self._handle = None
        if handle is not None:
            handle(response)
