"""Hosts and targets of a given size, spread over 13 data centres."""

from dataclasses import dataclass

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    Deployment,
    ServiceFile,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import (
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    Revision,
)

DATA_CENTRES = 13
REGIONS = 6
#: Shards of a query at the size planned for.
SHARDS = 760


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a fleet."""

    hosts: int
    targets: int

    @property
    def name(self) -> str:
        """The deployment's name in a result."""
        return f'{self.hosts} hosts, {self.targets} targets'


SIZES = (Size(4, 110), Size(400, 1775), Size(1600, 7100))
PLANNED_SIZE = SIZES[-1]


def name_data_centre(number: int) -> str:
    """Returns the data centre of a host or target, round-robin by number."""
    return f'dc-{number % DATA_CENTRES:02}'


def build_members(size: Size) -> tuple[Member, ...]:
    """Returns all hosts of a fleet, alive."""
    return tuple(
        Member(
            HostId(f'host-{number:04}'),
            DataCentreId(name_data_centre(number)),
            f'10.0.{number // 250}.{number % 250}:7000',
            Incarnation(1),
        )
        for number in range(size.hosts)
    )


def build_fleet(size: Size) -> Deployment:
    """Returns one workload with the targets spread over its services."""
    services = min(SHARDS, size.targets // 2)
    targets: list[list[TargetEntry]] = [[] for _ in range(services)]
    for number in range(size.targets):
        entry = TargetEntry(
            name=f'r{number // services}',
            address=f'10.1.{number // 250}.{number % 250}:8000',
            data_centre=name_data_centre(number + number // services),
            shards=('s0',),
            slots=3,
            connections=30,
        )
        targets[number % services].append(entry)
    return build_deployment(
        Revision(1),
        [
            ServiceFile(
                service=f'desk-{number:03}',
                workload='desk',
                index_versions=(VersionEntry(version=1, shards=('s0',)),),
                targets=tuple(found),
            )
            for number, found in enumerate(targets)
        ],
        DataCentresFile(
            data_centres=tuple(
                DataCentreEntry(
                    name=name_data_centre(one),
                    region=f'region-{one % REGIONS}',
                )
                for one in range(DATA_CENTRES)
            ),
        ),
    )
