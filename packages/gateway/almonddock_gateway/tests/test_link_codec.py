"""Tests of encoding and decoding link messages."""

import unittest

from almonddock_core.framing import BadFrameError
from almonddock_core.tests.mutations import run_module
from almonddock_gateway.links import decode, encode
from almonddock_gateway.links._columns import MAX_ENTRIES
from almonddock_gateway.relays import Ping, RelayCancel, UnknownMessage
from almonddock_gateway.tests.link_messages import MESSAGES, PACKED, main
from almonddock_gateway.tests.relay_cases import make_query

#: The number of no kind of message.
MAX_KIND = 0xFF


class CodecTest(unittest.TestCase):
    def test_every_message_round_trips(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                self.assertEqual(decode(encode(message)), message)

    def test_messages_of_a_later_release_are_no_fault(self) -> None:
        """A host that asks for more than others know loses no link."""
        whole = encode(Ping(1))
        # The kind of a message follows the header and the number of a ping.
        later = bytearray(whole)
        later[24] = MAX_KIND
        self.assertEqual(decode(bytes(later)), UnknownMessage())

    def test_malformed_frames_are_rejected(self) -> None:
        for encoded in (b'', b'rubbish', encode(make_query('t1'))[:9]):
            with self.subTest(encoded=encoded):
                with self.assertRaises(BadFrameError):
                    decode(encoded)

    def test_damaged_frames_do_not_end_the_process(self) -> None:
        """The packed decoder aborted on a message that was cut short."""
        for seed in range(3):
            with self.subTest(seed=seed):
                code, output = run_module(main.__module__, str(seed), '20000')
                self.assertEqual(code, 0, output)

    def test_packed_frames_are_rejected(self) -> None:
        """Hosts of an earlier version send them during a rolling restart."""
        for encoded in PACKED:
            with self.subTest(encoded=encoded):
                with self.assertRaises(BadFrameError):
                    decode(encoded)

    def test_long_lists_are_rejected(self) -> None:
        """A query to a million targets held up all other requests."""
        for message in (
            make_query(*map(str, range(MAX_ENTRIES + 1))),
            RelayCancel(1, (1,) * (MAX_ENTRIES + 1)),
        ):
            with self.subTest(message=type(message)):
                with self.assertRaises(BadFrameError):
                    decode(encode(message))

    def test_fields_that_share_their_bytes_are_rejected(self) -> None:
        """Many pointers to the same bytes made a short frame a long message."""
        query = make_query('t1')
        encoded = encode(query)
        start = encoded.index(bytes.fromhex('11000000 82000000'))
        shared = bytes.fromhex('11000000 82000000 0d000000 82000000')
        twice = encoded[:start] + shared + encoded[start + len(shared) :]
        self.assertEqual(len(twice), len(encoded))
        with self.assertRaises(BadFrameError):
            decode(twice)


if __name__ == '__main__':
    unittest.main()
