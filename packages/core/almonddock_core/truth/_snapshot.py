"""Pins the index version and the partition map of a query."""

from collections.abc import Mapping
from dataclasses import dataclass

from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    Candidate,
    HostId,
    IndexVersion,
    Plan,
    Reason,
    ShardId,
    TargetId,
    UnknownWorkloadError,
    WorkloadId,
)
from almonddock_core.truth._versions import VersionTable

Owners = Mapping[TargetId, HostId]


def pin_snapshot(
    deployment: Deployment,
    workload: WorkloadId,
    versions: VersionTable,
    owners: Owners,
) -> Plan:
    """Returns a plan on the newest version with a target for every shard.

    Without such a version, it uses the one with the largest share of shards
    that have a target, and the newer one of equals. The plan lists every
    shard of the partition map, with its usable targets or the reason why it
    has none. Use :class:`SnapshotCache` to plan many queries.

    Raises:
        UnknownWorkloadError: No service has the workload.
    """
    if workload not in deployment.workloads:
        raise UnknownWorkloadError(f'unknown workload {workload}', '/workload')
    best: Plan | None = None
    for version in _list_candidate_versions(deployment, workload):
        plan = _plan_version(deployment, workload, version, versions, owners)
        if not plan.unavailable:
            return plan
        if best is None or _covers_more(plan, best):
            best = plan
    assert best is not None
    return best


def _covers_more(plan: Plan, other: Plan) -> bool:
    mine = len(plan.candidates) * len(other.shards)
    return mine > len(other.candidates) * len(plan.shards)


def _list_candidate_versions(
    deployment: Deployment,
    workload: WorkloadId,
) -> tuple[IndexVersion, ...]:
    """Lists versions that all services have, else any has, newest first."""
    common = deployment.list_versions(workload)
    if common:
        return common
    found = {
        IndexVersion(entry.version)
        for name in deployment.workloads[workload]
        for entry in deployment.services[name].index_versions
    }
    return tuple(sorted(found, reverse=True))


def _list_shards_without_version(
    deployment: Deployment,
    workload: WorkloadId,
    version: IndexVersion,
) -> tuple[ShardId, ...]:
    """Lists the shards of the services that lack the version.

    They are those of the newest version of each such service.
    """
    shards: list[ShardId] = []
    for name in deployment.workloads[workload]:
        entries = deployment.services[name].index_versions
        if all(entry.version != version for entry in entries):
            newest = max(entries, key=lambda entry: entry.version)
            shards.extend(ShardId(f'{name}/{one}') for one in newest.shards)
    return tuple(shards)


def _plan_version(
    deployment: Deployment,
    workload: WorkloadId,
    version: IndexVersion,
    versions: VersionTable,
    owners: Owners,
) -> Plan:
    candidates: dict[ShardId, tuple[Candidate, ...]] = {}
    unavailable: dict[ShardId, Reason] = dict.fromkeys(
        _list_shards_without_version(deployment, workload, version),
        Reason.NO_TARGET,
    )
    own = deployment.list_shards(workload, version)
    for shard in own:
        holders = [
            target
            for target in deployment.targets_by_shard.get(shard, ())
            if versions.holds(target, version)
        ]
        found = _list_usable(deployment, holders, owners)
        if found:
            candidates[shard] = found
        else:
            unavailable[shard] = _find_unavailable_reason(deployment, holders)
    shards = tuple(sorted({*own, *unavailable}))
    return Plan(version, shards, candidates, unavailable)


def _list_usable(
    deployment: Deployment,
    holders: list[TargetId],
    owners: Owners,
) -> tuple[Candidate, ...]:
    usable = []
    for name in holders:
        data_centre = deployment.targets[name].data_centre
        owner = owners.get(name)
        if owner is not None and not deployment.is_taken_out(data_centre):
            usable.append(Candidate(name, owner, data_centre))
    return tuple(usable)


def _find_unavailable_reason(
    deployment: Deployment, holders: list[TargetId]
) -> Reason:
    """Returns why no target that holds the shard is usable."""
    if not holders:
        return Reason.NO_TARGET
    data_centres = {deployment.targets[name].data_centre for name in holders}
    if all(deployment.is_taken_out(one) for one in data_centres):
        return Reason.DATA_CENTRE_OUT
    return Reason.OWNER_UNREACHABLE


@dataclass(frozen=True, slots=True)
class _CacheKey:
    """The inputs of the cached plans."""

    deployment: Deployment
    owners: Owners
    generation: int


class SnapshotCache:
    """Caches the plan of each workload until its inputs change.

    The mapping of owners must not be changed in place: a change of owners is
    detected by the identity of the mapping.
    """

    def __init__(self, versions: VersionTable) -> None:
        self._versions = versions
        self._key: _CacheKey | None = None
        self._plans: dict[WorkloadId, Plan] = {}

    def pin(
        self,
        deployment: Deployment,
        workload: WorkloadId,
        owners: Owners,
    ) -> Plan:
        """Returns the same plan as :func:`pin_snapshot`."""
        if not self._is_current(deployment, owners):
            generation = self._versions.generation
            self._key = _CacheKey(deployment, owners, generation)
            self._plans = {}
        plan = self._plans.get(workload)
        if plan is None:
            plan = pin_snapshot(deployment, workload, self._versions, owners)
            self._plans[workload] = plan
        return plan

    def _is_current(self, deployment: Deployment, owners: Owners) -> bool:
        key = self._key
        return (
            key is not None
            and key.deployment is deployment
            and key.owners is owners
            and key.generation == self._versions.generation
        )
