"""Fleets of the sizes that the experiments use."""

from datetime import timedelta

from pydantic import TypeAdapter

from almonddock_core.configuration import DATA_CENTRES, PublishRequest, publish
from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    ServiceFile,
    TargetEntry,
    VersionEntry,
)
from almonddock_core.model import DataCentreId, HostId, Incarnation, Member
from almonddock_core.tests.configuration_store import FakeStore
from almonddock_core.tests.state_fleet import Fleet
from almonddock_core.tests.test_configuration_publish import drive

#: The share of segments that each link loses, one of the required faults.
LOSS = 0.01
TODAY_HOSTS = 4
PLANNED_HOSTS = 1600
PLANNED_TARGETS = 7100
REPLICAS = 2
#: Fleets of up to this many hosts span three data centres of one region.
SMALL_FLEET_HOSTS = 100
SMALL_DATA_CENTRES = 3
LARGE_DATA_CENTRES = 13
REGIONS = 6

_LOCAL_DELAY = timedelta(milliseconds=1)
_REGIONAL_DELAY = timedelta(milliseconds=1.5)
_INTER_REGION_DELAY = timedelta(milliseconds=60)
_SERVICE = TypeAdapter(ServiceFile)
_DATA_CENTRES = TypeAdapter(DataCentresFile)


def choose_delay(one: DataCentreId, other: DataCentreId) -> timedelta:
    """Returns the one-way delay between two data centres."""
    if one == other:
        return _LOCAL_DELAY
    return (
        _REGIONAL_DELAY
        if find_region(one) == find_region(other)
        else _INTER_REGION_DELAY
    )


def find_region(data_centre: DataCentreId) -> int:
    """Returns the region of a data centre."""
    number = int(data_centre.removeprefix('dc'))
    return number % REGIONS if number >= SMALL_DATA_CENTRES else 0


def name_data_centre(number: int, hosts: int) -> DataCentreId:
    """Returns the data centre of a host by its number."""
    count = (
        SMALL_DATA_CENTRES if hosts <= SMALL_FLEET_HOSTS else LARGE_DATA_CENTRES
    )
    return DataCentreId(f'dc{number % count}')


def build_service(number: int, deadline_ms: int) -> bytes:
    """Returns the body of a service with two replicas."""
    targets = tuple(
        TargetEntry(
            name=f'r{replica}',
            address=f'10.{number // 250}.{number % 250}.{replica + 1}:9000',
            data_centre=f'dc{(number + replica) % LARGE_DATA_CENTRES}',
            shards=('s0',),
            slots=3,
            connections=30,
            connect_ms=6,
        )
        for replica in range(REPLICAS)
    )
    return _SERVICE.dump_json(
        ServiceFile(
            service=f'desk-{number:04}',
            workload=f'desk-{number // 760:02}',
            index_versions=(VersionEntry(version=1, shards=('s0',)),),
            targets=targets,
            deadline_ms=deadline_ms,
        ),
    )


def build_bodies(targets: int) -> dict[str, bytes]:
    """Returns a whole configuration of ``targets`` targets."""
    bodies = {
        f'desk-{number:04}': build_service(number, 300)
        for number in range(targets // REPLICAS)
    }
    names = (f'dc{number}' for number in range(LARGE_DATA_CENTRES))
    file = DataCentresFile(
        tuple(DataCentreEntry(name, 'region') for name in names),
    )
    bodies[DATA_CENTRES] = _DATA_CENTRES.dump_json(file)
    return bodies


def publish_bodies(
    store: FakeStore,
    change: str,
    bodies: dict[str, bytes],
) -> None:
    """Publishes a configuration to a fake store."""
    drive(store, publish(PublishRequest(change, bodies)))


def start_fleet(seed: int, hosts: int, bodies: dict[str, bytes]) -> Fleet:
    """Returns a fleet in which every host has the configuration."""
    fleet = Fleet(seed, choose_delay, LOSS)
    publish_bodies(fleet.store, 'first', bodies)
    fleet.host_list = [
        Member(
            HostId(f'h{number:04}'),
            name_data_centre(number, hosts),
            '127.0.0.1:1',
            Incarnation(1),
        )
        for number in range(hosts)
    ]
    for member in fleet.host_list:
        fleet.add(member.host, member.data_centre)
    fleet.run(6)
    return fleet
