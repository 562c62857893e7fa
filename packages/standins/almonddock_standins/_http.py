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
    """One request as the stand-ins see it."""

    method: str
    path: str
    #: Names in lower case.
    headers: Mapping[str, str]
    body: bytes


class Exchange:
    """One request and the way to answer it."""

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
        """Sends the whole response; nothing when the peer has gone."""
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
        """Sends one chunk: a line of JSON."""
        line = orjson.dumps(content, option=orjson.OPT_APPEND_NEWLINE)
        self._connection.write(b'%x\r\n%b\r\n' % (len(line), line))

    def abort(self) -> None:
        """Breaks the connection without a response."""
        self._connection.abort()

    @property
    def closed(self) -> bool:
        """Whether the peer has gone."""
        return self._connection.closed


class Gate(Protocol):
    """What a server asks before it takes a connection."""

    def __call__(self, connection: 'Connection') -> float | None:
        """Returns seconds until the first read, or None to refuse."""
        ...


Handler = Callable[[Exchange], None]


class Connection(asyncio.Protocol):
    """One accepted connection."""

    def __init__(self, server: 'HttpServer') -> None:
        self.closed = False
        #: A stalled connection reads and never writes again.
        self.stalled = False
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = ''
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asks the gate, then reads at once or after the connect cost."""
        self._transport = cast(asyncio.Transport, transport)
        delay = self._server.gate(self)
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
        """Forgets the connection."""
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
        """Hands the request to the stand-in."""
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
    """Takes every connection without a delay."""
    return 0


class HttpServer:
    """Listens on one address; many fit in one loop."""

    def __init__(self, handler: Handler, gate: Gate = admit_all) -> None:
        self.handler = handler
        self.gate = gate
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


_PHRASES = MappingProxyType({one.value: one.phrase for one in HTTPStatus})
