"""Parses the requests on one connection of a caller."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

import httptools

from almonddock_core.framing import CHUNK_OVERHEAD
from almonddock_core.routing import CallerLimits
from almonddock_gateway.http._messages import PARSED_AT_ONCE_BYTES

#: What a header line takes in memory beyond its bytes.
HEADER_OVERHEAD = 160

BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller."""

    method: bytes = b''
    #: The request target as received.
    url: bytes = b''
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b''
    keep_alive: bool = True
    #: The network time of this request and its answer; zero if it is unknown.
    way: timedelta = timedelta()

    def find(self, name: bytes) -> bytes | None:
        """Returns the first header with this name, None without one."""
        for found, content in self.headers:
            if found == name:
                return content
        return None

    def count_head_bytes(self) -> int:
        """Returns the bytes of the target and the headers."""
        return len(self.url) + sum(
            len(name) + len(content) + len(': \r\n')
            for name, content in self.headers
        )

    def estimate_memory(self) -> int:
        """Returns about how many bytes of memory the request takes."""
        overhead = HEADER_OVERHEAD * len(self.headers)
        return self.count_head_bytes() + overhead + len(self.body)


class RequestReceiver(Protocol):
    """A connection whose requests are read."""

    def receive(self, request: CallerRequest) -> None:
        """Takes a complete request."""
        ...

    def reject(self, status: int) -> None:
        """Rejects the request that is being read."""
        ...

    def expect_body(self) -> None:
        """Tells a caller that waits for it to send its body."""
        ...


class RequestReader:
    """Keeps the request that is being read, within the limits."""

    def __init__(
        self,
        get_limits: Callable[[], CallerLimits],
        receiver: RequestReceiver,
    ) -> None:
        #: Whether the head or the body of a request is incomplete.
        self.reading_head = False
        self.reading_body = False
        self._get_limits = get_limits
        self._receiver = receiver
        self._request = CallerRequest()
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        # What arrived after the head and is no body: chunk sizes, extensions
        # and trailers. The parser keeps an unfinished line.
        self._framing_bytes = 0
        self._line_bytes = 0
        self._ended = False
        self._parser = httptools.HttpRequestParser(self)

    @property
    def reading(self) -> bool:
        """Whether a request is incomplete."""
        return self.reading_head or self.reading_body

    def estimate_memory(self) -> int:
        """Returns about how many bytes the incomplete request takes."""
        if self.reading_body:
            whole = self._request.estimate_memory() + len(self._body)
            return whole + self._line_bytes
        if not self.reading_head:
            return 0
        overhead = HEADER_OVERHEAD * len(self._request.headers)
        return self._head_bytes + PARSED_AT_ONCE_BYTES + overhead

    def is_late(
        self, limits: CallerLimits, waited: timedelta, silent: timedelta
    ) -> bool:
        """Whether the incomplete request has timed out.

        ``waited`` is the time since its start, ``silent`` since its last bytes.
        """
        if self.reading_head:
            return waited > limits.header_timeout
        if self.reading_body:
            is_silent = silent > limits.header_timeout
            return is_silent or waited > limits.idle_timeout
        return False

    def feed(self, part: bytes) -> None:
        """Parses some bytes; raises what the parser raises."""
        if self.reading_head:
            self._head_bytes += len(part)
        elif self.reading_body:
            self._framing_bytes += len(part)
            self._line_bytes += len(part)
        self._parser.feed_data(part)
        limit = self._get_limits().header_bytes
        if self.reading_head and self._head_bytes > limit:
            self._receiver.reject(HEADERS_TOO_LARGE)
        elif self.reading_body and self._framing_bytes > (
            limit + CHUNK_OVERHEAD * self._body_bytes
        ):
            self._receiver.reject(HEADERS_TOO_LARGE)

    def end(self) -> None:
        """Drops the incomplete request, and ignores all that follows."""
        self._ended = True
        self.reading_head = False
        self.reading_body = False
        self._request = CallerRequest()
        self._body = bytearray()

    def close(self) -> None:
        """Frees what was read, without the garbage collector.

        Parser and reader, and reader and connection, refer to each other.
        """
        self.end()
        del self._parser
        del self._receiver

    def on_message_begin(self) -> None:
        """Starts a request; called by the parser."""
        self._request = CallerRequest()
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._line_bytes = 0
        self.reading_head = not self._ended

    def on_url(self, url: bytes) -> None:
        """Appends to the request target; called by the parser."""
        self._request.url += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Stores a header, and drops a trailer; called by the parser.

        The parser does not tell them apart. A trailer must not replace or add
        to a header that routes the request (RFC 9110, 6.5.1).
        """
        if not (self._ended or self.reading_body):
            self._request.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Checks the limits; called by the parser."""
        if self._ended:
            return
        request = self._request
        self.reading_head = False
        self.reading_body = True
        request.method = self._parser.get_method()
        limits = self._get_limits()
        if request.count_head_bytes() > limits.header_bytes:
            self._receiver.reject(HEADERS_TOO_LARGE)
            return
        length = request.find(b'content-length')
        if length is not None and int(length) > limits.body_bytes:
            self._receiver.reject(BODY_TOO_LARGE)
        elif request.find(b'expect') == b'100-continue':
            self._receiver.expect_body()

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self._body_bytes += len(part)
        self._framing_bytes -= len(part)
        self._line_bytes = 0
        if self._body_bytes > self._get_limits().body_bytes:
            self._receiver.reject(BODY_TOO_LARGE)
        elif not self._ended:
            self._body += part

    def on_message_complete(self) -> None:
        """Passes the request on; called by the parser."""
        if self._ended:
            return
        self.reading_body = False
        request = self._request
        request.body = bytes(self._body)
        request.keep_alive = self._parser.should_keep_alive()
        self._request = CallerRequest()
        self._body = bytearray()
        self._receiver.receive(request)
