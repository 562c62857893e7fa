"""Tests of which hosts ask targets for the others of their data centre.

Load: 37 hosts of a data centre, and queries over 90 shards.
"""

import unittest
from collections import Counter

from almonddock_core.placement import (
    assign_groups,
    choose_homes,
    count_groups,
)

SHARDS = tuple(f'shard-{number}' for number in range(90))
HOSTS = tuple(f'host-{number}' for number in range(37))


class TestGroups(unittest.TestCase):
    """The shards of a query are divided evenly, and alike on all hosts."""

    def test_sizes(self) -> None:
        """An answer can go out without the shards of one home."""
        for shards, groups, largest in (
            (1, 1, 1),
            (9, 1, 9),
            (10, 2, 5),
            (90, 10, 9),
            (760, 16, 48),
        ):
            names = tuple(f'shard-{number}' for number in range(shards))
            sizes = Counter(assign_groups(names).values())
            self.assertEqual(groups, count_groups(shards))
            self.assertEqual(groups, len(sizes))
            self.assertEqual(largest, max(sizes.values()))

    def test_order(self) -> None:
        """Routes may name the same shards in any order."""
        self.assertEqual(
            assign_groups(SHARDS), assign_groups(tuple(reversed(SHARDS)))
        )


class TestHomes(unittest.TestCase):
    """Work is spread over hosts, and stays where it is."""

    def test_spread(self) -> None:
        """No host is the preferred home of two groups."""
        homes = choose_homes(10, HOSTS)
        self.assertEqual(10, len({preferred for preferred, _ in homes}))
        for first, second in homes:
            self.assertNotEqual(first, second)

    def test_few_hosts(self) -> None:
        """There are homes with fewer hosts than groups, and with one."""
        homes = choose_homes(10, HOSTS[:3])
        self.assertEqual(set(HOSTS[:3]), {first for first, _ in homes})
        self.assertEqual([HOSTS[:1]], choose_homes(1, HOSTS[:1]))
        self.assertEqual([(), ()], choose_homes(2, ()))

    def test_order(self) -> None:
        """Hosts that know the others in another order agree."""
        homes = choose_homes(10, reversed(HOSTS))
        self.assertEqual(choose_homes(10, HOSTS), homes)

    def test_lost_host(self) -> None:
        """Most groups keep their home when a host is gone."""
        before = choose_homes(10, HOSTS)
        for gone in HOSTS:
            left = [name for name in HOSTS if name != gone]
            after = choose_homes(10, left)
            moved = sum(
                old[0] != new[0] for old, new in zip(before, after, strict=True)
            )
            self.assertLessEqual(moved, 3)


if __name__ == '__main__':
    unittest.main()
