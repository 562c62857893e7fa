"""Settings of a stand-in target."""

from dataclasses import dataclass, field
from datetime import timedelta
from math import log
from random import Random

from almonddock_core.deployment import ServiceFile, TargetEntry, build_shard_id

DEFAULT_SEED = 1


@dataclass(frozen=True, slots=True)
class ServiceTimes:
    """Lognormal service times with a share of stragglers."""

    median: timedelta = timedelta(milliseconds=10)
    #: The standard deviation of the logarithm.
    sigma: float = 0.3
    #: The share of sub-queries that take ``straggler_factor`` times longer.
    straggler_share: float = 0
    straggler_factor: float = 20

    def draw(self, random: Random) -> float:
        """Returns one service time in seconds."""
        mean = log(self.median.total_seconds())
        seconds = random.lognormvariate(mean, self.sigma)
        if random.random() < self.straggler_share:
            seconds *= self.straggler_factor
        return seconds


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Identity, limits and timing of one stand-in target."""

    name: str
    #: Shard names with their service, for example ``parts-desk-07/s0``.
    shards: frozenset[str]
    versions: tuple[int, ...] = (1,)
    address: str = '127.0.0.1:0'
    slots: int = 3
    cold_slots: int = 1
    connections: int = 30
    #: Delay before the first read from a new connection.
    connect: timedelta = timedelta()
    #: Network round-trip time, during which no slot is held.
    network: timedelta = timedelta()
    #: Age of the state that the health and load paths report.
    report_lag: timedelta = timedelta(seconds=1)
    #: Replies after which a cold target is warm again; zero for never.
    warm_after: int = 0
    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    seed: int = DEFAULT_SEED


def build_settings(
    service: ServiceFile,
    entry: TargetEntry,
    service_times: ServiceTimes,
    seed: int = DEFAULT_SEED,
) -> TargetSettings:
    """Returns the settings for one entry of a service file."""
    name = f'{service.service}/{entry.name}'
    return TargetSettings(
        name=name,
        shards=frozenset(
            build_shard_id(service.service, shard) for shard in entry.shards
        ),
        versions=tuple(one.version for one in service.index_versions),
        address=entry.address,
        slots=entry.slots,
        cold_slots=entry.cold_slots,
        connections=entry.connections,
        connect=timedelta(milliseconds=entry.connect_ms),
        service_times=service_times,
        seed=seed,
    )
