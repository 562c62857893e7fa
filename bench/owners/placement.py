"""Balance of targets over hosts, and targets that move when one leaves."""

import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence

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
    Member,
    Revision,
    TargetId,
)
from almonddock_core.owners import Placement
from bench import Measurement, Subject, experiment, note_value

#: Hosts, data centres and targets: Kyushu today and the size planned for.
SIZES = ((4, 3, 110), (1600, 13, 7100))
REGIONS = 6

#: Hosts that leave, one at a time.
SAMPLE = 16


@experiment('placement')
def measure_placement() -> Iterator[Measurement]:
    """Largest share of targets over the mean; moves when one host leaves."""
    for hosts, data_centres, targets in SIZES:
        deployment = build_fleet(data_centres, targets)
        members = build_members(hosts, data_centres)
        yield from _measure_size(deployment, members)


def _measure_size(
    deployment: Deployment,
    members: Sequence[Member],
) -> Iterator[Measurement]:
    size = f'{len(members)} hosts'
    placement = Placement()
    started = time.perf_counter()
    before = placement.update(deployment, members)
    full_seconds = time.perf_counter() - started
    shares = Counter(before.values())
    mean = len(before) / len(members)
    largest = max(shares.values()) / mean
    yield note_value(Subject('placement.share', size, 0), largest, 'x mean')
    yield note_value(Subject('placement.full', size, 0), full_seconds, 's')
    moved = 0
    owned = 0
    started = time.perf_counter()
    leavers = members[:: max(1, len(members) // SAMPLE)]
    for leaver in leavers:
        remaining = [member for member in members if member is not leaver]
        after = placement.update(deployment, remaining)
        placement.update(deployment, members)
        moved += count_moves(before, after)
        owned += shares[leaver.host]
    step_seconds = (time.perf_counter() - started) / len(leavers) / 2
    yield note_value(Subject('placement.step', size, 0), step_seconds, 's')
    yield note_value(
        Subject('placement.moves', size, 0),
        moved,
        'targets',
        baseline=owned,
    )


def count_moves(
    before: Mapping[TargetId, HostId],
    after: Mapping[TargetId, HostId],
) -> int:
    """Returns how many targets have another owner."""
    return sum(after[name] != owner for name, owner in before.items())


def build_members(hosts: int, data_centres: int) -> list[Member]:
    """Returns hosts spread evenly over the data centres."""
    return [
        Member(
            HostId(f'host-{number}'),
            DataCentreId(f'site-{number % data_centres}'),
            '127.0.0.1:1',
        )
        for number in range(hosts)
    ]


def build_fleet(data_centres: int, targets: int) -> Deployment:
    """Returns services of two replicas spread over the data centres."""
    services = [
        ServiceFile(
            service=f'desk-{number}',
            workload='desk',
            index_versions=(VersionEntry(version=1, shards=('s0',)),),
            targets=tuple(
                TargetEntry(
                    name=f'r{replica}',
                    address='127.0.0.1:1',
                    data_centre=f'site-{(number + replica) % data_centres}',
                    shards=('s0',),
                    slots=3,
                    connections=30,
                )
                for replica in range(2)
            ),
        )
        for number in range(targets // 2)
    ]
    entries = tuple(
        DataCentreEntry(f'site-{site}', f'region-{site % REGIONS}')
        for site in range(data_centres)
    )
    return build_deployment(Revision(1), services, DataCentresFile(entries))
