"""Load on a cold target after faults of its owner, and its ramp-up time."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from types import MappingProxyType

from almonddock_core.model import HostId
from almonddock_core.tests.owner_fleet import SERVICE, Fleet
from bench import (
    Measurement,
    Subject,
    experiment,
    limit_ratio,
    limit_value,
    note_value,
)

SEEDS = range(1, 11)
WARM_UP_S = 4
PAUSE_S = 30
SETTLE_S = 6

#: Requests that a cold target must serve before it is warm.
WARM_AFTER = 20
MAX_RAMP = 2
STEP = timedelta(milliseconds=1)


@experiment('cold')
def measure_cold() -> Iterator[Measurement]:
    """Requests above the limit of a cold target, with and without leases."""
    for name, fault in FAULTS.items():
        for seed in SEEDS:
            subject = Subject(f'cold.{name}', '4 hosts', seed)
            excess = count_excess(fault, seed, use_leases=True)
            yield limit_value(subject, excess, 'requests', bound=0)
        without_leases = [
            count_excess(fault, seed, use_leases=False) for seed in SEEDS
        ]
        subject = Subject(f'cold.{name}.unguarded', '4 hosts', 0)
        yield note_value(subject, sum(without_leases), 'requests in all seeds')


@experiment('ramp')
def measure_ramp() -> Iterator[Measurement]:
    """Time from the first request to full load, against an ideal ramp."""
    for slots in (2, 3, 4):
        for seed in SEEDS:
            fleet = Fleet(seed, slots=slots)
            fleet.hang_share = 0
            ideal = SERVICE * WARM_AFTER
            taken = time_ramp(fleet)
            yield limit_ratio(
                Subject('ramp', f'{slots} slots', seed),
                taken.total_seconds(),
                's',
                baseline=ideal.total_seconds(),
                bound=MAX_RAMP,
            )


def count_excess(
    fault: Callable[[Fleet, HostId], None],
    seed: int,
    *,
    use_leases: bool,
) -> int:
    """Returns how many requests the target counted above its limit."""
    fleet = Fleet(seed, use_leases=use_leases)
    fleet.run(WARM_UP_S)
    owner = fleet.find_owner()
    assert owner is not None
    fault(fleet, owner)
    fleet.run(SETTLE_S)
    return fleet.target.excess


def time_ramp(fleet: Fleet) -> timedelta:
    """Returns the time from the first request until all slots are in use.

    The target is warm once it has served ``WARM_AFTER`` requests. An ideal
    ramp serves these one at a time, in as many service times, and fills all
    slots right after.
    """
    target = fleet.target
    while not target.peak:
        fleet.run(STEP.total_seconds())
    started = fleet.now
    while target.peak < target.slots:
        if target.served >= WARM_AFTER:
            target.limit = target.slots
        fleet.run(STEP.total_seconds())
    return fleet.now - started


def take_over(fleet: Fleet, owner: HostId) -> None:
    """Kills the owner, which the others detect at once."""
    fleet.hosts[owner].dead = True
    for host in fleet.hosts:
        fleet.update_view(host, [owner])


def pause(fleet: Fleet, owner: HostId) -> None:
    """Pauses the owner for 30 s and resumes it."""
    fleet.pause(owner)
    fleet.run(1)
    for host in fleet.hosts:
        if host != owner:
            fleet.update_view(host, [owner])
    fleet.run(PAUSE_S)
    fleet.resume(owner)


def partition(fleet: Fleet, owner: HostId) -> None:
    """Cuts the owner off; each side considers the other dead."""
    others = [host for host in fleet.hosts if host != owner]
    fleet.partition([owner])
    fleet.update_view(owner, others)
    for host in others:
        fleet.update_view(host, [owner])


def declare_others_dead(fleet: Fleet, owner: HostId) -> None:
    """Makes every host consider all others dead."""
    for host in fleet.hosts:
        fleet.update_view(
            host, [other for other in fleet.hosts if other != host]
        )


FAULTS = MappingProxyType(
    {
        'takeover': take_over,
        'pause': pause,
        'split': partition,
        'stale-list': declare_others_dead,
    },
)
