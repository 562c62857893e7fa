"""Tests of what a host leaves in the store for its next process."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

import orjson

from almonddock_core.model import (
    ManualClock,
    get_era,
    join_revision,
    split_revision,
)
from almonddock_core.quotas import QuotaSettings
from almonddock_gateway.controllers import (
    HostController,
    QuotaController,
    QuotaDependencies,
)
from almonddock_gateway.store import (
    LeaseEndedError,
    StoreItem,
    StoreView,
)
from almonddock_gateway.tests.store_cases import StoreCase
from almonddock_gateway.tests.test_hosts import SETTINGS

SECOND = timedelta(seconds=1)
WINDOW = 5 * SECOND
QUOTA_SETTINGS = replace(SETTINGS, quota=QuotaSettings(WINDOW))

#: The seconds that a process runs in which it learns that it grants, or in
#: which it learns nothing but what an earlier one has registered.
CALM = 30
SHORT = 1

#: How a process ends, and the seconds that it has run before.
Ending = tuple[str, int]


@dataclass(slots=True)
class LeasedStore:
    """A store with leases, by a clock of its own."""

    clock: ManualClock
    items: dict[str, tuple[StoreItem, int]] = field(default_factory=dict)
    #: When each lease ends.
    leases: dict[int, timedelta] = field(default_factory=dict)
    revision: int = 1

    def restore(self) -> None:
        """Begins a new era with the same content."""
        era = get_era(self.revision) + 1

        def place(revision: int) -> int:
            return join_revision(era, split_revision(revision)[1])

        self.revision = place(self.revision)
        self.items = {
            key: (replace(item, revision=place(item.revision)), lease)
            for key, (item, lease) in self.items.items()
        }

    def show(self) -> StoreView:
        """Returns what the store holds now."""
        now = self.clock.now()
        kept = [
            item
            for item, lease in self.items.values()
            if self.leases[lease] > now
        ]
        return StoreView(kept, self.revision)

    async def read_prefix(self, prefix: str) -> StoreView:
        """Returns the items under a prefix."""
        view = self.show()
        found = [item for item in view.items if item.key.startswith(prefix)]
        return replace(view, items=found)

    async def read_prefix_stale(self, prefix: str) -> StoreView:
        """Returns the items under a prefix."""
        return await self.read_prefix(prefix)

    async def watch(
        self, prefix: str, after: int, wait: timedelta
    ) -> StoreView:
        """Not called in these tests."""
        raise NotImplementedError

    async def grant_lease(self, time_to_live: timedelta) -> int:
        """Returns a lease."""
        lease = len(self.leases) + 1
        self.leases[lease] = self.clock.now() + time_to_live
        return lease

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease that has not ended."""
        now = self.clock.now()
        if self.leases[lease] <= now:
            raise LeaseEndedError(f'lease {lease} has ended')
        self.leases[lease] = now + 15 * SECOND

    async def put(
        self,
        key: str,
        content: bytes,
        lease: int,
        expected: int | None = None,
    ) -> int:
        """Writes a key."""
        self.revision += 1
        item = StoreItem(key, content, self.revision)
        self.items[key] = (item, lease)
        return self.revision

    async def remove(self, key: str, expected: int) -> None:
        """Removes a key if it has the expected revision."""
        found = self.items.get(key)
        if found is not None and found[0].revision == expected:
            self.revision += 1
            del self.items[key]

    async def put_if(
        self, expected: Mapping[str, int], contents: Mapping[str, bytes]
    ) -> int | None:
        """Not called in these tests."""
        raise NotImplementedError


class QuotaRegistrationTest(StoreCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = LeasedStore(self.clock)

    def start(self, *, is_first: bool = False) -> None:
        """Starts a process of the only host."""
        settings = replace(QUOTA_SETTINGS, is_first_start=is_first)
        telemetry = self.make_telemetry()
        self.hosts = HostController(settings, self.store, self.clock, telemetry)
        self.quotas = QuotaController(
            QuotaDependencies(
                settings=settings,
                hosts=self.hosts,
                get_table=lambda: None,
                get_links=lambda: None,
                get_news=self.clock.now,
                clock=self.clock,
                telemetry=telemetry,
            ),
            QuotaSettings(WINDOW),
        )

    async def live(self, seconds: int) -> None:
        """Runs the process; it reads the store after it has registered."""
        for _ in range(seconds):
            await self.hosts.register()
            self.hosts.apply_snapshot(self.store.show())
            self.quotas.update()
            self.clock.advance(SECOND)

    async def end(self, ending: str) -> None:
        """Ends the process; the next one starts a second later."""
        if ending == 'stop':
            await self.hosts.deregister()
        self.clock.advance(SECOND)

    def may_grant(self) -> bool:
        """Whether the process grants credits from its part."""
        return self.quotas._quotas.hosts.may_grant(self.clock.now())

    async def test_no_order_of_stops_and_losses_ends_a_grant(self) -> None:
        """A host forgot that it granted, and refused callers for 23 s."""
        cases: tuple[tuple[Ending, ...], ...] = (
            (('kill', CALM),),
            (('stop', CALM),),
            (('stop', CALM), ('kill', SHORT)),
            (('stop', CALM), ('kill', 0)),
            (('kill', CALM), ('kill', SHORT)),
            (('kill', CALM), ('stop', SHORT)),
            (('stop', CALM), ('stop', SHORT), ('kill', SHORT)),
            (('kill', CALM), ('kill', SHORT), ('kill', SHORT)),
        )
        for endings in cases:
            with self.subTest(endings=endings):
                self.setUp()
                self.start(is_first=True)
                for ending, lived in endings:
                    await self.live(lived)
                    await self.end(ending)
                    self.start()
                await self.live(SHORT)
                self.assertFalse(self.may_grant())
                await self.live(WINDOW // SECOND)
                self.assertTrue(self.may_grant())

    async def test_a_start_part_is_used_before_hosts_are_known(self) -> None:
        """After a loss of all hosts callers were refused a second longer."""
        self.start(is_first=True)
        await self.live(CALM)
        await self.end('kill')
        self.start()
        await self.hosts.register()
        self.assertTrue(self.quotas._quotas.hosts.first_window.has_part)
        item, _ = self.store.items['grantors/here']
        told = {'data_centre': 'a', 'grants': True, 'starting': True}
        self.assertEqual(orjson.loads(item.content or b''), told)

    async def test_a_host_that_was_gone_for_long_waits(self) -> None:
        """Another host may have got its part when its registration expired."""
        self.start(is_first=True)
        await self.live(CALM)
        await self.end('stop')
        self.clock.advance(15 * SECOND)
        self.start()
        await self.live(20)
        self.assertFalse(self.may_grant())

    async def test_a_stop_removes_the_address_of_its_own_process(self) -> None:
        """A removal that came late took away that of the next process."""
        self.start()
        await self.live(SHORT)
        earlier = self.hosts
        self.start()
        await self.live(SHORT)
        await earlier.deregister()
        self.assertIn('hosts/here', self.store.items)
        await self.hosts.deregister()
        self.assertNotIn('hosts/here', self.store.items)

    async def test_a_registration_that_the_store_has_lost_is_renewed(
        self,
    ) -> None:
        """A late write of an earlier process took it away for good."""
        # What is told of quotas is written again after two windows.
        for prefix, lived in (('hosts/', SHORT), ('grantors/', 12)):
            with self.subTest(prefix=prefix):
                self.setUp()
                self.start(is_first=True)
                await self.live(26)
                earlier = self.hosts._lease or 0
                content = self.store.items[f'{prefix}here'][0].content or b''
                await self.end('stop')
                self.start()
                await self.live(lived)
                await self.store.put(f'{prefix}here', content, earlier)
                await self.live(CALM)
                self.assertTrue(self.may_grant())
                self.assertEqual(self.hosts._lease, 3)
                view = await self.store.read_prefix(f'{prefix}here')
                self.assertEqual(len(view.items), 1)

    async def test_a_grant_is_told_of_within_a_second(self) -> None:
        """A host that was killed before the next renewal forgot it."""
        self.start()
        while not self.may_grant():
            await self.live(SHORT)
        await self.live(SHORT)
        await self.end('kill')
        self.start()
        await self.live(SHORT)
        self.assertTrue(self.quotas._quotas.hosts.is_grantor(self.clock.now()))

    async def test_a_host_registers_again_soon_after_a_restore(self) -> None:
        """It did so with its next renewal, up to five seconds later."""
        self.start(is_first=True)
        await self.live(CALM)
        for era in (1, 2):
            with self.subTest(era=era):
                before = self.hosts._lease
                self.store.restore()
                await self.live(2)
                self.assertNotEqual(self.hosts._lease, before)
                for key in ('hosts/here', 'grantors/here'):
                    item, lease = self.store.items[key]
                    self.assertEqual(lease, self.hosts._lease)
                    self.assertEqual(get_era(item.revision), era)
                registered = self.hosts._lease
                await self.live(SHORT)
                self.assertEqual(self.hosts._lease, registered)

    async def test_a_host_that_was_restored_removes_its_address(self) -> None:
        self.start(is_first=True)
        await self.live(CALM)
        self.store.restore()
        await self.live(2)
        await self.hosts.deregister()
        self.assertNotIn('hosts/here', self.store.items)
