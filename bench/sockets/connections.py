"""Persistent HTTP connections to one address, at little CPU per request."""

import asyncio
from collections import deque

from almonddock_daemon.adapters._http_connection import (
    HandleResponse,
    HttpConnection,
    HttpResponse,
)


class ConnectionPool:
    """Sends each request on an idle connection or on a new one."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle: deque[HttpConnection] = deque()

    async def request(self, encoded: bytes) -> HttpResponse | None:
        """Returns the response, or None when the connection broke.

        Raises:
            OSError: no connection was accepted.
        """
        connection = await self._acquire()
        loop = asyncio.get_running_loop()
        done: asyncio.Future[HttpResponse | None] = loop.create_future()
        connection.request(encoded, _settle_once(done))
        try:
            response = await done
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.open:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def _acquire(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.open:
                return connection
        _, opened = await asyncio.get_running_loop().create_connection(
            lambda: HttpConnection(_ignore_close),
            self._host,
            self._port,
        )
        return opened


def _settle_once(
    done: asyncio.Future[HttpResponse | None],
) -> HandleResponse:
    def settle(response: HttpResponse | None) -> None:
        if not done.done():
            done.set_result(response)

    return settle


def _ignore_close(connection: HttpConnection) -> None:
    """Does nothing: the pool skips connections that have closed."""
