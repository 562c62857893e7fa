"""Tests of how a host registers for quotas and lets requests in."""

import unittest
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import orjson

from almonddock_core.model import ManualClock
from almonddock_core.quotas import CreditSource, HostPlace, LetIn, TurnAway
from almonddock_core.routing import Caller, Organisation, Quota, Rejected
from almonddock_core.tests.dispatch_cases import make_route
from almonddock_gateway.controllers import HostController
from almonddock_gateway.controllers._hosts import GrantorRegistration
from almonddock_gateway.entry._quota_gate import (
    GatedSteps,
    GiveBack,
    QuotaGate,
)
from almonddock_gateway.http import Exchange
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.tests.store_cases import ScriptedStore, StoreCase
from almonddock_gateway.tests.test_hosts import SETTINGS

SECOND = timedelta(seconds=1)
LIMITED = Organisation('north', quota=Quota(1, 1))
GRANTING = orjson.dumps({'data_centre': 'a', 'grants': True, 'later': 1})


def encode_grantor(*, is_starting: bool) -> bytes:
    return orjson.dumps(
        {'data_centre': 'a', 'grants': True, 'starting': is_starting}
    )


class RegisteringStore(ScriptedStore):
    """Records what is registered."""

    def __init__(self, *steps: StoreView) -> None:
        super().__init__(*steps)
        self.content: dict[str, bytes] = {}
        #: The revisions that were expected where quotas are registered.
        self.expected: list[int | None] = []

    async def grant_lease(self, time_to_live: timedelta) -> int:
        """Returns a lease."""
        return 1

    async def renew_lease(self, lease: int) -> None:
        """Renews it."""

    async def put(
        self,
        key: str,
        content: bytes,
        lease: int,
        expected: int | None = None,
    ) -> int:
        """Records a key."""
        self.content[key] = content
        if key.startswith('grantors/'):
            self.expected.append(expected)
        return len(self.content)


def note_start(
    store: RegisteringStore,
    noted: list[tuple[bool, bool]],
    is_usable: bool,
) -> None:
    """Records a call, and whether the next process would know of it."""
    noted.append((is_usable, 'grantors/here' in store.content))


class RegistrationTest(StoreCase):
    def make_hosts(self, store: ScriptedStore) -> HostController:
        clock = ManualClock()
        return HostController(SETTINGS, store, clock, self.make_telemetry())

    async def test_a_restarted_host_learns_that_it_granted(self) -> None:
        own = StoreItem('grantors/here', GRANTING, 3)
        longer = StoreItem('grantors/here-2', GRANTING, 4)
        for items, expected in (((own,), 1), ((longer,), 0), ((), 0)):
            store = RegisteringStore(StoreView(items, 5))
            hosts = self.make_hosts(store)
            noted: list[bool] = []
            hosts.grantor = GrantorRegistration(
                knows_hosts=lambda: True,
                is_grantor=lambda: True,
                is_starting=lambda: True,
                note_earlier_grants=partial(noted.append, True),
                note_start_part=lambda is_usable: None,
            )
            await hosts.register()
            self.assertEqual(len(noted), expected)
            found = orjson.loads(store.content['grantors/here'])
            expected_content = {
                'data_centre': 'a',
                'grants': True,
                'starting': True,
            }
            self.assertEqual(found, expected_content)
            await hosts.register()
            self.assertEqual(store.calls, ['read'])

    async def test_a_start_part_is_used_by_one_process_in_a_window(
        self,
    ) -> None:
        """An earlier release does not tell, so it may have granted more."""
        cases = (
            (encode_grantor(is_starting=False), [(True, True)]),
            (encode_grantor(is_starting=True), [(False, False)]),
            (GRANTING, [(False, False)]),
        )
        for content, expected in cases:
            own = StoreItem('grantors/here', content, 3)
            store = RegisteringStore(StoreView((own,), 5))
            hosts = self.make_hosts(store)
            noted: list[tuple[bool, bool]] = []
            hosts.grantor = GrantorRegistration(
                knows_hosts=lambda: True,
                is_grantor=lambda: True,
                is_starting=lambda: True,
                note_earlier_grants=lambda: None,
                note_start_part=partial(note_start, store, noted),
            )
            await hosts.register()
            await hosts.register()
            self.assertEqual(noted, expected)

    async def test_a_late_write_replaces_no_later_registration(self) -> None:
        """It would tell the next process that this one has not started."""
        own = StoreItem('grantors/here', encode_grantor(is_starting=True), 7)
        store = RegisteringStore(StoreView((), 5), StoreView((own,), 8))
        hosts = self.make_hosts(store)
        starting = [True]
        hosts.grantor = GrantorRegistration(
            knows_hosts=lambda: True,
            is_grantor=lambda: True,
            is_starting=lambda: starting[0],
            note_earlier_grants=self.fail,
            note_start_part=lambda is_usable: None,
        )
        await hosts.register()
        starting[0] = False
        await hosts.register()
        self.assertEqual(store.expected, [None, 7])

    async def test_without_quotas_nothing_more_is_registered(self) -> None:
        store = RegisteringStore()
        await self.make_hosts(store).register()
        self.assertEqual(set(store.content), {'hosts/here'})
        self.assertEqual(store.calls, [])

    async def test_odd_registration_leaves_the_others_in_use(self) -> None:
        hosts = self.make_hosts(ScriptedStore())
        for content in (b'[' * 100_000, b'null', b'[]', b'{}', b'\xff'):
            items = (
                StoreItem('grantors/odd', content, 1),
                StoreItem('grantors/other', GRANTING, 2),
            )
            hosts.apply_snapshot(StoreView(items, 2))
            self.assertEqual(hosts.quota_hosts, (HostPlace('other', 'a'),))


class FakeQuotas:
    """Records requests, which a test decides on."""

    def __init__(self) -> None:
        self.decisions: list[Callable[[LetIn | TurnAway], None]] = []
        self.events: list[str] = []

    def admit(
        self,
        organisation: Organisation,
        decide: Callable[[LetIn | TurnAway], None],
    ) -> int:
        """Keeps a request waiting."""
        self.decisions.append(decide)
        return len(self.decisions)

    def cancel(self, organisation: Organisation, ticket: int) -> None:
        """Records that a caller left."""
        self.events.append('cancelled')

    def keep_for_return(
        self, organisation: Organisation, source: CreditSource
    ) -> GiveBack:
        """Returns what records a credit that was not used."""
        return partial(self.events.append, f'given back {source.value}')

    def count_refused(self, organisation: Organisation) -> None:
        """Records a refusal."""
        self.events.append('refused')


class FakeExchange:
    """A request that runs."""

    def __init__(self, events: list[str]) -> None:
        self._events = events

    def abandon(self) -> None:
        """Records that its caller left."""
        self._events.append('abandoned')


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quotas = FakeQuotas()
        self.gate = QuotaGate(self.quotas)
        self.rejected: list[Rejected] = []
        self.credits: list[GiveBack] = []

    def pass_request(self, organisation: Organisation) -> Exchange | None:
        def start(give_back: GiveBack) -> Exchange:
            self.credits.append(give_back)
            return FakeExchange(self.quotas.events)

        steps = GatedSteps(
            start,
            self.rejected.append,
            lambda: self.quotas.events.append('turned away'),
            self.fail,
        )
        caller = Caller(make_route(), organisation)
        return self.gate.pass_request(caller, steps)

    def test_a_waiting_request_starts_when_it_is_let_in(self) -> None:
        waiting = self.pass_request(LIMITED)
        assert waiting is not None
        self.assertEqual((self.gate.waiting, self.credits), (1, []))
        self.quotas.decisions[0](LetIn(1, CreditSource.OWN))
        self.assertEqual((self.gate.waiting, len(self.credits)), (0, 1))
        self.credits[0]()
        waiting.abandon()
        self.assertEqual(self.quotas.events, ['given back own', 'abandoned'])

    def test_a_caller_that_leaves_is_not_served_later(self) -> None:
        waiting = self.pass_request(LIMITED)
        assert waiting is not None
        waiting.abandon()
        self.quotas.decisions[0](LetIn(1, CreditSource.OWN))
        self.assertEqual((self.gate.waiting, self.credits), (0, []))
        self.assertEqual(self.quotas.events, ['cancelled'])

    def test_a_request_over_the_quota_is_refused_once(self) -> None:
        self.pass_request(LIMITED)
        self.quotas.decisions[0](TurnAway(1, SECOND))
        self.gate.give_up()
        self.assertEqual([one.retry_after for one in self.rejected], [SECOND])
        self.assertEqual(self.quotas.events, ['refused'])

    def test_the_end_of_the_process_turns_away_what_waits(self) -> None:
        """Requests within the quota were answered, and counted, as over it."""
        self.pass_request(LIMITED)
        self.gate.give_up()
        self.assertEqual((self.gate.waiting, self.rejected), (0, []))
        self.assertEqual(self.quotas.events, ['cancelled', 'turned away'])

    def test_an_organisation_without_a_quota_waits_for_nothing(self) -> None:
        started = self.pass_request(Organisation('south'))
        self.assertIsInstance(started, FakeExchange)
        self.assertEqual(self.quotas.decisions, [])


if __name__ == '__main__':
    unittest.main()
