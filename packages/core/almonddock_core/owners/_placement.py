"""Which host owns which target."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from almonddock_core.deployment import Deployment, Target
from almonddock_core.model import (
    DataCentreId,
    HostId,
    Member,
    MemberState,
    ShardId,
    TargetId,
)

_ABLE = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


def compute_score(target: TargetId, host: HostId) -> int:
    """Returns the rendezvous score of a host for a target."""
    return xxhash.xxh3_64_intdigest(f'{target}\0{host}'.encode())


def place_targets(
    deployment: Deployment,
    members: Sequence[Member],
) -> Mapping[TargetId, HostId]:
    """Returns the owner of every target; empty without a live host.

    Every host computes the same owners from the same view. A host in the
    target's own data centre is preferred. The replicas of a shard go to
    different hosts while there are enough of them.
    """
    groups = _group_hosts(members)
    everyone = [host for found in groups.values() for host in found]
    if not everyone:
        return {}
    owners: dict[TargetId, HostId] = {}
    taken: dict[ShardId, set[HostId]] = defaultdict(set)
    for name, target in sorted(deployment.targets.items()):
        hosts = groups.get(target.data_centre) or everyone
        owners[name] = _choose_owner(target, hosts, taken)
        for shard in target.shards:
            taken[shard].add(owners[name])
    return owners


def _group_hosts(
    members: Iterable[Member],
) -> dict[DataCentreId, list[HostId]]:
    groups: dict[DataCentreId, list[HostId]] = defaultdict(list)
    for member in members:
        if member.state in _ABLE:
            groups[member.data_centre].append(member.host)
    return groups


def _choose_owner(
    target: Target,
    hosts: Iterable[HostId],
    taken: Mapping[ShardId, set[HostId]],
) -> HostId:
    used = {host for shard in target.shards for host in taken.get(shard, ())}
    candidates = [host for host in hosts if host not in used] or hosts
    return max(candidates, key=lambda host: compute_score(target.target, host))
