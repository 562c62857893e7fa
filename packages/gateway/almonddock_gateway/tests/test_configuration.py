"""Tests of the configuration that a host takes from a restored store."""

import unittest
from unittest.mock import Mock

from almonddock_core.model import ManualClock, join_revision
from almonddock_core.routing import RoutingTable, build_routing_table
from almonddock_core.tests.dispatch_cases import (
    LIMITS,
    DispatchCase,
    make_route,
)
from almonddock_gateway.controllers import ConfigurationController
from almonddock_gateway.controllers._configuration import REPEAT_PERIOD
from almonddock_gateway.entry import EntryState
from almonddock_gateway.settings import StoreKeys
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.telemetry import Telemetry

KEYS = StoreKeys('op/', 'op/config', 'op/drained/', 'targets/', 'hosts/')


def decode(content: bytes) -> RoutingTable:
    """Returns a table with one route, from its version and prefix."""
    version, prefix = content.decode().split()
    return build_routing_table(
        int(version), LIMITS, (), [make_route(prefix=prefix)]
    )


def build_view(era: int, number: int, content: bytes | None) -> StoreView:
    """Returns a view with a configuration, or without one."""
    revision = join_revision(era, number)
    items = (
        []
        if content is None
        else [StoreItem(KEYS.configuration, content, revision)]
    )
    return StoreView(items, revision)


class ConfigurationCase(unittest.TestCase):
    def setUp(self) -> None:
        self.state = EntryState()
        self.clock = ManualClock()
        self.telemetry = Mock(spec=Telemetry)
        self.context = DispatchCase(make_route()).context
        self.controller = ConfigurationController(
            KEYS,
            decode,
            self.state,
            self.context,
            self.clock,
            self.telemetry,
        )
        self.read(1, 20, b'9 /a/')

    def read(self, era: int, number: int, content: bytes | None) -> StoreView:
        """Applies a snapshot, and returns it."""
        view = build_view(era, number, content)
        self.controller.apply_snapshot(view)
        return view

    def write(self, era: int, number: int, content: bytes) -> StoreView:
        """Applies a change, and returns it."""
        view = build_view(era, number, content)
        self.controller.apply_changes(view)
        return view

    def check_in_force(self, content: bytes) -> None:
        self.assertEqual(self.state.table, decode(content))


class RestoredConfigurationTest(ConfigurationCase):
    def test_lost_version_that_is_written_with_other_content_is_taken(
        self,
    ) -> None:
        """Hosts ran the lost one until the next version."""
        self.read(2, 10, b'8 /old/')
        self.write(2, 20, b'9 /b/')
        self.check_in_force(b'9 /b/')

    def test_hosts_that_knew_the_lost_version_agree_with_others(self) -> None:
        """A version that was seen in an era has no other content in it."""
        self.read(2, 10, b'9 /a/')
        self.write(2, 11, b'9 /b/')
        self.check_in_force(b'9 /a/')

    def test_lower_version_of_the_copy_is_not_taken(self) -> None:
        self.read(2, 10, b'8 /old/')
        self.check_in_force(b'9 /a/')
        self.write(2, 11, b'10 /c/')
        self.check_in_force(b'10 /c/')

    def test_version_that_is_written_again_is_not_put_away(self) -> None:
        """Each read of what is in force was logged as put away."""
        self.telemetry.log_event.reset_mock()
        for number in (10, 11):
            self.read(2, number, b'9 /a/')
        self.telemetry.log_event.assert_not_called()


class RestoredDrainTest(ConfigurationCase):
    def test_next_copy_does_not_keep_data_centres_drained_for_longer(
        self,
    ) -> None:
        """Copies in a row kept them drained for ever."""
        revision = join_revision(1, 21)
        item = StoreItem(f'{KEYS.drained_prefix}a', b'{}', revision)
        self.controller.apply_changes(StoreView([item], revision))
        for era in (2, 3):
            self.read(era, 10, None)
            self.assertEqual(self.drained, {'a'})
            self.clock.advance(REPEAT_PERIOD * 2 / 3)
        self.controller.apply_changes(build_view(3, 11, None))
        self.assertEqual(self.drained, frozenset())

    @property
    def drained(self) -> frozenset[str]:
        """The data centres that get no requests."""
        return self.context.targets.drained


class ProofTest(ConfigurationCase):
    """Which reads show that no key in force was withdrawn."""

    def test_copy_without_the_version_in_force_proves_nothing(self) -> None:
        """Withdrawn keys were let in by versions that the store had lost."""
        for content in (b'8 /old/', None):
            with self.subTest(content=content):
                view = self.read(2, 10, content)
                self.assertFalse(self.controller.is_newest(view))
                changes = build_view(2, 11, None)
                self.controller.apply_changes(changes)
                self.assertFalse(self.controller.is_newest(changes))

    def test_version_that_is_written_again_is_a_proof(self) -> None:
        for number, content in enumerate((b'9 /a/', b'9 /b/', b'10 /c/'), 2):
            with self.subTest(content=content):
                self.read(number, 10, b'8 /old/')
                view = self.write(number, 11, content)
                self.assertTrue(self.controller.is_newest(view))

    def test_versions_that_are_written_again_in_another_order_are_a_proof(
        self,
    ) -> None:
        """Hosts refused all callers until the next version."""
        self.read(2, 10, b'8 /old/')
        self.write(2, 11, b'9 /a/')
        view = self.write(2, 12, b'8 /old/')
        self.assertTrue(self.controller.is_newest(view))

    def test_lower_version_is_a_proof_once_it_is_not_replaced(self) -> None:
        """Hosts that saw only the last of those refused callers for ever."""
        self.read(2, 10, b'8 /old/')
        self.clock.advance(REPEAT_PERIOD)
        view = build_view(2, 11, None)
        self.controller.apply_changes(view)
        self.assertTrue(self.controller.is_newest(view))
        self.check_in_force(b'9 /a/')

    def test_next_copy_proves_nothing_again(self) -> None:
        self.read(2, 10, b'9 /a/')
        view = self.read(3, 10, b'8 /old/')
        self.assertFalse(self.controller.is_newest(view))


if __name__ == '__main__':
    unittest.main()
