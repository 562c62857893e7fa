"""Tests of the links that a host accepts."""

import asyncio
from dataclasses import replace
from unittest import mock

from almonddock_core.memory import HostMemory
from almonddock_core.model import ManualClock
from almonddock_core.routing import TargetTable
from almonddock_gateway import linking
from almonddock_gateway.controllers import HostController
from almonddock_gateway.relays import CountExchange, RelaySettings, StoreServer
from almonddock_gateway.relays._store_cache import StoreCache
from almonddock_gateway.settings import Address
from almonddock_gateway.tests.fakes import NAMES
from almonddock_gateway.tests.relay_cases import FakePools
from almonddock_gateway.tests.store_cases import ScriptedStore, StoreCase
from almonddock_gateway.tests.test_hosts import SETTINGS


class HostLinksTest(StoreCase):
    async def asyncSetUp(self) -> None:
        clock = ManualClock()
        store = ScriptedStore()
        telemetry = self.make_telemetry()
        self.links = linking.HostLinks(
            replace(SETTINGS, links=Address('127.0.0.1', 0)),
            RelaySettings(NAMES, TargetTable(), FakePools(), clock),
            linking.LinkServers(
                StoreServer(store, StoreCache('', bool), ManualClock()),
                CountExchange(),
            ),
            HostController(SETTINGS, store, clock, telemetry),
            telemetry,
            HostMemory(clock),
        )
        await self.links.open()
        assert self.links._server is not None
        self.address = self.links._server.sockets[0].getsockname()
        self.addCleanup(self.links.close)

    async def connect(self) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        return reader

    async def test_strangers_do_not_take_all_descriptors(self) -> None:
        """The port accepts connections from anyone."""
        with mock.patch.object(linking, 'MAX_ACCEPTED', 2):
            for _ in range(2):
                await self.connect()
            refused = await self.connect()
            self.assertEqual(await refused.read(), b'')
        self.assertEqual(len(self.links._accepted), 2)

    async def test_accepted_links_that_stay_silent_are_closed(self) -> None:
        """Hosts that lost power left their links open for good."""
        silent = await self.connect()
        await self.settle(lambda: bool(self.links._accepted))
        loop = asyncio.get_running_loop()
        read_time = loop.time
        running = asyncio.create_task(self.links.run())
        self.addCleanup(running.cancel)
        with mock.patch.object(loop, 'time', lambda: read_time() + 60):
            await self.settle(lambda: not self.links._accepted)
        self.assertEqual(await silent.read(), b'')
