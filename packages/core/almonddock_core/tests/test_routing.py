"""Tests of routes, traffic splits and the table of targets."""

import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from almonddock_core.routing import (
    KnownTarget,
    TargetEntry,
    TargetState,
    TargetTable,
    WeightedRotation,
    WeightedService,
    build_routing_table,
)
from almonddock_core.routing._targets import MAX_REMEMBERED
from almonddock_core.tests.dispatch_cases import (
    LIMITS,
    SECOND,
    make_entry,
    make_route,
)

START = timedelta()


class RouteTest(unittest.TestCase):
    def test_longest_prefix_wins(self) -> None:
        table = build_routing_table(
            1,
            LIMITS,
            (),
            [
                make_route(name='short', prefix='/a/'),
                make_route(name='long', prefix='/a/b/'),
                make_route(name='other', host='other.example', prefix='/'),
            ],
        )
        for host, path, expected in (
            ('desk.example', '/a/x', 'short'),
            ('desk.example', '/a/b/x', 'long'),
            ('desk.example', '/a/b/', 'long'),
            ('desk.example', '/a/b', 'short'),
            ('desk.example', '/a', None),
            ('desk.example', '/b/a/', None),
            ('other.example', '/b/a/', 'other'),
            ('nobody.example', '/a/b/x', None),
        ):
            with self.subTest(host=host, path=path):
                route = table.find_route(host, path)
                self.assertEqual(route and route.name, expected)


class RotationTest(unittest.TestCase):
    def test_every_span_keeps_to_the_weights(self) -> None:
        parts = (
            WeightedService('a', 70),
            WeightedService('b', 20),
            WeightedService('c', 10),
        )
        rotation = WeightedRotation(parts)
        chosen = [rotation.choose_service() for _ in range(100)]
        self.assertEqual(Counter(chosen), {'a': 70, 'b': 20, 'c': 10})
        for start in range(0, 90, 10):
            span = Counter(chosen[start : start + 10])
            self.assertEqual(span['a'], 7)


class ReturningTargetTest(unittest.TestCase):
    """An entry may go and come back while its target runs on."""

    def setUp(self) -> None:
        self.table = TargetTable()
        self.table.put(make_entry('a'), START)

    def find(self, target_id: str = 'a') -> KnownTarget:
        known = self.table.find(target_id)
        assert known is not None
        return known

    def test_target_that_leaves_stays_unused_once_listed_again(self) -> None:
        self.find().leaving = True
        for _ in range(2):
            self.table.remove('a', START)
            self.table.put(make_entry('a'), START)
            self.assertEqual(self.table.list_usable('desk', START), [])

    def test_target_that_rests_stays_unused_once_listed_again(self) -> None:
        self.find().rests_until = 3 * SECOND
        self.table.remove('a', START)
        self.table.put(make_entry('a'), START)
        self.assertEqual(self.table.list_usable('desk', 2 * SECOND), [])
        self.assertEqual(len(self.table.list_usable('desk', 3 * SECOND)), 1)

    def test_target_that_started_again_is_used(self) -> None:
        self.find().leaving = True
        self.table.remove('a', START)
        self.table.put(make_entry('a', started_ms=2), START)
        self.assertEqual(len(self.table.list_usable('desk', START)), 1)

    def test_target_at_another_address_is_used(self) -> None:
        self.find().leaving = True
        self.table.remove('a', START)
        self.table.put(make_entry('a', port=2), START)
        self.assertEqual(len(self.table.list_usable('desk', START)), 1)

    def test_few_targets_that_are_gone_are_remembered(self) -> None:
        self.find().leaving = True
        self.table.remove('a', START)
        for number in range(MAX_REMEMBERED):
            name = f'other-{number}'
            self.table.put(make_entry(name), START)
            self.find(name).leaving = True
            self.table.remove(name, START)
        self.table.put(make_entry('a'), START)
        self.assertEqual(len(self.table.list_usable('desk', START)), 1)


class RestoredTableTest(unittest.TestCase):
    """A store that is restored from a copy lists older entries."""

    def setUp(self) -> None:
        self.table = TargetTable()
        self.before = replace(make_entry('a', started_ms=1), sequence=4)
        self.table.put(self.before, START)

    def count_usable(self, *listed: TargetEntry) -> int:
        """Returns the number of usable targets once these are listed."""
        self.table.replace_all(listed, START)
        return len(self.table.list_usable('desk', START))

    def test_draining_target_is_not_used_again(self) -> None:
        draining = replace(self.before, state=TargetState.DRAINING, sequence=5)
        self.table.put(draining, START)
        self.assertEqual(self.count_usable(self.before), 0)
        again = replace(self.before, started_ms=2, sequence=1)
        self.assertEqual(self.count_usable(again), 1)

    def test_earlier_incarnation_does_not_replace_the_one_that_runs(
        self,
    ) -> None:
        """A copy of the store sent requests to the address of a stopped one."""
        running = replace(self.before, started_ms=2, sequence=1, port=9)
        self.table.put(running, START)
        self.assertEqual(self.count_usable(self.before), 1)
        usable = self.table.list_usable('desk', START)
        self.assertEqual([target.entry for target in usable], [running])

    def test_target_that_has_left_is_not_used_again(self) -> None:
        self.table.put(replace(self.before, sequence=5), START)
        self.table.remove('a', START)
        for sequence in (4, 5):
            listed = replace(self.before, sequence=sequence)
            self.assertEqual(self.count_usable(listed), 0)
        self.table.put(replace(self.before, sequence=6), START)
        self.assertEqual(self.count_usable(replace(self.before, sequence=7)), 1)

    def test_entries_without_an_order_are_taken(self) -> None:
        self.table.remove('a', START)
        for listed in (
            replace(self.before, started_ms=None),
            replace(self.before, sequence=None),
        ):
            with self.subTest(listed=listed):
                self.assertEqual(self.count_usable(listed), 1)
                self.table.remove('a', START)

    def test_few_targets_that_have_left_are_remembered(self) -> None:
        for number in range(MAX_REMEMBERED + 1):
            name = f'other-{number}'
            self.table.put(replace(self.before, target_id=name), START)
            self.table.remove(name, START)
        self.assertEqual(len(self.table._dropped), MAX_REMEMBERED)


class TargetTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = TargetTable()

    def list_usable(self, now: timedelta = START) -> list[str]:
        usable = self.table.list_usable('desk', now)
        return [target.entry.target_id for target in usable]

    def test_draining_and_removed_targets_get_no_work(self) -> None:
        for number in range(3):
            self.table.put(make_entry(f'{number}'), START)
        self.table.put(make_entry('1', state=TargetState.DRAINING), START)
        self.table.remove('2', START)
        self.assertEqual(self.list_usable(), ['0'])

    def test_drained_data_centre_gets_no_work(self) -> None:
        self.table.put(make_entry('0'), START)
        self.table.put(make_entry('1', data_centre='away'), START)
        self.table.drained = frozenset(('away',))
        self.assertEqual(self.list_usable(), ['0'])

    def test_unchanged_entry_keeps_the_health(self) -> None:
        self.table.put(make_entry('0'), START)
        self.table.list_usable('desk', START)[
            0
        ].health.observe_connection_failure(START)
        self.assertIsNone(self.table.put(make_entry('0'), START))
        known = self.table.list_usable('desk', START)[0]
        self.assertEqual(known.health.connection_failures, 1)

    def test_new_incarnation_starts_with_fresh_health(self) -> None:
        for changed in (
            make_entry('0', started_ms=2),
            make_entry('0', port=81),
        ):
            with self.subTest(changed=changed):
                self.table.put(make_entry('0', started_ms=1), START)
                known = self.table.list_usable('desk', START)[0]
                known.health.observe_connection_failure(START)
                known.replaced = True
                self.table.put(changed, START)
                fresh = self.table.list_usable('desk', START)[0]
                self.assertEqual(fresh.health.connection_failures, 0)

    def test_target_may_move_to_another_service(self) -> None:
        self.table.put(make_entry('0'), START)
        self.table.put(make_entry('0', service='other'), START)
        self.assertEqual(self.list_usable(), [])
        self.assertEqual(len(self.table.list_usable('other', START)), 1)

    def test_removal_without_an_outage_is_final(self) -> None:
        self.table.put(make_entry('0'), START)
        self.table.remove('0', START)
        self.assertEqual(self.list_usable(), [])

    def test_entry_that_lapsed_in_an_outage_may_come_back(self) -> None:
        self.table.put(make_entry('0'), START)
        self.table.put(make_entry('1'), START)
        self.table.record_store_recovery(10 * SECOND)
        self.table.replace_all((), 10 * SECOND)
        self.assertEqual(self.list_usable(11 * SECOND), ['0', '1'])
        self.table.put(make_entry('1'), 11 * SECOND)
        self.table.drop_lapsed(13 * SECOND)
        self.assertEqual(self.list_usable(13 * SECOND), ['1'])

    def test_lapsed_target_gets_no_work_once_its_time_is_over(self) -> None:
        self.table.put(make_entry('0'), START)
        self.table.record_store_recovery(10 * SECOND)
        self.table.remove('0', 10 * SECOND)
        self.assertEqual(self.list_usable(12 * SECOND), ['0'])
        self.assertEqual(self.list_usable(13 * SECOND), [])

    def test_full_read_replaces_all_known_targets(self) -> None:
        self.table.put(make_entry('0'), START)
        changes = self.table.replace_all([make_entry('1')], START)
        self.assertEqual(self.list_usable(), ['1'])
        self.assertEqual(
            [(change.target_id, change.change) for change in changes],
            [('0', 'gone'), ('1', 'ready')],
        )


if __name__ == '__main__':
    unittest.main()
