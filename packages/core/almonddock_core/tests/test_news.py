"""Tests of watchers, read pauses and the log of changes."""

import unittest
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.news import (
    WATCHERS_PER_DATA_CENTRE,
    ChangeLog,
    PauseInputs,
    ReadSource,
    ReplyTimeout,
    choose_pause,
    choose_watchers,
)
from almonddock_core.news._log import MAX_TOMBSTONES


@dataclass(frozen=True, slots=True)
class Item:
    key: str
    content: bytes | None
    revision: int


def list_places(hosts: int, data_centres: int = 3) -> list[tuple[str, str]]:
    return [
        (f'host-{number}', f'dc-{number % data_centres}')
        for number in range(hosts)
    ]


class ReplyTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.second = timedelta(seconds=1)
        self.timeout = ReplyTimeout(self.second, self.second * 4)

    def test_timeout_grows_up_to_its_bound(self) -> None:
        seen = []
        for _ in range(4):
            self.timeout.record_timeout(self.timeout.current)
            seen.append(self.timeout.current / self.second)
        self.assertEqual(seen, [2, 4, 4, 4])

    def test_calls_side_by_side_let_it_grow_once(self) -> None:
        for _ in range(3):
            self.timeout.record_timeout(self.second)
        self.assertEqual(self.timeout.current, self.second * 2)

    def test_slow_replies_keep_it_long(self) -> None:
        self.timeout.record_timeout(self.second)
        for _ in range(3):
            self.timeout.record_reply(self.second * 1.5)
        self.assertEqual(self.timeout.current, self.second * 3)

    def test_quick_reply_shortens_it_at_once(self) -> None:
        self.timeout.record_timeout(self.second * 2)
        self.timeout.record_reply(self.second / 100)
        self.assertEqual(self.timeout.current, self.second)


class WatchersTest(unittest.TestCase):
    """Calls to the store must not grow with the number of hosts."""

    def test_number_of_watchers_does_not_grow_with_the_hosts(self) -> None:
        for hosts, watchers in ((4, 4), (33, 6), (300, 6), (1600, 6)):
            chosen = choose_watchers(list_places(hosts))
            self.assertEqual(len(chosen), watchers)

    def test_every_data_centre_has_watchers_of_its_own(self) -> None:
        places = dict(list_places(33))
        chosen = [places[name] for name in choose_watchers(places.items())]
        for place in set(places.values()):
            self.assertEqual(chosen.count(place), WATCHERS_PER_DATA_CENTRE)

    def test_one_host_more_or_less_changes_one_watcher_at_most(self) -> None:
        places = list_places(33)
        before = choose_watchers(places)
        for number in range(33):
            rest = places[:number] + places[number + 1 :]
            self.assertLessEqual(len(before - choose_watchers(rest)), 1)


class PauseTest(unittest.TestCase):
    """Up to 33 hosts read the store together, and a target may turn cold."""

    def choose(self, **changes: Any) -> float:
        inputs = PauseInputs(
            max_delay=timedelta(seconds=5),
            hosts=4,
            has_followers=False,
            needs_soon=False,
            is_recovering=False,
            source=ReadSource.STORE,
        )
        return choose_pause(replace(inputs, **changes)).total_seconds()

    def test_change_is_in_force_in_time_with_one_call_lost(self) -> None:
        self.assertLess(2 * self.choose(), 5)

    def test_change_read_through_another_host_is_no_later(self) -> None:
        """The store rejects the calls of some hosts, watchers too."""
        reading = self.choose(has_followers=True)
        for source in (ReadSource.WATCHER, ReadSource.PEER):
            asking = self.choose(source=source)
            self.assertLessEqual(reading + asking, self.choose())

    def test_more_hosts_make_no_more_calls_when_entries_return(
        self,
    ) -> None:
        few = 4 / self.choose(is_recovering=True)
        for hosts in (8, 16, 33):
            pause = self.choose(is_recovering=True, hosts=hosts)
            self.assertLessEqual(hosts / pause, few + 0.001)

    def test_cold_targets_are_noticed_soon(self) -> None:
        self.assertLessEqual(self.choose(needs_soon=True), 0.25)

    def test_watchers_are_asked_often_without_store_calls(self) -> None:
        self.assertLess(self.choose(source=ReadSource.WATCHER), 0.1)


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log: ChangeLog[Item] = ChangeLog()
        self.log.apply_snapshot([Item('a', b'1', 3), Item('b', b'1', 5)], 6)

    def test_unchanged_key_is_not_listed(self) -> None:
        # With "!": other content that still decodes to the same entry.
        self.log.apply_changes([Item('a', b'1!', 7)], 7, unchanged=(7,))
        self.assertEqual(self.log.list_changes(6), [])
        self.assertEqual(self.log.revision, 7)

    def test_change_that_is_confirmed_in_the_same_batch_is_listed(self) -> None:
        """A heartbeat (``leaving!``) repeats the entry of a leaving target."""
        batch = [Item('a', b'leaving', 7), Item('a', b'leaving!', 8)]
        self.log.apply_changes(batch, 8, unchanged=(8,))
        self.assertEqual(self.log.list_changes(6), batch[:1])

    def test_removed_key_that_returns_is_listed(self) -> None:
        self.log.apply_changes([Item('a', None, 7)], 7)
        self.log.apply_changes([Item('a', b'1', 8)], 8, unchanged=(8,))
        self.assertEqual(self.log.list_changes(6), [Item('a', b'1', 8)])

    def test_follower_older_than_the_first_read_has_to_read_all(self) -> None:
        self.assertIsNone(self.log.list_changes(5))
        self.assertEqual(self.log.list_changes(6), [])

    def test_dropped_removals_require_a_full_read(self) -> None:
        gone = [Item(f'k{one}', None, one) for one in range(7, 10_000)]
        self.log.apply_changes(gone, 10_000)
        kept = 10_000 - MAX_TOMBSTONES
        self.assertIsNone(self.log.list_changes(kept - 2))
        changes = self.log.list_changes(kept)
        self.assertIsNotNone(changes)
        self.assertLess(len(changes or ()), MAX_TOMBSTONES + 1)


CHANGES = st.lists(
    st.tuples(st.sampled_from('abcd'), st.booleans(), st.booleans()),
    max_size=30,
)


class FollowingTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(changes=CHANGES, lag=st.integers(1, 8))
    def test_follower_ends_with_the_same_keys(
        self,
        changes: list[tuple[str, bool, bool]],
        lag: int,
    ) -> None:
        """However often it asks, a follower ends with the keys of the store."""
        log: ChangeLog[Item] = ChangeLog()
        log.apply_snapshot([], 0)
        store: dict[str, bytes] = {}
        follower: dict[str, bytes] = {}
        seen = 0
        batch: list[Item] = []
        unchanged: set[int] = set()
        for revision, (key, removed, same) in enumerate(changes, 1):
            repeated = same and key in store and not removed
            content = store[key] if repeated else b'%d' % revision
            item = Item(key, None if removed else content, revision)
            if removed:
                store.pop(key, None)
            else:
                store[key] = content
            batch.append(item)
            if repeated:
                unchanged.add(revision)
            if revision % lag == 0:
                log.apply_changes(batch, revision, unchanged)
                batch = []
                seen = self.follow(follower, log, seen)
        log.apply_changes(batch, len(changes), unchanged)
        self.follow(follower, log, seen)
        self.assertEqual(follower, store)

    def follow(
        self,
        follower: dict[str, bytes],
        log: ChangeLog[Item],
        seen: int,
    ) -> int:
        changes: Iterable[Item] | None = log.list_changes(seen)
        assert changes is not None
        for item in changes:
            if item.content is None:
                follower.pop(item.key, None)
            else:
                follower[item.key] = item.content
        return log.revision or 0


if __name__ == '__main__':
    unittest.main()
