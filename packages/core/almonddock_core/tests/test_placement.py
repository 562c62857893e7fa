"""Tests of which host owns each target; see `almonddock_core.owners`."""

import unittest
from collections import Counter
from dataclasses import replace

from almonddock_core.deployment import DataCentreEntry
from almonddock_core.model import DataCentreId, MemberState
from almonddock_core.owners import Placement, place_targets
from almonddock_core.tests.owner_cases import make_deployment, make_members


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = make_deployment(50)
        self.members = make_members(4)

    def test_prefers_the_data_centre_and_separates_replicas(self) -> None:
        owners = place_targets(self.deployment, self.members)
        places = {member.host: member.data_centre for member in self.members}
        for name, target in self.deployment.targets.items():
            self.assertEqual(places[owners[name]], target.data_centre)
        for targets in self.deployment.targets_by_shard.values():
            self.assertEqual(len({owners[name] for name in targets}), 2)

    def test_separates_replicas_within_one_data_centre(self) -> None:
        members = make_members(2, data_centres=1)
        owners = place_targets(self.deployment, members)
        for targets in self.deployment.targets_by_shard.values():
            self.assertEqual(len({owners[name] for name in targets}), 2)

    def test_moves_little_when_a_host_leaves(self) -> None:
        members = make_members(12)
        before = place_targets(self.deployment, members)
        shares = Counter(before.values())
        for index, member in enumerate(members):
            left = list(members)
            left[index] = replace(member, state=MemberState.LEAVING)
            after = place_targets(self.deployment, left)
            moved = sum(after[name] != before[name] for name in after)
            self.assertNotIn(member.host, after.values())
            self.assertLessEqual(moved, 2 * shares[member.host])

    def test_follows_changes_as_if_placed_anew(self) -> None:
        members = make_members(12)
        placement = Placement()
        for left in (members, members[1:], members[:4], members):
            self.assertEqual(
                placement.update(self.deployment, left),
                place_targets(self.deployment, left),
            )
        other = make_deployment(20)
        self.assertEqual(
            placement.update(other, members),
            place_targets(other, members),
        )

    def test_keeps_every_host_within_the_load_bound(self) -> None:
        members = make_members(12)
        shares = Counter(place_targets(self.deployment, members).values())
        per_centre = Counter(
            target.data_centre for target in self.deployment.targets.values()
        )
        for member in members:
            mean = per_centre[member.data_centre] / 4
            self.assertLessEqual(shares[member.host], 1.25 * mean + 1)

    def test_hosts_of_a_data_centre_that_is_out_own_nothing(self) -> None:
        centres = dict(self.deployment.data_centres)
        north = DataCentreId('north')
        centres[north] = DataCentreEntry('north', 'kyushu', 'out')
        out = replace(self.deployment, data_centres=centres)
        owners = place_targets(out, self.members)
        self.assertEqual(
            set(owners.values()),
            {
                member.host
                for member in self.members
                if member.data_centre != north
            },
        )

    def test_without_hosts_nothing_is_owned(self) -> None:
        self.assertEqual(place_targets(self.deployment, []), {})

    def test_every_host_owns_some(self) -> None:
        shares = Counter(
            place_targets(self.deployment, self.members).values(),
        )
        self.assertEqual(len(shares), 4)


if __name__ == '__main__':
    unittest.main()
