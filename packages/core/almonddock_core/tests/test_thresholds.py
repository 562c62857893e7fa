"""Tests that thresholds leave out no record of the merged answer.

Traffic between data centres is expensive, so a host that merges replies omits
records that are not above the threshold: the least of the greatest records that
the asking host already has. Most records of a late shard are omitted.
"""

import random
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.dispatch import (
    RECORD_BYTES,
    ReplyKind,
    TargetReply,
    find_threshold,
    merge_records,
    merge_replies,
    trim_reply,
)

TOP = 3


def draw_body(generator: random.Random) -> bytes:
    """Returns up to 5 records out of 8 different ones, so some are equal."""
    count = generator.randrange(6)
    return b''.join(bytes([generator.randrange(8)]) * 16 for _ in range(count))


class _MergingHost:
    """A host that sends merged records above a threshold, in parts."""

    def __init__(self, threshold: bytes) -> None:
        self.threshold = threshold
        self.sent = b''

    def send(self, bodies: list[bytes]) -> bytes:
        threshold = max(self.threshold, find_threshold(self.sent, TOP))
        merged = merge_records(bodies, TOP, threshold)
        self.sent = merge_records((self.sent, merged), TOP)
        return merged


class RecordsTest(unittest.TestCase):
    def test_merge(self) -> None:
        one, two, three = (bytes([number]) * 16 for number in (1, 2, 3))
        for bodies, top, expected in (
            ((one + three, two), 2, three + two),
            ((one, one, two), 3, two + one + one),
            ((b''.join((one, b'rest')), two), 5, two + one),
            ((b'', one), 5, one),
            ((), 5, b''),
        ):
            with self.subTest(bodies=bodies, top=top):
                self.assertEqual(merge_records(bodies, top), expected)

    def test_merge_into_a_large_answer_takes_little_memory(self) -> None:
        """All records existed as objects, which take over four times theirs."""
        generator = random.Random(1)
        bodies = [generator.randbytes(0x80000) for _ in range(2)]
        tracemalloc.start()
        try:
            merged = merge_records(bodies, 0x100000)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        whole = b''.join(bodies)
        records = [
            whole[start : start + RECORD_BYTES]
            for start in range(0, len(whole), RECORD_BYTES)
        ]
        self.assertEqual(merged, b''.join(sorted(records, reverse=True)))
        self.assertLess(peak, 4 * len(whole))

    def test_merge_of_large_bodies_takes_little_memory(self) -> None:
        """A shard may send 16 MiB, and its records took five times that."""
        generator = random.Random(1)
        bodies = [generator.randbytes(0x100000) for _ in range(2)]
        tracemalloc.start()
        try:
            merged = merge_records(bodies, TOP)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, len(bodies[0]))
        records = [
            body[start : start + 16]
            for body in bodies
            for start in range(0, len(body), 16)
        ]
        self.assertEqual(merged, b''.join(sorted(records)[: -TOP - 1 : -1]))


def build_reply(
    body: bytes, kind: ReplyKind = ReplyKind.SUCCESS
) -> TargetReply:
    return TargetReply(kind, 200, (), body, b'stamp')


class TrimTest(unittest.TestCase):
    """Replies of shards are kept until the others have answered."""

    def test_trimmed_reply_keeps_its_greatest_records(self) -> None:
        generator = random.Random(2)
        bodies = [generator.randbytes(16 * 40 + 3) for _ in range(5)]
        whole = [build_reply(body) for body in bodies]
        trimmed = [trim_reply(reply, TOP) for reply in whole]
        self.assertEqual({len(reply.body) for reply in trimmed}, {16 * TOP})
        self.assertEqual(merge_replies(trimmed, TOP), merge_replies(whole, TOP))

    def test_other_replies_stay_as_they_are(self) -> None:
        for reply in (
            build_reply(b'r' * 99, ReplyKind.FAILED),
            build_reply(b'r' * 16 * TOP),
        ):
            self.assertIs(trim_reply(reply, TOP), reply)


class ThresholdTest(unittest.TestCase):
    def test_threshold_needs_enough_records(self) -> None:
        self.assertEqual(find_threshold(b'b' * 16 + b'a' * 16, 2), b'a' * 16)
        self.assertEqual(find_threshold(b'b' * 16, 2), b'')
        self.assertEqual(find_threshold(b'', 2), b'')

    def test_records_that_equal_the_threshold_are_left_out(self) -> None:
        body = b'a' * 16 + b'b' * 16 + b'c' * 16
        self.assertEqual(merge_records([body], 5, b'b' * 16), b'c' * 16)

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(seed=st.integers(0, 1_000_000))
    def test_answer_is_the_same_with_and_without_thresholds(
        self,
        seed: int,
    ) -> None:
        """Replies arrive unmerged, merged, or merged by a hedge's host."""
        generator = random.Random(seed)
        bodies = [draw_body(generator) for _ in range(9)]
        first = _MergingHost(b'')
        hedged: _MergingHost | None = None
        got: list[bytes] = []
        waiting = list(range(len(bodies)))
        generator.shuffle(waiting)
        while waiting:
            shards = [waiting.pop() for _ in range(min(2, len(waiting)))]
            arrived = [bodies[shard] for shard in shards]
            source = generator.choice(('direct', 'first', 'hedged'))
            if source == 'direct':
                got.extend(arrived)
                continue
            if source == 'hedged' and hedged is None:
                hedged = _MergingHost(
                    find_threshold(merge_records(got, TOP), TOP)
                )
            group = first if source == 'first' or hedged is None else hedged
            got.append(group.send(arrived))
        whole = merge_records(bodies, TOP)
        self.assertEqual(merge_records(got, TOP), whole)


if __name__ == '__main__':
    unittest.main()
