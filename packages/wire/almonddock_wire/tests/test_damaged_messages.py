"""Tests of decoding damaged messages."""

import unittest

from almonddock_core.framing import MAX_FRAME_BYTES, BadFrameError
from almonddock_core.tests.mutations import run_module
from almonddock_wire._packing import unpack
from almonddock_wire.tests.damaged_messages import main


class DamagedMessagesTest(unittest.TestCase):
    def test_damaged_messages_do_not_end_the_process(self) -> None:
        """The packed decoder aborted on a message that was cut short."""
        for seed in range(3):
            with self.subTest(seed=seed):
                code, output = run_module(main.__module__, str(seed), '5000')
                self.assertEqual(code, 0, output)

    def test_short_message_does_not_unpack_without_a_bound(self) -> None:
        """Two bytes stand for up to 256 words of zeros."""
        with self.assertRaises(BadFrameError):
            unpack(b'\x00\xff' * (MAX_FRAME_BYTES // 2048 + 1))
