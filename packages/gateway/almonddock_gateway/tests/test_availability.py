"""Tests of what replies say of a target's will to take requests."""

from datetime import timedelta
from unittest import mock

from almonddock_core.model import ManualClock
from almonddock_core.routing import KnownTarget, TargetTable
from almonddock_core.tests.dispatch_cases import make_entry
from almonddock_gateway.http import HttpReply
from almonddock_gateway.targets import build_observer
from almonddock_gateway.telemetry import Telemetry
from almonddock_gateway.tests.fakes import NAMES
from almonddock_gateway.tests.store_cases import StoreCase

SECOND = timedelta(seconds=1)


class ObserverTest(StoreCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.table = TargetTable()
        self.table.put(make_entry('t1'), self.clock.now())
        self.observe = build_observer(NAMES, self.clock, self.make_telemetry())

    @property
    def target(self) -> KnownTarget:
        return self.table.list_all()[0]

    def receive(self, status: int, **headers: str) -> None:
        encoded = [
            (name.replace('_', '-').encode(), content.encode())
            for name, content in headers.items()
        ]
        self.observe(self.target, HttpReply(status, encoded, b''))

    def is_usable(self) -> bool:
        return self.table.is_usable(self.target, self.clock.now())

    async def test_target_that_says_it_leaves_gets_no_more_requests(
        self,
    ) -> None:
        """Its entry may say so much later, or only be removed."""
        for status in (200, 500, 503):
            with self.subTest(status=status):
                self.setUp()
                self.receive(status)
                self.assertTrue(self.is_usable())
                self.receive(status, x_leaving='1')
                self.assertFalse(self.is_usable())
                self.table.put(make_entry('t1', started_ms=5), self.clock.now())
                self.assertTrue(self.is_usable())

    async def test_other_target_at_the_address_says_nothing(self) -> None:
        self.receive(421, x_leaving='1', retry_after='9')
        self.assertTrue(self.is_usable())

    async def test_target_rests_as_long_as_it_asks_for(self) -> None:
        for stated, rest in (('2', 2 * SECOND), ('0.25', 0.25 * SECOND)):
            with self.subTest(stated=stated):
                self.setUp()
                self.receive(503, retry_after=stated)
                self.receive(503, retry_after='0.1')
                self.clock.advance(rest - timedelta(milliseconds=1))
                self.assertFalse(self.is_usable())
                self.clock.advance(timedelta(milliseconds=2))
                self.assertTrue(self.is_usable())

    async def test_reply_without_a_rest_is_not_logged(self) -> None:
        """Each reply wrote a line, and lines of changes were left out."""
        with mock.patch.object(Telemetry, 'log_event') as log_event:
            for status in (200, 503):
                self.clock.advance(SECOND)
                self.receive(status)
            log_event.assert_not_called()
            self.receive(503, retry_after='2')
            log_event.assert_called_once()

    async def test_rest_that_cannot_be_read_is_none(self) -> None:
        for status, stated in (
            (503, 'soon'),
            (503, ''),
            (503, 'nan'),
            (503, '-1'),
            (503, '1e300'),
            (503, 'inf'),
            (200, '5'),
            (429, '5'),
        ):
            with self.subTest(status=status, stated=stated):
                self.setUp()
                self.receive(status, retry_after=stated)
                self.assertTrue(self.is_usable())
