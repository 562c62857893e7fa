"""Counts and records of roll-outs between hosts and in the store."""

import unittest
from datetime import timedelta

from almonddock_core.model import join_revision
from almonddock_core.rollouts import (
    CountTable,
    Group,
    HostCounts,
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    RolloutState,
    Tally,
)
from almonddock_gateway.rollouts import (
    CountTeller,
    decode_record,
    encode_record,
)
from almonddock_gateway.tests.fakes import FakeLink

ROW = HostCounts(
    'front-1', 7, 'desk', 3, 2, 90, 4, {Group(True, 'one', 'a'): Tally(4, 1, 2)}
)

RECORD = RolloutRecord(
    service='desk',
    version='v2',
    order_revision=5,
    duration=timedelta(seconds=20),
    state=RolloutState.ROLLED_BACK,
    stage=RolloutStage.BURST,
    stage_number=2,
    stage_began=timedelta(seconds=8),
    trial_rate=1.5,
    allowance=60,
    burst_time=timedelta(seconds=2),
    was_loaded=True,
    old_versions=frozenset(('v0', 'v1')),
    barred_versions=frozenset(('v3',)),
    answered_revision=6,
    reason='failures on all routes',
)


class RolloutMessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.faults: list[str] = []
        self.here = CountTable()
        self.there = CountTable()
        self.teller = CountTeller(self.here, self.faults.append)
        self.other = CountTeller(self.there, self.faults.append)
        self.link = FakeLink()

    def test_row_passes_once_over_a_link(self) -> None:
        self.here.record(ROW)
        self.other.record(self.teller.list_new(self.link))
        self.assertEqual(self.there.list_all(), [ROW])
        self.assertEqual(self.teller.list_new(self.link), b'')
        self.assertNotEqual(self.teller.list_new(FakeLink()), b'')

    def test_malformed_counts_are_reported_and_dropped(self) -> None:
        for encoded in (
            b'{',
            b'7',
            b'[[1]]',
            b'[["a",1,"b",2,3,4,-1,[]]]',
            b'[["a",1,"b",2,3,4,5,[[1]]]]',
            b'[["a",1,"b",2,3,4,5,6]]',
            b'[["a",1,"b",2,3,4,[],[]]]',
            b'[["a",1,"b",2,3,4]]',
        ):
            with self.subTest(encoded=encoded):
                self.faults.clear()
                self.other.record(encoded)
                self.assertEqual(len(self.faults), 1)
        self.assertEqual(self.there.list_all(), [])

    def test_record_round_trips(self) -> None:
        self.assertEqual(decode_record(encode_record(RECORD), 9), RECORD)

    def test_rolled_back_version_stays_so_in_a_restored_store(self) -> None:
        """The unchanged order counted as one that repeats the version."""
        encoded = encode_record(RECORD)
        for era in (0, 1, 7):
            with self.subTest(era=era):
                record = decode_record(encoded, join_revision(era, 9))
                order = RolloutOrder(
                    RECORD.service,
                    RECORD.version,
                    RECORD.duration,
                    join_revision(era, RECORD.answered_revision),
                )
                self.assertTrue(record.answers(order))
                self.assertEqual(encode_record(record), encoded)


if __name__ == '__main__':
    unittest.main()
