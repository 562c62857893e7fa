"""What hosts make of roll-outs whose store came back from a copy."""

from dataclasses import replace
from datetime import timedelta

import orjson

from almonddock_core.model import ManualClock, join_revision
from almonddock_core.rollouts import (
    RolloutBounds,
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    RolloutState,
    RolloutTable,
)
from almonddock_core.routing import TargetTable
from almonddock_gateway.controllers import (
    HostController,
    RolloutController,
    RolloutDependencies,
)
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.tests.store_cases import ScriptedStore, StoreCase
from almonddock_gateway.tests.test_hosts import SETTINGS as HOST_SETTINGS

SERVICE = 'desk'
KEYS = replace(
    HOST_SETTINGS.keys,
    order_prefix='op/rollout/',
    record_prefix='rollouts/record/',
    state_prefix='rollouts/state/',
    claim='rollouts/claim',
)
SETTINGS = replace(
    HOST_SETTINGS,
    keys=KEYS,
    rollout=RolloutBounds(0.1, 50, timedelta(seconds=5)),
)

#: A record as a store of any era holds it.
STORED: dict[str, object] = {
    'service': SERVICE,
    'version': 'v2',
    'order_revision': 5,
    'answered_revision': 5,
    'duration_ms': 20_000,
    'state': 'rolled_back',
    'stage': 'trial',
    'stage_number': 1,
    'stage_began_ms': 0,
    'trial_rate': 1.0,
    'allowance': 50,
    'burst_ms': 0,
    'was_loaded': False,
    'old_versions': ['v1'],
    'barred_versions': [],
    'reason': 'failures on all routes',
}


def decode_order(service: str, content: bytes, revision: int) -> RolloutOrder:
    """Returns an order whose content is the version."""
    duration = timedelta(seconds=20)
    return RolloutOrder(service, content.decode(), duration, revision)


def encode_state(record: RolloutRecord) -> bytes:
    """Returns the state alone."""
    return record.state.value.encode()


class RestoredRolloutTest(StoreCase):
    async def asyncSetUp(self) -> None:
        clock = ManualClock()
        telemetry = self.make_telemetry()
        store = ScriptedStore()
        self.table = RolloutTable('here', 1)
        self.rollouts = RolloutController(
            RolloutDependencies(
                SETTINGS,
                store,
                self.table,
                TargetTable(),
                HostController(SETTINGS, store, clock, telemetry),
                clock,
                telemetry,
                decode_order,
                encode_state,
                clock.now,
            )
        )

    def show(self, era: int, record: dict[str, object]) -> None:
        """Shows the order, and its record, in an era of the store."""
        items = (
            StoreItem(
                f'{KEYS.order_prefix}{SERVICE}', b'v2', join_revision(era, 5)
            ),
            StoreItem(
                f'{KEYS.record_prefix}{SERVICE}',
                orjson.dumps(record),
                join_revision(era, 9),
            ),
        )
        view = StoreView(items, join_revision(era, 9))
        self.rollouts.apply_snapshot(view)

    async def test_rolled_back_version_is_not_ordered_by_a_restore(
        self,
    ) -> None:
        """The unchanged order counted as one that repeats the version."""
        for era in (0, 1, 2):
            with self.subTest(era=era):
                self.show(era, STORED)
                self.assertEqual(self.table.list_undecided(), [])
                rollout = self.table.find(SERVICE)
                assert rollout is not None
                self.assertIs(rollout.state, RolloutState.ROLLED_BACK)
                self.assertIs(rollout.stage, RolloutStage.TRIAL)
