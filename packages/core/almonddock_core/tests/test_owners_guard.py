import unittest
from collections.abc import Callable

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from almonddock_core.model import HostId
from almonddock_core.tests.owner_fleet import Fleet

HOSTS = tuple(HostId(f'host-{number:04}') for number in range(4))
PROFILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
    max_examples=15,
    stateful_step_count=12,
    suppress_health_check=list(HealthCheck),
)


def start_fleet(seed: int, *, use_leases: bool = True) -> tuple[Fleet, HostId]:
    fleet = Fleet(seed, use_leases=use_leases)
    fleet.run(4)
    owner = fleet.find_owner()
    assert owner is not None, 'no host acquired the target'
    return fleet, owner


def fail_owner(fleet: Fleet, owner: HostId) -> None:
    """Crashes the owner; the others detect it."""
    fleet.hosts[owner].dead = True
    for host in HOSTS:
        fleet.update_view(host, [owner])


def pause_owner(fleet: Fleet, owner: HostId) -> None:
    """Pauses the owner for 30 s; another host takes over meanwhile."""
    fleet.pause(owner)
    fleet.run(1)
    for host in HOSTS:
        fleet.update_view(host, [owner] if host != owner else [])
    fleet.run(29)
    fleet.resume(owner)


def partition_owner(fleet: Fleet, owner: HostId) -> None:
    """Partitions the owner; each side considers the other dead."""
    others = [host for host in HOSTS if host != owner]
    fleet.partition([owner])
    fleet.update_view(owner, others)
    for host in others:
        fleet.update_view(host, [owner])


def mislead_hosts(fleet: Fleet, owner: HostId) -> None:
    """Makes every host consider all others dead."""
    for host in HOSTS:
        fleet.update_view(host, [other for other in HOSTS if other != host])


def restart_owner(fleet: Fleet, owner: HostId) -> None:
    """Restarts the owner without its state."""
    fleet.restart(owner)


def restart_voters(fleet: Fleet, owner: HostId) -> None:
    """Partitions the owner and restarts all others without their state."""
    partition_owner(fleet, owner)
    for host in HOSTS:
        if host != owner:
            fleet.restart(host)
            fleet.update_view(host, [owner])


class LeaseManagerTest(unittest.TestCase):
    def test_a_cold_target_is_not_overloaded_after_a_fault(self) -> None:
        faults: tuple[Callable[[Fleet, HostId], None], ...] = (
            fail_owner,
            pause_owner,
            partition_owner,
            mislead_hosts,
            restart_owner,
            restart_voters,
        )
        for fault in faults:
            with self.subTest(fault=fault.__name__):
                fleet, owner = start_fleet(7)
                fault(fleet, owner)
                fleet.run(5)
                served = fleet.target.served
                fleet.run(1)
                self.assertGreater(fleet.target.served, served)
                self.assertEqual(fleet.target.excess, 0)

    def test_without_leases_faults_overload_the_target(self) -> None:
        for fault in (pause_owner, partition_owner, mislead_hosts):
            with self.subTest(fault=fault.__name__):
                fleet, owner = start_fleet(7, use_leases=False)
                fault(fleet, owner)
                fleet.run(6)
                self.assertGreater(fleet.target.excess, 0)

    def test_in_an_even_partition_the_owner_keeps_the_target(self) -> None:
        fleet, owner = start_fleet(7)
        others = [host for host in HOSTS if host != owner]
        near, far = [owner, others[0]], others[1:]
        fleet.partition(near)
        for side, other in ((near, far), (far, near)):
            for host in side:
                fleet.update_view(host, other)
        fleet.run(10)
        self.assertEqual(fleet.find_owner(), owner)
        self.assertEqual(fleet.target.excess, 0)

    def test_a_handover_is_quick_and_keeps_the_limit(self) -> None:
        fleet, owner = start_fleet(7)
        fleet.target.limit = 3
        fleet.hang_share = 0
        fleet.run(1)
        fleet.leave(owner)
        served = fleet.target.served
        fleet.run(1.2)
        successor = fleet.find_owner()
        self.assertNotIn(successor, (None, owner))
        self.assertGreater(fleet.target.served - served, 60)
        owned = fleet.hosts[successor or owner].owned
        self.assertEqual(owned and owned.measure(fleet.now).allowed, 3)


class FaultyFleet(RuleBasedStateMachine):
    """Applies random faults to hosts that disagree about which are dead."""

    use_leases = True
    hosts = st.sampled_from(HOSTS)

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(1, use_leases=self.use_leases)
        self.fleet.run(4)

    @rule(seconds=st.sampled_from((0.05, 0.5, 1.5, 2.2, 5)))
    def run_on(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(host=hosts)
    def pause_host(self, host: HostId) -> None:
        self.fleet.pause(host)

    @rule(host=hosts)
    def resume_host(self, host: HostId) -> None:
        self.fleet.resume(host)

    @rule(host=hosts)
    def restart_host(self, host: HostId) -> None:
        self.fleet.restart(host)

    @rule(side=st.sets(hosts))
    def split_hosts(self, side: set[HostId]) -> None:
        self.fleet.partition(side)

    @rule(host=hosts, dead=st.sets(hosts))
    def show_view(self, host: HostId, dead: set[HostId]) -> None:
        self.fleet.update_view(host, dead)

    @invariant()
    def check_target(self) -> None:
        excess = self.fleet.target.excess
        assert not excess, f'{excess} requests above the limit of the target'


class FleetWithoutLeases(FaultyFleet):
    use_leases = False


class LeasePropertyTest(unittest.TestCase):
    def test_no_faults_overload_a_cold_target(self) -> None:
        run_state_machine_as_test(FaultyFleet, settings=PROFILE)

    def test_the_check_fails_without_leases(self) -> None:
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(FleetWithoutLeases, settings=PROFILE)


if __name__ == '__main__':
    unittest.main()
