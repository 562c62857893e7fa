"""Groups of hosts that may own the same targets."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from almonddock_core.deployment import Deployment, Target
from almonddock_core.model import DataCentreId, HostId, Member, MemberState

_ABLE = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclass(frozen=True, slots=True)
class HostGroup:
    """Targets that share the hosts which may own them."""

    targets: tuple[Target, ...]
    hosts: tuple[HostId, ...]


def list_groups(
    deployment: Deployment,
    members: Sequence[Member],
) -> Iterator[HostGroup]:
    """Yields the targets of each group of live hosts, sorted by name.

    Hosts in data centres that are out own targets only when there is no
    other host.
    """
    able = [one for one in members if one.state in _ABLE]
    serving = [one for one in able if not deployment.is_out(one.data_centre)]
    by_hosts: dict[tuple[HostId, ...], list[Target]] = defaultdict(list)
    for centre, targets in _group_targets(deployment).items():
        hosts = list_near(deployment, centre, serving or able)
        by_hosts[hosts].extend(targets)
    for found, shared in by_hosts.items():
        if found:
            yield HostGroup(tuple(shared), found)


def list_near(
    deployment: Deployment,
    centre: DataCentreId,
    members: Iterable[Member],
    enough: int = 1,
) -> tuple[HostId, ...]:
    """Returns the hosts of a data centre, else of its region, else all.

    The nearest of these with at least ``enough`` hosts is taken.
    """
    everyone = tuple(members)
    near = [one for one in everyone if one.data_centre == centre]
    if len(near) < enough:
        region = _find_region(deployment, centre)
        near = [
            one
            for one in everyone
            if _find_region(deployment, one.data_centre) == region
        ]
    found = near if len(near) >= enough else everyone
    return tuple(sorted(one.host for one in found))


def _group_targets(
    deployment: Deployment,
) -> dict[DataCentreId, list[Target]]:
    by_centre: dict[DataCentreId, list[Target]] = defaultdict(list)
    for _, target in sorted(deployment.targets.items()):
        by_centre[target.data_centre].append(target)
    return by_centre


def _find_region(deployment: Deployment, centre: DataCentreId) -> str:
    entry = deployment.data_centres.get(centre)
    return '' if entry is None else entry.region
