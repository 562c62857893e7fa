"""Propagation time of a change of configuration, and the store calls."""

import time
from collections.abc import Iterator

from almonddock_core.tests.state_fleet import Fleet
from almonddock_core.tests.state_schedules import Schedule
from bench import experiment
from bench.measurement import (
    Measurement,
    Subject,
    limit_value,
    note_value,
    require_value,
)
from bench.state.fleets import (
    PLANNED_HOSTS,
    TODAY_HOSTS,
    build_bodies,
    build_service,
    publish_bodies,
    start_fleet,
)

SEED = 1
CHANGES = 8
#: The required limits of the p99 of the seconds from publish to in force on
#: every host.
TODAY_BOUND = 2
PLANNED_BOUND = 7
#: The limit of store calls per second: the reads that the store can serve.
MAX_CALLS_PER_SECOND = 2000
#: Seconds between changes at 2,900 per day.
CHANGE_PERIOD = 86_400 / 2900
IDLE_SECONDS = 10
SCHEDULES = 2000
#: Targets of the fleets. Few are enough: the document tree keeps the cost
#: of a change independent of their number.
TARGETS = 40
P99 = 0.99
REPLACED_SIZES = ((4, 110), (40, 110), (8, 7100))
REPLACED_SECONDS = 3


def find_quantile(ordered: list[float], share: float) -> float:
    """Returns a quantile of sorted figures."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def measure_change(
    fleet: Fleet,
    bodies: dict[str, bytes],
    number: int,
    limit: float,
) -> list[float]:
    """Publishes one change; returns the seconds until each host applied it.

    A host that has not applied it after ``limit`` seconds counts as 1000.
    """
    bodies['desk-0003'] = build_service(3, 400 + number)
    publish_bodies(fleet.store, f'change-{number}', bodies)
    started = fleet.now
    fleet.notify_watchers()
    fleet.run(limit)
    revision = fleet.store.history[-1].revision
    return sorted(
        (one.history[-1][0] - started).total_seconds()
        if one.history and one.history[-1][1] == revision
        else 1000
        for one in fleet.hosts.values()
    )


def measure_spread(hosts: int, bound: float) -> Iterator[Measurement]:
    """Yields the figures of one fleet."""
    size = f'{hosts} hosts'
    bodies = build_bodies(TARGETS)
    fleet = start_fleet(SEED, hosts, bodies)
    calls = fleet.store_calls
    fleet.run(IDLE_SECONDS)
    idle = (fleet.store_calls - calls) / IDLE_SECONDS
    calls = fleet.store_calls
    times = sorted(
        seconds
        for number in range(CHANGES)
        for seconds in measure_change(fleet, bodies, number, 1.5)
    )
    # Leaves out what an idle fleet calls while the changes run, 8 times 1.5 s.
    spent = IDLE_SECONDS * 1.2
    calls_per_change = (
        fleet.store_calls - calls
    ) / CHANGES - idle * spent / CHANGES
    in_force = Subject('state.in-force.p99', size, SEED)
    yield limit_value(
        in_force,
        find_quantile(times, P99),
        's',
        bound=bound,
    )
    yield note_value(
        Subject('state.in-force.max', size, SEED),
        times[-1],
        's',
    )
    yield limit_value(
        Subject('state.store-calls.idle', size, SEED),
        idle,
        'calls/s',
        bound=MAX_CALLS_PER_SECOND,
    )
    yield limit_value(
        Subject('state.store-calls.2900-changes', size, SEED),
        idle + calls_per_change / CHANGE_PERIOD,
        'calls/s',
        bound=MAX_CALLS_PER_SECOND,
    )


@experiment('state.spread.today', seconds=30)
def measure_today() -> Iterator[Measurement]:
    """Publish to in force on every host, 4 hosts."""
    return measure_spread(TODAY_HOSTS, TODAY_BOUND)


@experiment('state.spread.letter', seconds=240)
def measure_planned_size() -> Iterator[Measurement]:
    """Publish to in force on every host, 1,600 hosts."""
    return measure_spread(PLANNED_HOSTS, PLANNED_BOUND)


@experiment('state.reversions', seconds=180)
def measure_reversions() -> Iterator[Measurement]:
    """2,000 fault schedules: reversions, and hosts that differ at the end."""
    found = [
        fault for seed in range(SCHEDULES) for fault in Schedule(seed).run()
    ]
    subject = Subject('state.reversions', f'{SCHEDULES} schedules', SEED)
    yield limit_value(subject, len(found), 'faults', bound=0)


@experiment('state.replaced-host', seconds=60)
def measure_replaced() -> Iterator[Measurement]:
    """A host replaced while the store is down: time until it is ready."""
    for hosts, targets in REPLACED_SIZES:
        size = f'{hosts} hosts, {targets} targets'
        fleet = start_fleet(SEED, hosts, build_bodies(targets))
        fleet.store_up = False
        member = fleet.host_list[0]
        fleet.kill([member.host])
        started = fleet.now
        processor_started = time.process_time()
        fleet.add(member.host, member.data_centre, 2)
        fleet.run(REPLACED_SECONDS)
        # Parsing takes no virtual time, so the processor time is added.
        processor_seconds = time.process_time() - processor_started
        replacement = fleet.hosts[member.host]
        seconds = float(REPLACED_SECONDS)
        if replacement.history:
            seconds = (replacement.history[0][0] - started).total_seconds()
        yield limit_value(
            Subject('state.replaced-host.ready', size, SEED),
            seconds + processor_seconds,
            's',
            bound=2,
        )
        yield require_value(
            Subject('state.replaced-host.services', size, SEED),
            len(replacement.configuration.deployment.services),
            'services',
            bound=targets // 2,
        )
