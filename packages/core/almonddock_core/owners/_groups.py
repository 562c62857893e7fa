"""Groups targets by the hosts that may own them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from almonddock_core.deployment import Deployment, Target
from almonddock_core.model import DataCentreId, HostId, Member, MemberState

_LIVE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclass(frozen=True, slots=True)
class HostGroup:
    """Targets that may be owned by the same hosts."""

    targets: tuple[Target, ...]
    hosts: tuple[HostId, ...]


def list_groups(
    deployment: Deployment,
    members: Sequence[Member],
) -> Iterator[HostGroup]:
    """Yields each group of live hosts with the targets that it may own.

    The order of groups, hosts and targets does not depend on that of
    ``members``. Hosts in data centres that are out of service own targets
    only when there is no other host.
    """
    live = [one for one in members if one.state in _LIVE_STATES]
    serving = [
        one for one in live if not deployment.is_taken_out(one.data_centre)
    ]
    by_hosts: dict[tuple[HostId, ...], list[Target]] = defaultdict(list)
    for data_centre, targets in _group_targets(deployment).items():
        hosts = list_nearby_hosts(deployment, data_centre, serving or live)
        by_hosts[hosts].extend(targets)
    for found, shared in by_hosts.items():
        if found:
            yield HostGroup(tuple(shared), found)


def list_nearby_hosts(
    deployment: Deployment,
    data_centre: DataCentreId,
    members: Iterable[Member],
    minimum: int = 1,
) -> tuple[HostId, ...]:
    """Returns the hosts of a data centre, else of its region, else all.

    It uses the smallest of these with at least ``minimum`` hosts.
    """
    candidates = tuple(members)
    nearby = [one for one in candidates if one.data_centre == data_centre]
    if len(nearby) < minimum:
        region = _find_region(deployment, data_centre)
        nearby = [
            one
            for one in candidates
            if _find_region(deployment, one.data_centre) == region
        ]
    found = nearby if len(nearby) >= minimum else candidates
    return tuple(sorted(one.host for one in found))


def _group_targets(
    deployment: Deployment,
) -> dict[DataCentreId, list[Target]]:
    by_data_centre: dict[DataCentreId, list[Target]] = defaultdict(list)
    for _, target in sorted(deployment.targets.items()):
        by_data_centre[target.data_centre].append(target)
    return by_data_centre


def _find_region(deployment: Deployment, data_centre: DataCentreId) -> str:
    entry = deployment.data_centres.get(data_centre)
    return '' if entry is None else entry.region
