"""Sizes, delays and service times of the simulated deployments."""

import random
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    Deployment,
    ServiceFile,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import DataCentreId, HostId, Member, Revision

LOCAL_DELAY = timedelta(milliseconds=0.1)
MEDIAN_MS = 10.0
SIGMA = 0.3
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 20


@dataclass(frozen=True, slots=True)
class Shape:
    """The size and the network delay of a deployment with one workload."""

    name: str
    services: int
    slots: int
    #: The one-way delay between data centres.
    delay: timedelta
    replicas: int = 2
    hosts: int = 4
    data_centres: int = 3

    @property
    def all_slots(self) -> int:
        """Slots of all targets together."""
        return self.services * self.replicas * self.slots


KYUSHU_DELAY = timedelta(milliseconds=1)
GULF_DELAY = timedelta(milliseconds=1.5)
SHAPES = (
    Shape('parts-desk', 20, 3, KYUSHU_DELAY),
    Shape('quote-maker', 30, 3, KYUSHU_DELAY),
    Shape('counter-desk', 20, 2, GULF_DELAY),
    Shape('route-board', 30, 2, GULF_DELAY),
)


def build_members(shape: Shape) -> tuple[Member, ...]:
    """Returns the hosts, spread over the data centres."""
    return tuple(
        Member(
            HostId(f'host-{number}'),
            DataCentreId(f'dc-{number % shape.data_centres}'),
            '127.0.0.1:1',
        )
        for number in range(shape.hosts)
    )


def build_workload(shape: Shape) -> Deployment:
    """Returns the configuration of the workload."""
    names = [f'dc-{number}' for number in range(shape.data_centres)]
    services = [
        ServiceFile(
            service=f'{shape.name}-{number:03}',
            workload=shape.name,
            index_versions=(VersionEntry(version=1, shards=('all',)),),
            targets=tuple(
                TargetEntry(
                    name=f'r{replica}',
                    address='127.0.0.1:1',
                    data_centre=names[(number + replica) % len(names)],
                    shards=('all',),
                    slots=shape.slots,
                    connections=30,
                )
                for replica in range(shape.replicas)
            ),
        )
        for number in range(shape.services)
    ]
    entries = tuple(DataCentreEntry(name, 'region') for name in names)
    return build_deployment(Revision(1), services, DataCentresFile(entries))


def draw_service(source: random.Random, *, stragglers: bool) -> timedelta:
    """Draws a lognormal service time, longer by a factor for stragglers."""
    drawn = timedelta(milliseconds=MEDIAN_MS)
    drawn *= source.lognormvariate(0, SIGMA)
    if stragglers and source.random() < STRAGGLER_SHARE:
        drawn *= STRAGGLER_FACTOR
    return drawn
