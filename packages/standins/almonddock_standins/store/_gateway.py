"""Serves the stand-in store over HTTP and injects faults."""

import asyncio
from collections import Counter
from datetime import timedelta
from http import HTTPStatus
from typing import Annotated

import orjson
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from almonddock_standins._http import Exchange, HttpServer
from almonddock_standins.store._calls import answer_call
from almonddock_standins.store._key_values import KeyValues, StoreError
from almonddock_standins.store._watches import Watch

WATCH_PATH = '/v3/watch'
#: Paths of calls that write no keys; ``lost_replies`` skips them.
READ_PATHS = frozenset(('/v3/kv/range', '/v3/lease/keepalive', WATCH_PATH))
#: Period at which expired leases are removed.
EXPIRY_PERIOD_S = 0.05
#: The gRPC status code in the error bodies of the gateway.
INVALID_ARGUMENT_CODE = 3
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True, config=ConfigDict(extra='forbid'))
class StoreFaults:
    """All faults that are on; ``POST /fault`` replaces the whole set."""

    #: Breaks every connection and refuses new ones.
    outage: bool = False
    #: Accepts every call and answers none.
    silent: bool = False
    #: Milliseconds before a call takes effect.
    slow_ms: Annotated[float, Field(ge=0)] = 0
    #: How many of the next writes take effect without a reply.
    lost_replies: Annotated[int, Field(ge=0)] = 0


FAULTS = TypeAdapter(StoreFaults)


class StandInStore:
    """Serves the store on one loopback address."""

    def __init__(self, address: str = '127.0.0.1:0') -> None:
        self.address = address
        self.key_values = KeyValues()
        #: Number of calls by path; a watch counts as one call.
        self.calls: Counter[str] = Counter()
        self.faults = StoreFaults()
        self._lost_replies = 0
        self._saved_contents = self.key_values.copy_contents()
        self._expiry: asyncio.Task[None] | None = None
        self._server = HttpServer(self._handle, self._admit)

    async def start(self) -> str:
        """Listens and returns the bound address."""
        self.address = await self._server.start(self.address)
        self._expiry = asyncio.create_task(self._expire_leases())
        return self.address

    async def stop(self) -> None:
        """Stops listening and breaks every connection."""
        if self._expiry is not None:
            self._expiry.cancel()
        await self._server.stop()

    def switch_faults(self, faults: StoreFaults) -> None:
        """Replaces the faults that are on."""
        self.faults = faults
        self._lost_replies = faults.lost_replies
        if faults.outage:
            self._server.abort_connections()

    def save_copy(self) -> None:
        """Saves a copy of the contents for :meth:`restore_copy`."""
        self._saved_contents = self.key_values.copy_contents()

    def restore_copy(self) -> None:
        """Restores the saved copy and breaks every connection."""
        self.key_values.restore(self._saved_contents)
        self._server.abort_connections()

    def _admit(self, connection: object) -> float | None:
        return None if self.faults.outage else 0

    def _handle(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if not path.startswith('/v3/'):
            self._handle_control(exchange)
            return
        self.calls[path] += 1
        if self.faults.silent:
            return
        if not self.faults.slow_ms:
            self._respond(exchange)
            return
        loop = asyncio.get_running_loop()
        seconds = self.faults.slow_ms / MILLISECONDS_PER_SECOND
        loop.call_later(seconds, self._respond, exchange)

    def _respond(self, exchange: Exchange) -> None:
        try:
            content = self._execute_call(exchange)
        except (StoreError, ValueError, KeyError) as error:
            exchange.respond_json(
                {
                    'code': INVALID_ARGUMENT_CODE,
                    'error': str(error),
                    'message': str(error),
                },
                HTTPStatus.BAD_REQUEST,
            )
            return
        if self._lost_replies and exchange.request.path not in READ_PATHS:
            self._lost_replies -= 1
            exchange.abort()
        elif content is not None:
            exchange.respond_json(content)

    def _execute_call(self, exchange: Exchange) -> dict[str, object] | None:
        path = exchange.request.path
        body = orjson.loads(exchange.request.body or b'{}')
        if path == WATCH_PATH:
            number = self.calls[WATCH_PATH]
            request = body['create_request']
            Watch(self.key_values, request, exchange, number).start()
            return None
        return answer_call(self.key_values, path, body, _read_time())

    def _handle_control(self, exchange: Exchange) -> None:
        path = exchange.request.path
        status = HTTPStatus.OK
        content: object = {}
        if path == '/counters':
            content = dict(self.calls)
        elif path == '/fault':
            status = self._schedule_faults(exchange.request.body)
        elif path == '/copy':
            self.save_copy()
        elif path == '/restore':
            asyncio.get_running_loop().call_soon(self.restore_copy)
        else:
            status = HTTPStatus.NOT_FOUND
        exchange.respond_json(content, status)

    def _schedule_faults(self, body: bytes) -> HTTPStatus:
        try:
            faults = FAULTS.validate_json(body)
        except ValidationError:
            return HTTPStatus.BAD_REQUEST
        # This call is answered before an outage breaks its connection.
        asyncio.get_running_loop().call_soon(self.switch_faults, faults)
        return HTTPStatus.OK

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.key_values.expire(_read_time())


def _read_time() -> timedelta:
    return timedelta(seconds=asyncio.get_running_loop().time())
