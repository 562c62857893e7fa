"""A small HTTP/1.1 server on one asyncio loop, for the stand-ins.

A stand-in passes a function that receives one :class:`Exchange` for each
request and answers it now or later, from a timer for example. Requests on
one connection are expected one after the other, without pipelining.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol, cast

import httptools
import orjson

NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Request:
    """One parsed HTTP request."""

    method: str
    path: str
    #: Header values by name in lower case.
    headers: Mapping[str, str]
    body: bytes


class Exchange:
    """One request and the connection that its response goes to."""

    __slots__ = ('_connection', 'request')

    def __init__(self, request: Request, connection: 'Connection') -> None:
        self.request = request
        self._connection = connection

    def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Sends a whole response, unless the connection is closed."""
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        head = (
            f'HTTP/1.1 {int(status)} {_PHRASES.get(status, "Other")}\r\n'
            f'content-length: {len(body)}\r\n{lines}\r\n'
        )
        self._connection.write(b''.join((head.encode(), body)))

    def respond_json(self, content: object, status: int = 200) -> None:
        """Sends a value as JSON."""
        headers = {'content-type': 'application/json'}
        self.respond(status, orjson.dumps(content), headers)

    def start_stream(self) -> None:
        """Sends the head of a response whose body follows in chunks."""
        self._connection.write(
            b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
            b'transfer-encoding: chunked\r\n\r\n',
        )

    def write_line(self, content: object) -> None:
        """Sends a value as one chunk, which is a line of JSON."""
        line = orjson.dumps(content, option=orjson.OPT_APPEND_NEWLINE)
        self._connection.write(b'%x\r\n%b\r\n' % (len(line), line))

    def abort(self) -> None:
        """Breaks the connection without a response."""
        self._connection.abort()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._connection.closed


class AdmissionPolicy(Protocol):
    """Decides whether and after which delay a connection is read."""

    def __call__(self, connection: 'Connection') -> float | None:
        """Returns seconds until the first read; None refuses the connection."""
        ...


Handler = Callable[[Exchange], None]


class Connection(asyncio.Protocol):
    """One accepted connection."""

    def __init__(self, server: 'HttpServer') -> None:
        self.closed = False
        #: Whether responses are dropped although requests are still read.
        self.stalled = False
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = ''
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Closes a refused connection, or delays its first read."""
        self._transport = cast(asyncio.Transport, transport)
        delay = self._server.admission(self)
        if delay is None:
            self.abort()
            return
        self._server.connections.add(self)
        if delay > 0:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._resume)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser, which calls the ``on_`` methods."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the server."""
        self.closed = True
        self._server.connections.discard(self)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._headers = {}
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Keeps the path."""
        self._path = url.decode()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Keeps one header."""
        self._headers[name.decode().lower()] = field.decode()

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Passes the request to the handler."""
        request = Request(
            method=self._parser.get_method().decode(),
            path=self._path,
            headers=self._headers,
            body=b''.join(self._body),
        )
        self._server.handler(Exchange(request, self))

    def write(self, content: bytes) -> None:
        """Sends bytes unless the connection is closed or stalled."""
        if self._transport is None or self.closed or self.stalled:
            return
        self._transport.write(content)

    def abort(self) -> None:
        """Breaks the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _resume(self) -> None:
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()


def admit_all(connection: Connection) -> float:
    """Admits every connection without a delay."""
    return 0


class HttpServer:
    """An HTTP server on one address; one loop may run many."""

    def __init__(
        self, handler: Handler, admission: AdmissionPolicy = admit_all
    ) -> None:
        self.handler = handler
        self.admission = admission
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Listens and returns the address with the port that was bound."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            host,
            int(port),
        )
        bound = self._server.sockets[0].getsockname()
        return f'{host}:{bound[1]}'

    async def stop(self) -> None:
        """Stops listening and breaks every connection."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Breaks every open connection."""
        for connection in tuple(self.connections):
            connection.abort()


_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)
