"""Time to pin a snapshot, by the number of shards."""

import time
from collections.abc import Iterator

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    Deployment,
    ServiceFile,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import HostId, Revision, WorkloadId
from almonddock_core.truth import SnapshotCache, VersionTable, pin_snapshot
from bench import Measurement, Subject, experiment, note_value

DESK = WorkloadId('desk')
SHARD_COUNTS = (20, 190, 760)
REPLICAS = 3
ROUNDS = 20
CACHED_ROUNDS = 100_000
MICROSECONDS = 1_000_000


@experiment('planning')
def measure_planning() -> Iterator[Measurement]:
    """Microseconds to pin one snapshot, uncached and from the cache."""
    for shards in SHARD_COUNTS:
        yield from _measure(build_workload(shards), f'{shards} shards')


def build_workload(shards: int) -> Deployment:
    """Returns a workload with one service per shard."""
    services = [
        ServiceFile(
            service=f's{number}',
            workload=DESK,
            index_versions=(
                VersionEntry(version=1, shards=('s',)),
                VersionEntry(version=2, shards=('s',)),
            ),
            targets=tuple(
                TargetEntry(
                    name=f't{replica}',
                    address='127.0.0.1:9001',
                    data_centre='north',
                    shards=('s',),
                    slots=2,
                    connections=5,
                )
                for replica in range(REPLICAS)
            ),
        )
        for number in range(shards)
    ]
    data_centres = DataCentresFile(
        data_centres=(DataCentreEntry('north', 'kyushu'),)
    )
    return build_deployment(Revision(1), services, data_centres)


def _measure(deployment: Deployment, size: str) -> Iterator[Measurement]:
    owners = dict.fromkeys(deployment.targets, HostId('h'))
    versions = VersionTable()
    started = time.perf_counter()
    for _ in range(ROUNDS):
        pin_snapshot(deployment, DESK, versions, owners)
    uncached = (time.perf_counter() - started) / ROUNDS
    cache = SnapshotCache(versions)
    started = time.perf_counter()
    for _ in range(CACHED_ROUNDS):
        cache.pin(deployment, DESK, owners)
    cached = (time.perf_counter() - started) / CACHED_ROUNDS
    subject = Subject('planning.anew', size, 0)
    yield note_value(subject, uncached * MICROSECONDS, 'us')
    subject = Subject('planning.cached', size, 0)
    yield note_value(subject, cached * MICROSECONDS, 'us')
