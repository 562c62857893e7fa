import functools
import unittest
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from almonddock_core.model import (
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    MemberState,
)
from almonddock_core.tests.state_fleet import Fleet

NAMES = ('a', 'b', 'c', 'd', 'e', 'f')
SETUP_SECONDS = 3
CONVERGENCE_SECONDS = 12


def choose_delay(one: DataCentreId, other: DataCentreId) -> timedelta:
    return timedelta(milliseconds=1 if one == other else 3)


def choose_data_centre(name: str) -> str:
    return f'd{NAMES.index(name) % 3}'


def make_fleet(seed: int = 1, loss: float = 0) -> Fleet:
    fleet = Fleet(seed, choose_delay, loss)
    fleet.host_list = [make_member(name) for name in NAMES]
    for name in NAMES:
        fleet.add(name, choose_data_centre(name))
    fleet.run(SETUP_SECONDS)
    return fleet


def make_member(name: str) -> Member:
    where = DataCentreId(choose_data_centre(name))
    return Member(HostId(name), where, '127.0.0.1:1')


def list_states(fleet: Fleet, host: str) -> set[MemberState | None]:
    """Returns the states that the other hosts assign to a host."""
    return {
        find_state(node.membership.view.members.get(HostId(host)))
        for name, node in fleet.hosts.items()
        if name != host
    }


def find_state(member: Member | None) -> MemberState | None:
    return None if member is None else member.state


def record_sender(sent: list[str], host: str, message: object) -> None:
    sent.append(host)


class MembershipTest(unittest.TestCase):
    def assert_alive(self, fleet: Fleet, names: Iterable[str]) -> None:
        for name in names:
            self.assertEqual(list_states(fleet, name), {MemberState.ALIVE})

    def test_suspects_no_host_without_a_failure(self) -> None:
        for seed in range(5):
            fleet = make_fleet(seed, loss=0.01)
            fleet.run(60)
            self.assert_alive(fleet, NAMES)
            # A suspected host would have refuted with a larger incarnation.
            incarnations = {
                node.membership.view.members[HostId(name)].incarnation
                for node in fleet.hosts.values()
                for name in NAMES
            }
            self.assertEqual(incarnations, {1})

    def test_detects_dead_hosts_even_if_half_die_together(self) -> None:
        for dead in (('a',), ('a', 'd'), ('a', 'b', 'c')):
            with self.subTest(dead=dead):
                fleet = make_fleet()
                fleet.kill([HostId(name) for name in dead])
                fleet.run(CONVERGENCE_SECONDS)
                for name in dead:
                    states = list_states(fleet, name)
                    self.assertEqual(states, {MemberState.DEAD})
                self.assert_alive(fleet, set(NAMES) - set(dead))

    def test_probes_indirectly_before_it_suspects(self) -> None:
        fleet = make_fleet()
        fleet.reachable = lambda one, other: (
            {one.host, other.host} != {'a', 'b'}
        )
        fleet.run(60)
        self.assert_alive(fleet, NAMES)

    def test_a_paused_host_is_validated_again_and_rejoins(self) -> None:
        fleet = make_fleet()
        fleet.pause(HostId('a'), 30)
        fleet.run(25)
        self.assertEqual(list_states(fleet, 'a'), {MemberState.DEAD})
        host = fleet.hosts[HostId('a')].membership
        actions = host.tick(fleet.now)
        self.assertFalse(host.validated)
        self.assertEqual(type(actions[0]).__name__, 'Paused')
        fleet.run(5 + CONVERGENCE_SECONDS)
        self.assertTrue(host.validated)
        self.assert_alive(fleet, NAMES)

    def test_recovers_from_a_partition_of_an_hour(self) -> None:
        fleet = make_fleet()
        fleet.reachable = lambda one, other: (
            (one.data_centre == 'd0') == (other.data_centre == 'd0')
        )
        fleet.run(3600)
        self.assertEqual(
            list_states(fleet, 'a'), {MemberState.ALIVE, MemberState.DEAD}
        )
        fleet.reachable = lambda one, other: True
        fleet.run(2 * CONVERGENCE_SECONDS)
        self.assert_alive(fleet, NAMES)

    def test_survives_a_rolling_replacement_of_all_hosts(self) -> None:
        fleet = make_fleet()
        for number, name in enumerate(NAMES):
            node = fleet.hosts[HostId(name)]
            fleet.act(node, node.membership.leave(fleet.now))
            fleet.run(1)
            states = list_states(fleet, name)
            self.assertEqual(states, {MemberState.LEAVING})
            fleet.kill([HostId(name)])
            fleet.add(name, choose_data_centre(name), 100 + number)
            fleet.run(CONVERGENCE_SECONDS)
            self.assert_alive(fleet, NAMES)

    def test_corrects_a_wrong_host_list(self) -> None:
        fleet = make_fleet()
        ghost = replace(make_member('a'), host=HostId('ghost'))
        fleet.host_list = [*fleet.host_list[1:], ghost]
        fleet.add('new', 'd0')
        fleet.run(2 * CONVERGENCE_SECONDS)
        self.assert_alive(fleet, (*NAMES, 'new'))
        # No host considers the host alive that is only in the list.
        states = list_states(fleet, 'ghost')
        self.assertLessEqual(states, {None, MemberState.DEAD})

    def test_keeps_the_larger_incarnation(self) -> None:
        fleet = make_fleet()
        fleet.kill([HostId('a')])
        fleet.add('a', 'd0', 7)
        fleet.run(CONVERGENCE_SECONDS)
        members = fleet.hosts[HostId('b')].membership.view.members
        self.assertEqual(members[HostId('a')].incarnation, Incarnation(7))
        self.assert_alive(fleet, NAMES)

    def test_messages_per_host_do_not_grow_with_the_fleet(self) -> None:
        counts: list[int] = []
        for size in (6, 48):
            fleet = Fleet(1, choose_delay)
            fleet.host_list = [
                replace(make_member('a'), host=HostId(f'h{number}'))
                for number in range(size)
            ]
            for member in fleet.host_list:
                fleet.add(member.host, 'd0')
            fleet.run(SETUP_SECONDS)
            sent: list[str] = []
            fleet.observe = functools.partial(record_sender, sent)
            fleet.run(10)
            counts.append(round(len(sent) / size))
        # In 10 s a host sends 20 probes, one per period, and 20 replies.
        self.assertEqual(counts, [40, 40])
