"""Computes which host owns which target, by rendezvous hashing."""

import math
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from almonddock_core.deployment import Deployment, Target
from almonddock_core.model import HostId, Member, ShardId, TargetId
from almonddock_core.owners._groups import HostGroup, list_groups

#: A host owns at most this many times the mean number of targets of the
#: hosts of its group, rounded up.
LOAD_BOUND = 1.25


@dataclass(frozen=True, slots=True)
class _PlacedGroup:
    """A group and the owners computed for it."""

    group: HostGroup
    owners: Mapping[TargetId, HostId]


def compute_score(target: TargetId, host: HostId) -> int:
    """Returns the rendezvous score of a host for a target."""
    return xxhash.xxh3_64_intdigest(target.encode(), hash_host(host))


def hash_host(host: HostId) -> int:
    """Returns the hash seed of a host for rendezvous scores."""
    return xxhash.xxh3_64_intdigest(host.encode())


def place_targets(
    deployment: Deployment,
    members: Sequence[Member],
) -> Mapping[TargetId, HostId]:
    """Returns the owner of every target; empty without a live host.

    Every host computes the same owners from the same view. The owner is the
    host with the highest rendezvous score among the hosts of the target's
    data centre, or of its region, or of all. The replicas of a shard are
    placed on different hosts while there are enough of them, and no host owns
    more targets than :data:`LOAD_BOUND` allows.

    Use :class:`Placement` when the members change over time.
    """
    return Placement().update(deployment, members)


class Placement:
    """Updates the owners while hosts join and leave.

    Each group of hosts is placed separately, and only when its hosts or its
    targets have changed since the last call.
    """

    def __init__(self) -> None:
        self._placed: dict[tuple[HostId, ...], _PlacedGroup] = {}

    def update(
        self,
        deployment: Deployment,
        members: Sequence[Member],
    ) -> Mapping[TargetId, HostId]:
        """Returns the owner of every target, as :func:`place_targets`."""
        self._placed = {
            group.hosts: self._place(group)
            for group in list_groups(deployment, members)
        }
        return {
            target: owner
            for placed in self._placed.values()
            for target, owner in placed.owners.items()
        }

    def _place(self, group: HostGroup) -> _PlacedGroup:
        placed = self._placed.get(group.hosts)
        if placed is None or placed.group.targets != group.targets:
            placed = _PlacedGroup(group, _place_group(group))
        return placed


def _place_group(group: HostGroup) -> Mapping[TargetId, HostId]:
    bound = math.ceil(LOAD_BOUND * len(group.targets) / len(group.hosts))
    seeds = {host: hash_host(host) for host in group.hosts}
    loads: Counter[HostId] = Counter()
    taken: dict[ShardId, set[HostId]] = defaultdict(set)
    owners: dict[TargetId, HostId] = {}
    for target in group.targets:
        owner = _choose_owner(target, seeds, taken)
        owners[target.target] = owner
        loads[owner] += 1
        if loads[owner] >= bound:
            seeds.pop(owner)
        for shard in target.shards:
            taken[shard].add(owner)
    return owners


def _choose_owner(
    target: Target,
    seeds: Mapping[HostId, int],
    taken: Mapping[ShardId, set[HostId]],
) -> HostId:
    used = {host for shard in target.shards for host in taken.get(shard, ())}
    name = target.target.encode()
    scores = [
        (xxhash.xxh3_64_intdigest(name, seed), host)
        for host, seed in seeds.items()
        if host not in used
    ]
    if not scores:
        scores = [
            (xxhash.xxh3_64_intdigest(name, seed), host)
            for host, seed in seeds.items()
        ]
    return max(scores)[1]
