"""The configuration in force, indexed for planning."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from almonddock_core.deployment._files import (
    DataCentreEntry,
    DataCentresFile,
    ServiceFile,
    TargetEntry,
)
from almonddock_core.model import (
    DataCentreId,
    IndexVersion,
    Revision,
    ServiceId,
    ShardId,
    TargetId,
    WorkloadId,
)


@dataclass(frozen=True, slots=True)
class Target:
    """One replica with names that are unique over all services."""

    target: TargetId
    service: ServiceId
    workload: WorkloadId
    data_centre: DataCentreId
    shards: frozenset[ShardId]
    entry: TargetEntry


@dataclass(frozen=True, slots=True)
class Deployment:
    """One revision of the configuration; never changed in place."""

    revision: Revision = Revision(0)
    services: Mapping[ServiceId, ServiceFile] = field(default_factory=dict)
    data_centres: Mapping[DataCentreId, DataCentreEntry] = field(
        default_factory=dict,
    )
    targets: Mapping[TargetId, Target] = field(default_factory=dict)
    #: Services of each workload, sorted by name.
    workloads: Mapping[WorkloadId, tuple[ServiceId, ...]] = field(
        default_factory=dict,
    )
    #: Targets of each shard, sorted by name.
    targets_by_shard: Mapping[ShardId, tuple[TargetId, ...]] = field(
        default_factory=dict,
    )

    def is_taken_out(self, data_centre: DataCentreId) -> bool:
        """Returns whether operators have taken the data centre out."""
        entry = self.data_centres.get(data_centre)
        return entry is not None and entry.state == 'out'

    def list_versions(self, workload: WorkloadId) -> tuple[IndexVersion, ...]:
        """Returns the versions in all services of a workload, newest first."""
        known = [
            {entry.version for entry in self.services[name].index_versions}
            for name in self.workloads.get(workload, ())
        ]
        common = set.intersection(*known) if known else set()
        return tuple(IndexVersion(one) for one in sorted(common, reverse=True))

    def list_shards(
        self,
        workload: WorkloadId,
        version: IndexVersion,
    ) -> tuple[ShardId, ...]:
        """Returns the shards of one version over all services, sorted."""
        return tuple(
            sorted(
                build_shard_id(name, shard)
                for name in self.workloads.get(workload, ())
                for entry in self.services[name].index_versions
                if entry.version == version
                for shard in entry.shards
            ),
        )


def build_shard_id(service: str, shard: str) -> ShardId:
    """Returns the shard's name, unique over all services."""
    return ShardId(f'{service}/{shard}')


def build_deployment(
    revision: Revision,
    services: Iterable[ServiceFile],
    data_centres: DataCentresFile,
) -> Deployment:
    """Indexes files; the caller has checked that they are consistent."""
    by_name = {ServiceId(one.service): one for one in services}
    targets = {
        target.target: target
        for service in by_name.values()
        for target in _list_targets(service)
    }
    return Deployment(
        revision=revision,
        services=by_name,
        data_centres={
            DataCentreId(entry.name): entry
            for entry in data_centres.data_centres
        },
        targets=targets,
        workloads=_group_workloads(by_name.values()),
        targets_by_shard=_group_targets_by_shard(targets.values()),
    )


def _list_targets(service: ServiceFile) -> list[Target]:
    return [
        Target(
            target=TargetId(f'{service.service}/{entry.name}'),
            service=ServiceId(service.service),
            workload=WorkloadId(service.workload),
            data_centre=DataCentreId(entry.data_centre),
            shards=frozenset(
                build_shard_id(service.service, shard) for shard in entry.shards
            ),
            entry=entry,
        )
        for entry in service.targets
    ]


def _group_workloads(
    services: Iterable[ServiceFile],
) -> dict[WorkloadId, tuple[ServiceId, ...]]:
    grouped: dict[WorkloadId, list[ServiceId]] = defaultdict(list)
    for service in services:
        grouped[WorkloadId(service.workload)].append(
            ServiceId(service.service),
        )
    return {name: tuple(sorted(found)) for name, found in grouped.items()}


def _group_targets_by_shard(
    targets: Iterable[Target],
) -> dict[ShardId, tuple[TargetId, ...]]:
    grouped: dict[ShardId, list[TargetId]] = defaultdict(list)
    for target in targets:
        for shard in target.shards:
            grouped[shard].append(target.target)
    return {shard: tuple(sorted(found)) for shard, found in grouped.items()}
