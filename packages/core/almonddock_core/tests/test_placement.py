import unittest
from collections import Counter
from dataclasses import replace

from almonddock_core.model import MemberState
from almonddock_core.owners import place_targets
from almonddock_core.tests.owner_cases import make_deployment, make_members


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = make_deployment(50)
        self.members = make_members(4)

    def test_prefers_the_data_centre_and_parts_replicas(self) -> None:
        owners = place_targets(self.deployment, self.members)
        sites = {one.host: one.data_centre for one in self.members}
        for name, target in self.deployment.targets.items():
            self.assertEqual(sites[owners[name]], target.data_centre)
        for holders in self.deployment.holders.values():
            self.assertEqual(len({owners[name] for name in holders}), 2)

    def test_parts_replicas_within_one_data_centre(self) -> None:
        members = make_members(2, sites=1)
        owners = place_targets(self.deployment, members)
        for holders in self.deployment.holders.values():
            self.assertEqual(len({owners[name] for name in holders}), 2)

    def test_moves_only_targets_of_the_host_that_leaves(self) -> None:
        members = make_members(12)
        before = place_targets(self.deployment, members)
        for state in (MemberState.LEAVING, MemberState.DEAD):
            left = [replace(members[0], state=state), *members[1:]]
            after = place_targets(self.deployment, left)
            moved = {name for name in after if after[name] != before[name]}
            lost = {
                name
                for name, owner in before.items()
                if owner == members[0].host
            }
            self.assertEqual(moved, lost)

    def test_without_hosts_nothing_is_owned(self) -> None:
        self.assertEqual(place_targets(self.deployment, []), {})

    def test_every_host_owns_some(self) -> None:
        shares = Counter(
            place_targets(self.deployment, self.members).values(),
        )
        self.assertEqual(len(shares), 4)


if __name__ == '__main__':
    unittest.main()
