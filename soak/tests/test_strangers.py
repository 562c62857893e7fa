"""Strangers send what their kinds say."""

import random
import struct
import unittest
import zlib

from soak.strangers import (
    BODY_BYTES,
    FRAME_BYTES,
    ID_PREFIX,
    REQUESTS_IN_LINE,
    SENT_BYTES,
    WINDOW_BITS,
    draw_junk,
    encode_half_body,
    encode_half_frame,
    encode_long_requests,
)


class StrangerTest(unittest.TestCase):
    def test_bodies_end_before_the_length_that_was_announced(self) -> None:
        head, _, body = encode_half_body(1).partition(b'\r\n\r\n')
        self.assertIn(b'content-length: %d' % BODY_BYTES, head)
        self.assertEqual(len(body), SENT_BYTES)

    def test_long_answers_are_asked_for_with_ids_of_strangers(self) -> None:
        requests = encode_long_requests(1)
        self.assertEqual(requests.count(b'GET '), REQUESTS_IN_LINE)
        self.assertEqual(requests.count(ID_PREFIX.encode()), REQUESTS_IN_LINE)

    def test_frames_end_before_the_length_that_was_announced(self) -> None:
        sent = encode_half_frame()
        self.assertLess(len(sent), FRAME_BYTES // 100)
        frames = zlib.decompressobj(wbits=-WINDOW_BITS).decompress(sent)
        self.assertEqual(struct.unpack('>I', frames[:4]), (FRAME_BYTES,))
        self.assertEqual(len(frames), 4 + FRAME_BYTES - 1)

    def test_a_seed_determines_the_junk(self) -> None:
        drawn = [
            [draw_junk(rng) for _ in range(50)]
            for rng in (random.Random(1), random.Random(1), random.Random(2))
        ]
        self.assertEqual(drawn[0], drawn[1])
        self.assertNotEqual(drawn[0], drawn[2])


if __name__ == '__main__':
    unittest.main()
