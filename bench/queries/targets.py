"""Targets of some shards, in a process of their own.

``python -m bench.queries.targets HOST FIRST LAST`` serves the shards with these
numbers at :func:`find_address` until its standard input ends. Each line of it
is the share of requests at which targets near the hosts are late from then on.
"""

import asyncio
import random
import sys
import time
from datetime import timedelta

from almonddock_gateway.settings import Address
from almonddock_platform.tests.standins import HttpServer, WorkingTarget

#: Where the hosts are, and where they are not.
DATA_CENTRES = ('a', 'b')

SLOTS = 2
FIRST_PORT = 20_000

#: The time in which a target answers, and in which one that is late does.
WORK_S = 0.004
PAUSE_S = 0.12


class Targets:
    """The targets of some shards, one in each data centre."""

    def __init__(self, host: str, seed: int) -> None:
        self._host = host
        self._late_share: float = 0
        self._rng = random.Random(seed)

    async def start(self, number: int, data_centre: str) -> None:
        """Starts the target of a shard in a data centre."""
        is_near = data_centre == DATA_CENTRES[0]
        target = WorkingTarget(
            target_id=name_target(number, data_centre),
            service=name_shard(number),
            slots=SLOTS,
            sample_service_time=lambda: self._sample_work(is_near=is_near),
            on_start=lambda arrival: None,
            now=lambda: timedelta(seconds=time.monotonic()),
        )
        address = find_address(self._host, number, data_centre)
        await HttpServer(target.handle).start(address.host, address.port)

    async def follow(self) -> None:
        """Follows standard input until it ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        async for line in reader:
            self._late_share = float(line)

    def _sample_work(self, *, is_near: bool) -> float:
        is_late = is_near and self._rng.random() < self._late_share
        return PAUSE_S if is_late else WORK_S


def name_shard(number: int) -> str:
    """Returns the service of a shard."""
    return f'shard-{number:03}'


def name_target(number: int, data_centre: str) -> str:
    """Returns the id of the target of a shard in a data centre."""
    return f't-{name_shard(number)}-{data_centre}'


def find_address(host: str, number: int, data_centre: str) -> Address:
    """Returns where the target of a shard listens."""
    place = DATA_CENTRES.index(data_centre)
    port = FIRST_PORT + number * len(DATA_CENTRES) + place
    return Address(host, port)


async def serve(host: str, first: int, last: int) -> None:
    """Serves the shards with these numbers until standard input ends."""
    targets = Targets(host, first)
    for number in range(first, last + 1):
        for data_centre in DATA_CENTRES:
            await targets.start(number, data_centre)
    await targets.follow()


if __name__ == '__main__':
    asyncio.run(serve(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
