"""Time to detect a failed host, and false suspicions of live ones."""

from collections.abc import Iterator
from datetime import timedelta

from almonddock_core.model import HostId, MemberState
from almonddock_core.tests.state_fleet import Fleet
from bench import experiment
from bench.measurement import Measurement, Subject, limit_value, note_value
from bench.state.fleets import TODAY_HOSTS, build_bodies, start_fleet

SEED = 1
KILLS = 10
QUIET_SECONDS = 120
STEP_SECONDS = 0.1
LIMIT_SECONDS = 30
TARGETS = 40
SIZES = (TODAY_HOSTS, 40)


def count_undetected(fleet: Fleet, host: HostId) -> int:
    """Returns how many hosts do not consider another one dead."""
    views = [one.membership.view.members for one in fleet.hosts.values()]
    return sum(
        host in members and members[host].state is not MemberState.DEAD
        for members in views
    )


def measure_detection(fleet: Fleet, host: HostId) -> float:
    """Kills a host; returns the seconds until all others detect it."""
    fleet.kill([host])
    started = fleet.now
    limit = timedelta(seconds=LIMIT_SECONDS)
    while count_undetected(fleet, host) and fleet.now - started < limit:
        fleet.run(STEP_SECONDS)
    return (fleet.now - started).total_seconds()


def count_suspicions(fleet: Fleet) -> int:
    """Returns how often live hosts refuted a suspicion of themselves."""
    views = (one.membership.view.members for one in fleet.hosts.values())
    return sum(
        members[host].incarnation - 1
        for host, members in zip(fleet.hosts, views, strict=True)
    )


@experiment('state.failures', seconds=60)
def measure_failures() -> Iterator[Measurement]:
    """Time to detect a failed host, and false suspicions at 1% loss."""
    for hosts in SIZES:
        size = f'{hosts} hosts'
        bodies = build_bodies(TARGETS)
        quiet = start_fleet(SEED, hosts, bodies)
        quiet.run(QUIET_SECONDS)
        yield limit_value(
            Subject('state.failures.false-suspicions', size, SEED),
            count_suspicions(quiet),
            'suspicions',
            bound=0,
        )
        times = [
            measure_detection(start_fleet(seed, hosts, bodies), HostId('h0001'))
            for seed in range(KILLS)
        ]
        yield note_value(
            Subject('state.failures.notice.mean', size, SEED),
            sum(times) / KILLS,
            's',
        )
        yield note_value(
            Subject('state.failures.notice.max', size, SEED),
            max(times),
            's',
        )
