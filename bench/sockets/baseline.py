"""The baseline: hosts call targets directly, without hedging.

Every host has a fixed share of the slots of each target.
"""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus

from almonddock_core.deployment import ServiceFile, TargetEntry
from bench.sockets.callers import WHOLE, Reply
from bench.sockets.connections import ConnectionPool
from bench.sockets.direct import format_request

HOSTS = 4
#: The wait before a refused request is sent again.
BACKOFF_S = 0.005
LATE = 'late'


class _TargetShare:
    """One host's share of the slots of one target."""

    def __init__(self, service: ServiceFile, entry: TargetEntry) -> None:
        self._shard = f'{service.service}/s0'
        self._slots = asyncio.Semaphore(max(1, entry.slots // HOSTS))
        self._pool = ConnectionPool(entry.address)

    async def ask(self) -> None:
        """Returns once the target has answered."""
        request = format_request(self._shard)
        async with self._slots:
            response = await self._pool.request(request)
            while response is None or response.status != HTTPStatus.OK:
                await asyncio.sleep(BACKOFF_S)
                response = await self._pool.request(request)

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()


class FixedShares:
    """Four hosts that each query one replica of every shard.

    All hosts query the first one; with ``spread``, host n queries replica n,
    modulo the number of replicas.
    """

    def __init__(
        self,
        services: Sequence[ServiceFile],
        deadline_ms: int,
        *,
        spread: bool,
    ) -> None:
        self._deadline_s = deadline_ms / 1000
        self._position = 0
        self._hosts = [
            [
                _TargetShare(one, one.targets[host * spread % len(one.targets)])
                for one in services
            ]
            for host in range(HOSTS)
        ]

    async def ask(self) -> Reply:
        """Queries every shard once and returns by the deadline."""
        self._position += 1
        host = self._hosts[self._position % HOSTS]
        try:
            async with asyncio.timeout(self._deadline_s):
                await asyncio.gather(*(target.ask() for target in host))
        except TimeoutError:
            return Reply(LATE, shards=len(host))
        return Reply(WHOLE, shards=len(host), answered=len(host))

    def close(self) -> None:
        """Closes every connection."""
        for host in self._hosts:
            for target in host:
                target.close()
