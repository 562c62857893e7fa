"""Tests of encoding and decoding link messages."""

import unittest
from dataclasses import replace
from datetime import timedelta

from almonddock_core.framing import BadFrameError
from almonddock_gateway.links import decode, encode
from almonddock_gateway.relays import (
    Leaving,
    PartFailure,
    Ping,
    Pong,
    RelayCancel,
    RelayReply,
    StoreOutcome,
    StoreQuery,
    StoreReply,
)
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.tests.relay_cases import (
    MS,
    make_query,
)


class CodecTest(unittest.TestCase):
    def test_every_message_round_trips(self) -> None:
        for message in (
            Ping(3),
            Pong(4),
            Leaving(),
            make_query('t1', 't2', threshold=b'x' * 16),
            RelayCancel(7, (1, 2)),
            RelayReply(
                7,
                (0, 2),
                (b's0', b's2'),
                (3 * MS, 4 * MS),
                b'records',
                ((1, PartFailure.REFUSED),),
                costs=(('t1', 1.5), ('t2', 12.0)),
            ),
            replace(make_query('t1'), typical_latency=25 * MS),
            StoreQuery(1, 'prefix/', None, timedelta()),
            StoreQuery(1, 'prefix/', 0, 3000 * MS, costs=(('t1', 3.0),)),
            StoreReply(
                1,
                StoreOutcome.ANSWERED,
                StoreView(
                    [StoreItem('a', b'x', 1), StoreItem('b', None, 2)],
                    9,
                    has_more=True,
                ),
                costs=(('t1', 3.0),),
            ),
        ):
            with self.subTest(message=message):
                self.assertEqual(decode(encode(message)), message)

    def test_malformed_frames_are_rejected(self) -> None:
        for encoded in (b'', b'rubbish', encode(make_query('t1'))[:9]):
            with self.subTest(encoded=encoded):
                with self.assertRaises(BadFrameError):
                    decode(encoded)


if __name__ == '__main__':
    unittest.main()
