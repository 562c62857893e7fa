import asyncio
import random
import unittest
from collections.abc import Callable

from almonddock_core.configuration import (
    HEAD_KEY,
    Published,
    PublishRequest,
    decode_root,
    publish,
)
from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    MembershipView,
)
from almonddock_core.tests.test_configuration_publish import make_request
from almonddock_daemon import MonotonicClock
from almonddock_daemon.adapters import StoreClient, StoreSettings, run_steps
from almonddock_daemon.controllers import ConfigurationController, PeerSender
from almonddock_daemon.links import LinkMesh
from almonddock_standins.store import StandInStore, StoreFaults
from almonddock_wire import Hello

OWN = Member(HostId('a'), DataCentreId('d'), '127.0.0.1:0', Incarnation(1))
PREFIX = '/test/'
TIMEOUT_S = 20


class ConfigurationControllerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = MonotonicClock()
        self.server = StandInStore()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.store = self.open_store()
        hello = Hello(OWN.host, OWN.data_centre, OWN.incarnation, OWN.address)
        self.deployments: list[Deployment] = []
        self.controller = ConfigurationController(
            OWN,
            self.open_store(),
            self.clock,
            random.Random(1),
            PeerSender(LinkMesh(hello, self.clock)),
            self.deployments.append,
        )
        self.controller.update_members(
            MembershipView(OWN.host, {OWN.host: OWN})
        )
        task = asyncio.create_task(self.controller.run())
        self.addCleanup(task.cancel)

    def open_store(self) -> StoreClient:
        settings = StoreSettings(
            (f'http://{self.server.address}',), PREFIX, calls_per_second=500
        )
        client = StoreClient(settings, self.clock, random.Random(1))
        self.addAsyncCleanup(client.close)
        return client

    async def publish(self, request: PublishRequest) -> None:
        published = await run_steps(self.store, publish(request))
        self.assertIsInstance(published, Published)

    async def wait(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def is_at(self, revision: int) -> Callable[[], bool]:
        return lambda: self.controller.view.revision == revision

    def read_stored(self) -> int:
        key = f'{PREFIX}{HEAD_KEY}'.encode()
        entry = self.server.key_values.read(key)[0]
        return decode_root(entry.stored).revision

    async def test_follows_the_store_through_an_outage(self) -> None:
        await self.publish(make_request('one', {}))
        await self.wait(self.is_at(1))
        self.server.switch_faults(StoreFaults(outage=True))
        await asyncio.sleep(0)
        self.server.switch_faults(StoreFaults())
        await self.publish(make_request('two', {1: 400}))
        await self.wait(self.is_at(2))
        self.assertEqual([one.revision for one in self.deployments], [1, 2])

    async def test_repairs_a_store_restored_from_an_old_copy(self) -> None:
        await self.publish(make_request('one', {}))
        self.server.save_copy()
        await self.publish(make_request('two', {1: 400}))
        await self.wait(self.is_at(2))
        self.server.restore_copy()
        self.assertEqual(self.read_stored(), 1)
        await self.wait(lambda: self.read_stored() == 2)
        self.assertEqual(self.controller.view.revision, 2)
        alarms = self.controller.report_status().alarms
        self.assertIn('store_older', alarms)
        await self.publish(make_request('three', {1: 500}))
        await self.wait(self.is_at(3))
