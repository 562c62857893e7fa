"""Roll-outs of a version: orders, verdicts, and what each version gets."""

import unittest
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.rollouts import (
    CountTable,
    Evidence,
    Group,
    HostCounts,
    Permits,
    RolloutBounds,
    RolloutRecord,
    RolloutStage,
    RolloutState,
    ServiceCounts,
    Tally,
    _decider,
    find_fault,
    plan_step,
)
from almonddock_core.tests.rollout_fleet import (
    OLD,
    SERVICE,
    STEP_S,
    Entry,
    FakeHost,
    FakeStore,
    RolloutFleet,
    Target,
    Work,
    behave_well,
    happens,
)

RUNNING = RolloutState.RUNNING
COMPLETED = RolloutState.COMPLETED
ROLLED_BACK = RolloutState.ROLLED_BACK


#: How long a decision is waited for.
MAX_WAIT_STEPS = 100

#: The load from which a version is bad in these tests.
HEAVY = 0.5


def fail_often(work: Work) -> tuple[bool, float]:
    """A version that fails three of ten requests."""
    return happens(work.draws, 0.3), 1


def fail_under_load(work: Work) -> tuple[bool, float]:
    """A version that fails once it gets most requests."""
    return work.load > HEAVY and happens(work.draws, 0.4), 1


def suffer(work: Work) -> tuple[bool, float]:
    """Either version in a network that loses many answers."""
    failed, slowness = behave_well(work)
    return failed or happens(work.draws, 0.2), slowness


def slow_down(work: Work) -> tuple[bool, float]:
    """Either version while one data centre is slow."""
    failed, slowness = behave_well(work)
    if work.data_centre == 'a':
        slowness *= 6
    return failed, slowness


class RolloutTest(unittest.TestCase):
    def test_good_version_is_completed_in_time(self) -> None:
        fleet = RolloutFleet()
        fleet.run(2)
        fleet.order()
        fleet.run(19)
        self.assertEqual(fleet.states, [RUNNING, COMPLETED])

    def test_bad_versions_stay_below_the_bound(self) -> None:
        for behave in (fail_often, fail_under_load):
            fleet = RolloutFleet(26, behave_new=behave)
            fleet.run(2)
            before = fleet.requests
            fleet.order()
            fleet.run(20)
            self.assertEqual(fleet.states, [RUNNING, ROLLED_BACK])
            bound = 0.1 * (fleet.requests - before) + 50
            self.assertLessEqual(len(fleet.exposed), bound)

    def test_trouble_of_both_versions_is_no_fault(self) -> None:
        for behave in (suffer, slow_down):
            fleet = RolloutFleet(4, behave_new=behave, behave_old=behave)
            fleet.run(2)
            fleet.order()
            fleet.run(20)
            self.assertEqual(fleet.states, [RUNNING, COMPLETED])

    def test_new_version_gets_nothing_before_a_record(self) -> None:
        fleet = RolloutFleet()
        for host in fleet.hosts:
            host.is_cut = True
        fleet.order()
        for host in fleet.hosts:
            host.read(fleet.store, [], fleet.now)
        fleet.run(10)
        self.assertEqual(fleet.exposed, [])

    def test_host_without_news_sends_nothing_to_the_new_version(self) -> None:
        fleet = RolloutFleet()
        fleet.run(2)
        fleet.order()
        fleet.run(6)
        for host in fleet.hosts:
            host.is_cut = True
        fleet.run(3)
        sent = len(fleet.exposed)
        fleet.run(10)
        self.assertEqual(len(fleet.exposed), sent)

    def test_version_that_never_comes_up_is_rolled_back(self) -> None:
        fleet = RolloutFleet(has_new=False)
        fleet.order()
        fleet.run(20)
        self.assertEqual(fleet.states, [RUNNING, ROLLED_BACK])

    def test_version_in_service_is_completed_at_once(self) -> None:
        fleet = RolloutFleet()
        fleet.order(OLD)
        fleet.run(3)
        self.assertEqual(fleet.states, [COMPLETED])

    def test_service_without_targets_is_rolled_back(self) -> None:
        fleet = RolloutFleet(has_new=False)
        fleet.old.clear()
        fleet.order()
        fleet.run(20)
        self.assertEqual(fleet.states, [RUNNING, ROLLED_BACK])

    def test_withdrawn_order_is_rolled_back(self) -> None:
        fleet = RolloutFleet()
        fleet.order()
        fleet.run(8)
        fleet.store.withdraw()
        fleet.run(3)
        self.assertEqual(fleet.states, [RUNNING, ROLLED_BACK])
        sent = len(fleet.exposed)
        fleet.run(5)
        self.assertEqual(len(fleet.exposed), sent)

    def test_repeated_order_changes_nothing(self) -> None:
        fleet = RolloutFleet()
        fleet.order()
        fleet.run(8)
        fleet.store.order()
        fleet.run(12)
        self.assertEqual(fleet.states, [RUNNING, COMPLETED])
        fleet.store.order()
        fleet.run(5)
        self.assertEqual(fleet.states, [RUNNING, COMPLETED])

    def test_order_after_a_verdict_starts_anew(self) -> None:
        fleet = RolloutFleet(behave_new=fail_often)
        fleet.run(2)
        fleet.order()
        fleet.run(19)
        fleet.behave_new = behave_well
        fleet.order()
        fleet.run(20)
        self.assertEqual(
            fleet.states, [RUNNING, ROLLED_BACK, RUNNING, COMPLETED]
        )

    def test_replaced_version_gets_nothing_more(self) -> None:
        """It was never completed, so it isn't an old version either."""
        fleet = RolloutFleet()
        fleet.order()
        fleet.run(8)
        fleet.store.order('v3')
        fleet.run(2)
        sent = len(fleet.exposed)
        third = [Target(Entry('v3', place)) for place in 'abc']
        fleet.old.extend(third)
        fleet.run(20)
        self.assertEqual(len(fleet.exposed), sent)
        self.assertEqual(fleet.store.written[-1].version, 'v3')
        self.assertEqual(fleet.states[-1], COMPLETED)

    def test_next_host_decides_soon_after_a_kill(self) -> None:
        fleet = RolloutFleet(behave_new=fail_often)
        fleet.run(2)
        fleet.order()
        fleet.run(3)
        decider = fleet.find_decider()
        assert decider is not None
        decider.is_alive = False
        fleet.run(3.5)
        self.assertIsNot(fleet.find_decider(), decider)
        fleet.run(14)
        self.assertEqual(fleet.states, [RUNNING, ROLLED_BACK])

    def test_verdict_on_an_order_that_has_changed_is_refused(self) -> None:
        """The operator stops the old targets of what is completed."""
        for change in ('withdraw', 'replace'):
            with self.subTest(change=change):
                fleet = RolloutFleet()
                fleet.run(2)
                fleet.order()
                fleet.run(3)
                decider = fleet.find_decider()
                assert decider is not None
                rollout = decider.table.find(SERVICE)
                assert rollout is not None and rollout.record is not None
                verdict = rollout.record.end(COMPLETED, 'all hosts moved')
                with patch.object(
                    _decider, 'decide', lambda *_, verdict=verdict: verdict
                ):
                    write = decider.decider.plan_write(
                        fleet._find_fleet, fleet.now
                    )
                assert write is not None and write.records
                if change == 'withdraw':
                    fleet.store.withdraw()
                else:
                    fleet.store.order('v3')
                owner = decider.claim.owner
                self.assertIsNone(fleet.store.commit(write, owner))

    def test_hosts_are_told_before_a_late_completion(self) -> None:
        """It came with the next check after the move."""
        record = RolloutRecord(
            service=SERVICE,
            version='v2',
            order_revision=3,
            duration=timedelta(seconds=60),
            state=RUNNING,
            stage=RolloutStage.MOVED,
            stage_number=4,
            stage_began=timedelta(seconds=57.2),
        )
        evidence = Evidence(
            elapsed=timedelta(seconds=57.5),
            new_targets=3,
            old_targets=3,
            requests=600,
            exposed=300,
            rate=10,
            answers=300,
            fault='',
            doubt='',
            all_moved=False,
        )
        for elapsed, all_moved, state in (
            (57.5, False, RUNNING),
            (57.5, True, COMPLETED),
            (59.3, False, COMPLETED),
        ):
            with self.subTest(elapsed=elapsed, all_moved=all_moved):
                later = replace(
                    evidence,
                    elapsed=timedelta(seconds=elapsed),
                    all_moved=all_moved,
                )
                bounds = RolloutBounds(0.1, 50, timedelta(seconds=5))
                planned = plan_step(record, later, bounds)
                self.assertIs(planned.state, state)

    def test_old_verdict_of_a_woken_host_is_refused(self) -> None:
        fleet = RolloutFleet()
        fleet.run(2)
        fleet.order()
        fleet.run(3)
        decider = fleet.find_decider()
        assert decider is not None
        write = decider.decider.plan_write(
            fleet._find_fleet, fleet.now + timedelta(seconds=1)
        )
        assert write is not None
        decider.frozen_until = fleet.now + timedelta(seconds=6)
        fleet.run(5)
        self.assertIsNone(fleet.store.commit(write, decider.claim.owner))


class RestoredStoreTest(unittest.TestCase):
    """The store comes back from a copy some seconds old."""

    def setUp(self) -> None:
        self.fleet = RolloutFleet()
        self.fleet.run(2)

    def test_hosts_decide_though_the_copy_lacks_claim_and_record(self) -> None:
        """No write held any more: all named revisions of an earlier era."""
        copy = self.fleet.store.take_copy()
        self.fleet.order()
        self.fleet.run(4)
        self.fleet.store.restore(copy)
        self.fleet.store.order()
        self.fleet.run(18)
        self.assertEqual(self.fleet.states, [RUNNING, COMPLETED])

    def test_verdict_that_the_copy_lacks_holds_and_is_written_again(
        self,
    ) -> None:
        """The version got requests again, by the record of the copy."""
        copies: list[FakeStore] = []
        fleet = self.fleet
        fleet.behave_new = fail_often
        fleet.order()
        fleet.run(0.2)
        while not fleet.store.verdict_at:
            copies.append(fleet.store.take_copy())
            fleet.run(0.5)
        fleet.run(2)
        sent = len(fleet.exposed)
        for copy in copies:
            with self.subTest(revision=copy.revision):
                fleet.store.restore(copy)
                fleet.run(2.5)
                fleet.restart(fleet.hosts[0])
                fleet.hosts[0].read(fleet.store, [], fleet.now)
                fleet.run(2)
                self.assertEqual(len(fleet.exposed), sent)
                record, _ = fleet.store.records[SERVICE]
                self.assertIs(record.state, ROLLED_BACK)

    def test_lost_verdict_is_written_together_with_the_claim(self) -> None:
        """Hosts that know it took the claim from each other before."""
        fleet = self.fleet
        fleet.behave_new = fail_often
        fleet.order()
        fleet.run(1)
        copy = fleet.store.take_copy()
        fleet.run(19)
        fleet.store.restore(copy)
        later = fleet.now + timedelta(seconds=2)
        for host in fleet.hosts:
            host.read(fleet.store, [], fleet.now)
            host.decider.plan_write(fleet._find_fleet, fleet.now)
            host.table.known_at = later
            write = host.decider.plan_write(fleet._find_fleet, later)
            assert write is not None
            states = [record.state for record in write.records]
            self.assertEqual(states, [ROLLED_BACK])

    def test_counts_and_permits_of_a_running_roll_out_stay(self) -> None:
        """They were forgotten, and the stage began anew."""
        fleet = self.fleet
        fleet.order()
        fleet.run(6)
        rollouts = [host.table.list_running()[0] for host in fleet.hosts]
        before = [self.describe(host) for host in fleet.hosts]
        self.assertTrue(all(one.permits for one in rollouts))
        fleet.store.restore(fleet.store.take_copy())
        for host in fleet.hosts:
            host.read(fleet.store, [], fleet.now)
        after = [self.describe(host) for host in fleet.hosts]
        self.assertEqual(after, before)

    def describe(self, host: FakeHost) -> tuple[object, ...]:
        """Returns what a host knows of the stage of a running roll-out."""
        rollout = host.table.list_running()[0]
        assert rollout.record is not None
        order_revision = rollout.record.order_revision
        counts = host.table.counts.sum(SERVICE, order_revision)
        self.assertGreater(counts.requests, 0)
        return counts, rollout.permits, rollout.stage_at

    def test_order_that_the_copy_lacks_counts_until_it_is_repeated(
        self,
    ) -> None:
        """Its roll-out was ended as if the operator had withdrawn it."""
        copy = self.fleet.store.take_copy()
        self.fleet.order()
        self.fleet.run(6)
        self.fleet.store.restore(copy)
        self.fleet.run(2)
        self.fleet.store.order()
        self.fleet.run(12)
        self.assertEqual(self.fleet.states, [RUNNING, COMPLETED])

    def test_replaced_order_that_the_copy_holds_is_not_in_force_again(
        self,
    ) -> None:
        """The version that the operator had given up got requests again."""
        fleet = self.fleet
        fleet.order()
        fleet.run(6)
        copy = fleet.store.take_copy()
        fleet.store.order('v3')
        fleet.run(2)
        sent = len(fleet.exposed)
        fleet.store.restore(copy)
        fleet.run(5)
        self.assertEqual(len(fleet.exposed), sent)
        fleet.old.extend(Target(Entry('v3', place)) for place in 'abc')
        fleet.store.order('v3')
        fleet.run(20)
        self.assertEqual(len(fleet.exposed), sent)
        self.assertEqual(fleet.store.written[-1].version, 'v3')
        self.assertEqual(fleet.states[-1], COMPLETED)

    def test_order_that_is_not_repeated_is_withdrawn_in_the_end(self) -> None:
        copy = self.fleet.store.take_copy()
        self.fleet.order(duration_s=300)
        self.fleet.run(6)
        self.fleet.store.restore(copy)
        self.fleet.run(63)
        self.assertEqual(self.fleet.states, [RUNNING, ROLLED_BACK])

    def test_second_order_below_the_number_of_the_lost_one_is_a_new_one(
        self,
    ) -> None:
        """It counted as answered by the verdict on the lost order."""
        fleet = self.fleet
        fleet.behave_new = fail_often
        copy = fleet.store.take_copy()
        fleet.store.revision += 1000
        fleet.order()
        fleet.run(20)
        fleet.store.restore(copy)
        fleet.run(1)
        fleet.store.order()
        fleet.run(2)
        fleet.behave_new = behave_well
        fleet.order()
        fleet.run(20)
        self.assertEqual(
            fleet.states, [RUNNING, ROLLED_BACK, RUNNING, COMPLETED]
        )

    def test_order_that_is_repeated_after_a_verdict_is_no_new_one(
        self,
    ) -> None:
        """The version that was rolled back got requests again."""
        fleet = self.fleet
        fleet.behave_new = fail_often
        copy = fleet.store.take_copy()
        fleet.order()
        fleet.run(20)
        sent = len(fleet.exposed)
        for more in (0, 5):
            with self.subTest(more=more):
                fleet.store.restore(copy)
                fleet.run(1)
                fleet.store.revision += more
                fleet.store.order()
                fleet.run(5)
                self.assertEqual(fleet.states, [RUNNING, ROLLED_BACK])
                self.assertEqual(len(fleet.exposed), sent)
        fleet.behave_new = behave_well
        fleet.order()
        fleet.run(20)
        self.assertEqual(
            fleet.states, [RUNNING, ROLLED_BACK, RUNNING, COMPLETED]
        )


@st.composite
def schedule_faults(draw: st.DrawFn) -> list[tuple[float, str, int]]:
    """Returns pauses, each with a fault and the host that it hits."""
    fault = st.tuples(
        st.floats(0.2, 3),
        st.sampled_from(
            ('kill', 'restart', 'cut', 'mend', 'freeze', 'decider')
        ),
        st.integers(0, 4),
    )
    return draw(st.lists(fault, min_size=3, max_size=12))


class ScheduleTest(unittest.TestCase):
    @given(schedule_faults(), st.integers(0, 1000), st.booleans())
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_one_verdict_whatever_fails(
        self, faults: list[tuple[float, str, int]], seed: int, is_bad: bool
    ) -> None:
        """Kills, cuts and freezes lead to one verdict, which stays."""
        behave = fail_often if is_bad else behave_well
        fleet = RolloutFleet(5, seed, behave_new=behave)
        fleet.run(2)
        fleet.order()
        for pause, fault, number in faults:
            fleet.run(pause)
            strike(fleet, fault, number)
        for host in tuple(fleet.hosts):
            host.is_cut = False
            fleet.restart(host)
        fleet.run(25)
        verdicts = {
            record.state
            for record in fleet.store.written
            if record.state is not RUNNING
        }
        self.assertEqual(len(verdicts), 1)
        stages = [record.stage_number for record in fleet.store.written]
        self.assertEqual(stages, sorted(stages))
        self.assertEqual(fleet.states, [RUNNING, *verdicts])
        if is_bad:
            self.assertEqual(verdicts, {ROLLED_BACK})


def strike(fleet: RolloutFleet, fault: str, number: int) -> None:
    """Brings a fault about, or ends one."""
    host = fleet.hosts[number]
    if fault == 'kill':
        host.is_alive = False
    elif fault == 'restart':
        fleet.restart(host)
    elif fault in {'cut', 'mend'}:
        host.is_cut = fault == 'cut'
    else:
        if fault == 'decider':
            host = wait_for_write(fleet) or host
        host.frozen_until = fleet.now + timedelta(seconds=1 + number)


def wait_for_write(fleet: RolloutFleet) -> FakeHost | None:
    """Runs until a decision is on its way; returns the host that made it."""
    for _ in range(MAX_WAIT_STEPS):
        for host in fleet.hosts:
            if host.pending is not None and host.pending[1].records:
                return host
        fleet.run(STEP_S)
    return fleet.find_decider()


class CountTest(unittest.TestCase):
    def test_counts_merge_in_any_order(self) -> None:
        rows = [
            HostCounts('a', 1, SERVICE, 5, 0, 10, 1),
            HostCounts('a', 1, SERVICE, 5, 0, 20, 2),
            HostCounts('a', 2, SERVICE, 5, 0, 3, 0),
            HostCounts('b', 1, SERVICE, 5, 0, 4, 1),
            HostCounts('b', 1, SERVICE, 4, 0, 90, 9),
        ]
        for order in (rows, list(reversed(rows))):
            table = CountTable()
            for row in (*order, *order):
                table.record(row)
            self.assertEqual(table.sum(SERVICE, 5).requests, 27)

    def test_permits_add_up_over_all_hosts(self) -> None:
        """A rate below one a host is neither lost nor rounded up."""
        names = [f'host-{number}' for number in range(26)]
        every = [Permits(name, names, 'seed', 2, timedelta()) for name in names]
        used = 0
        for step in range(200):
            now = timedelta(seconds=step / 10)
            for permits in every:
                if permits.has_one(now):
                    permits.use()
                    used += 1
        self.assertAlmostEqual(used, 40, delta=2)

    def test_fault_on_one_route_shows(self) -> None:
        counts = ServiceCounts(
            tallies={
                Group(False, 'one', 'a'): Tally(100, 1),
                Group(False, 'two', 'a'): Tally(100, 1),
                Group(True, 'one', 'a'): Tally(40, 0),
                Group(True, 'two', 'a'): Tally(20, 8),
            }
        )
        self.assertEqual(find_fault(counts), 'failures on all routes')

    def test_route_that_fails_at_both_is_no_fault(self) -> None:
        counts = ServiceCounts(
            tallies={
                Group(False, 'one', 'a'): Tally(100, 40),
                Group(True, 'one', 'a'): Tally(50, 22),
            }
        )
        self.assertEqual(find_fault(counts), '')
