"""Tests of where hosts ask the targets of shards for each other."""

import unittest
from dataclasses import replace

from almonddock_core.routing import Service, build_routing_table
from almonddock_core.tests.dispatch_cases import LIMITS, SECOND, make_route
from almonddock_gateway.homes import (
    count_groups_with_homes,
    limit_connections,
)

SERVICE = Service('desk-0', 90, 0, SECOND, '/health')
SERVICES = [replace(SERVICE, name=f'desk-{number}') for number in range(90)]


class TestHomes(unittest.TestCase):
    """Targets have homes where they bear no connection of each host."""

    def test_groups(self) -> None:
        """Hosts ask targets themselves while each may be connected."""
        table = build_routing_table(1, LIMITS, SERVICES, [make_route(90)])
        self.assertEqual(count_groups_with_homes(table, 90), 0)
        self.assertEqual(count_groups_with_homes(table, 91), 10)
        self.assertEqual(count_groups_with_homes(None, 91), 0)

    def test_single_targets(self) -> None:
        """Requests to one target go there without a detour."""
        services = [replace(SERVICE, name='desk')]
        table = build_routing_table(1, LIMITS, services, [make_route()])
        self.assertEqual(count_groups_with_homes(table, 111), 0)

    def test_connections(self) -> None:
        """A home that asks for others needs more than one."""
        for hosts, is_home, expected in (
            (31, False, 2),
            (31, True, 2),
            (111, False, 1),
            (111, True, 7),
        ):
            with self.subTest(hosts=hosts, is_home=is_home):
                limit = limit_connections(SERVICE, hosts, is_home=is_home)
                self.assertEqual(limit, expected)


if __name__ == '__main__':
    unittest.main()
