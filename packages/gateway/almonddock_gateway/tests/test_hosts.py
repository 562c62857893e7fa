"""Tests of what a host reads of the registrations of others."""

from datetime import timedelta
from typing import Any

import orjson

from almonddock_core.dispatch import BudgetLimits
from almonddock_core.model import ManualClock
from almonddock_gateway.controllers import HostController
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
