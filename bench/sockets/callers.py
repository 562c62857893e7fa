"""Callers that send queries to entry hosts."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass

import httpx
import orjson

from bench.sockets.connections import ConnectionPool
from bench.sockets.fleet import DaemonProcess

#: The outcome of an accepted request that got no answer.
CUT = 'cut'
#: The outcome when no connection was accepted.
NOT_CONNECTED = 'not_connected'
BALANCER_PERIOD_S = 0.1
WHOLE = 'answered'


@dataclass(frozen=True, slots=True)
class Reply:
    """The outcome of one query."""

    outcome: str
    request_id: str = ''
    shards: int = 0
    answered: int = 0
    extra_tries: int = 0

    @property
    def whole(self) -> bool:
        """Whether every shard is in the answer."""
        return self.outcome == WHOLE


@dataclass(frozen=True, slots=True)
class QuerySettings:
    """The parameters of every query of a caller."""

    workload: str
    deadline_ms: int
    idempotent: bool = True


#: Chooses the address that gets the next query.
Choose = Callable[[], str]


class Caller:
    """Sends queries over persistent connections."""

    def __init__(self, settings: QuerySettings, choose: Choose) -> None:
        self._choose = choose
        self._pools: dict[str, ConnectionPool] = {}
        self._body = orjson.dumps(
            {
                'workload': settings.workload,
                'query': {'text': 'reed'},
                'deadline_ms': settings.deadline_ms,
                'idempotent': settings.idempotent,
            },
        )

    async def ask(self) -> Reply:
        """Sends one query and returns its outcome."""
        address = self._choose()
        pool = self._find_pool(address)
        head = (
            f'POST /v1/query HTTP/1.1\r\nhost: {address}\r\n'
            'content-type: application/json\r\n'
            f'content-length: {len(self._body)}\r\n\r\n'
        )
        try:
            response = await pool.request(head.encode() + self._body)
        except OSError:
            return Reply(NOT_CONNECTED)
        return Reply(CUT) if response is None else _parse_reply(response.body)

    def _find_pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(address)
            self._pools[address] = pool
        return pool


def _parse_reply(body: bytes) -> Reply:
    answer = orjson.loads(body)
    error = answer.get('error')
    if error is not None:
        return Reply(error['code'])
    coverage = answer['coverage']
    return Reply(
        answer['outcome'],
        answer['request_id'],
        coverage['total'],
        coverage['answered'],
        answer['extra_tries'],
    )


def choose_round_robin(hosts: Sequence[DaemonProcess]) -> Choose:
    """Returns a function that chooses hosts round-robin."""
    position = 0

    def choose() -> str:
        nonlocal position
        position += 1
        return hosts[position % len(hosts)].http

    return choose


class Balancer:
    """Chooses round-robin among the hosts that report ready."""

    def __init__(self, hosts: Sequence[DaemonProcess]) -> None:
        self._hosts = hosts
        self._ready = list(hosts)
        self._position = 0

    def choose(self) -> str:
        """Returns the address for the next query."""
        self._position += 1
        usable = self._ready or self._hosts
        return usable[self._position % len(usable)].http

    @contextlib.asynccontextmanager
    async def watch(self) -> AsyncIterator[None]:
        """Polls the readiness of the hosts while the block lasts."""
        task = asyncio.create_task(self._watch())
        try:
            yield
        finally:
            task.cancel()

    async def _watch(self) -> None:
        async with httpx.AsyncClient(trust_env=False, timeout=1) as client:
            while True:
                answers = await asyncio.gather(
                    *(host.is_ready(client) for host in self._hosts),
                )
                self._ready = [
                    host
                    for host, ready in zip(self._hosts, answers, strict=True)
                    if ready
                ]
                await asyncio.sleep(BALANCER_PERIOD_S)
