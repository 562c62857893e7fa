"""Tests of what a host reads of the registrations of others."""

from datetime import timedelta
from typing import Any

import orjson

from almonddock_core.dispatch import BudgetLimits
from almonddock_core.model import ManualClock, join_revision
from almonddock_gateway.controllers import HostController
from almonddock_gateway.controllers._registrations import REGISTRATION_TTL
from almonddock_gateway.settings import Address, GatewaySettings, StoreKeys
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.tests.fakes import NAMES
from almonddock_gateway.tests.store_cases import ScriptedStore, StoreCase

ADDRESS = Address('10.0.0.9', 80)
SETTINGS = GatewaySettings(
    host='here',
    data_centre='a',
    callers=ADDRESS,
    readiness=ADDRESS,
    links=ADDRESS,
    metrics=ADDRESS,
    metrics_path='/metrics',
    readiness_path='/ready',
    headers=NAMES,
    keys=StoreKeys('op/', 'op/config', 'op/drained/', 'targets/', 'hosts/'),
    budget=BudgetLimits(1, 1, timedelta(seconds=1)),
    max_propagation_time=timedelta(seconds=1),
    shutdown_time=timedelta(seconds=1),
)

VALID: dict[str, Any] = {
    'data_centre': 'a',
    'host': '10.0.0.1',
    'port': 7380,
}


#: The keys of another host.
OTHER_KEYS = ('hosts/other', 'grantors/other')


class HostControllerTest(StoreCase):
    async def test_odd_registration_leaves_the_others_in_use(self) -> None:
        """A field of another type ended the loop that follows the store."""
        for content in (
            b'[' * 100_000,
            b'[]',
            b'null',
            b'{}',
            orjson.dumps({**VALID, 'data_centre': ['a']}),
            orjson.dumps({**VALID, 'host': {}}),
            orjson.dumps({**VALID, 'host': 'elsewhere.example'}),
            orjson.dumps({**VALID, 'port': 70_000}),
            orjson.dumps({**VALID, 'port': '7380'}),
            orjson.dumps({**VALID, 'more': 1}),
            b'\xff',
        ):
            with self.subTest(content=content[:60]):
                hosts = HostController(
                    SETTINGS,
                    ScriptedStore(),
                    ManualClock(),
                    self.make_telemetry(),
                )
                items = (
                    StoreItem('hosts/odd', content, 1),
                    StoreItem('hosts/other', orjson.dumps(VALID), 2),
                )
                hosts.apply_snapshot(StoreView(items, 2))
                names = [peer.name for peer in hosts.peers]
                self.assertEqual(names, ['other'])


class RestoredStoreTest(StoreCase):
    """The store comes back from a copy that lacks another host."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.hosts = HostController(
            SETTINGS, ScriptedStore(), self.clock, self.make_telemetry()
        )
        self.show(0, *OTHER_KEYS)

    def show(self, era: int, *keys: str) -> None:
        """Shows a snapshot with keys of the other host."""
        revision = join_revision(era, 2)
        items = [StoreItem(key, orjson.dumps(VALID), revision) for key in keys]
        self.hosts.apply_snapshot(StoreView(items, revision))

    def check_known(self, *names: str) -> None:
        """Checks which other hosts are known."""
        self.assertEqual({peer.name for peer in self.hosts.peers}, set(names))
        quota_hosts = {place.name for place in self.hosts.quota_hosts}
        self.assertEqual(quota_hosts, set(names))

    async def test_host_that_the_copy_lacks_is_kept_until_it_registers(
        self,
    ) -> None:
        """Its part of each quota was given to the others meanwhile."""
        self.show(1)
        self.check_known('other')
        self.clock.advance(REGISTRATION_TTL / 2)
        self.show(1)
        self.check_known('other')
        self.show(1, *OTHER_KEYS)
        self.clock.advance(REGISTRATION_TTL)
        self.hosts.apply_changes(StoreView((), join_revision(1, 3)))
        self.check_known('other')
        self.show(1)
        self.check_known()

    async def test_host_that_does_not_register_again_is_dropped(self) -> None:
        self.show(1)
        self.clock.advance(REGISTRATION_TTL)
        self.hosts.apply_changes(StoreView((), join_revision(1, 3)))
        self.check_known()

    async def test_host_whose_removal_is_read_is_dropped_at_once(self) -> None:
        self.show(1)
        revision = join_revision(1, 3)
        removed = [StoreItem(key, None, revision) for key in OTHER_KEYS]
        self.hosts.apply_changes(StoreView(removed, revision))
        self.check_known()

    async def test_second_restore_does_not_end_the_wait(self) -> None:
        self.show(1)
        self.show(2)
        self.check_known('other')
