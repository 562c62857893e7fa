"""Who is ended while the parts of a host hold more than its machine bears.

Bounds of single parts that knew no machine added up to more than its memory.
"""

import unittest
from datetime import timedelta

from almonddock_core.memory import (
    Candidate,
    HostMemory,
    PartLimits,
    ProcessSize,
    choose_candidate,
    estimate_process,
)
from almonddock_core.model import ManualClock

PROCESS = estimate_process(ProcessSize())
ROOM = 40_000_000

#: The memory of the machine besides the process, of which the parts get 0.8.
LEFT = 50_000_000
PART_BYTES = 30_000_000


class FakePart:
    """A part that holds some sizes, each silent for some seconds."""

    def __init__(self, *, is_last: bool = False) -> None:
        self.sizes: dict[int, float] = {}
        self.ended: list[int] = []
        self._is_last = is_last

    @property
    def held(self) -> int:
        """The sum of the sizes."""
        return sum(self.sizes)

    def find_candidate(self) -> Candidate | None:
        """Returns the first of its sizes."""
        return choose_candidate(
            Candidate(
                timedelta(seconds=silent_s), size, self._end, self._is_last
            )
            for size, silent_s in self.sizes.items()
        )

    def _end(self) -> None:
        chosen = max(
            self.sizes,
            key=lambda size: (max(1, self.sizes[size]), size),
        )
        del self.sizes[chosen]
        self.ended.append(chosen)


class HostMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = HostMemory(ManualClock(), PROCESS + LEFT)
        self.first = FakePart()
        self.second = FakePart()
        self.share = self.memory.register(
            self.first, PartLimits('first', PART_BYTES)
        )
        self.memory.register(self.second, PartLimits('second', PART_BYTES, 2))

    def test_parts_within_their_bounds_do_not_add_up(self) -> None:
        """The largest is ended, by the memory that it takes."""
        self.first.sizes = {19_000_000: 0, 1_000_000: 0}
        self.second.sizes = {10_000_000: 0, 500_000: 0}
        self.assertTrue(self.share.keep_bound())
        self.assertEqual(self.first.ended, [19_000_000])
        self.assertEqual(self.second.ended, [])
        self.assertEqual(self.memory.ended, 1)
        self.assertLessEqual(self.memory.taken, ROOM)

    def test_stalled_holders_are_ended_before_larger_ones(self) -> None:
        self.first.sizes = {28_000_000: 0}
        self.second.sizes = {6_000_000: 0, 4_000_000: 5}
        self.assertFalse(self.share.has_room(1))
        self.memory.keep_bound()
        self.assertEqual(self.second.ended, [4_000_000])
        self.assertEqual(self.first.ended, [])

    def test_part_keeps_a_share_for_others(self) -> None:
        """One part alone ends its own at half of what there is."""
        self.first.sizes = {15_000_000: 0, 6_000_000: 0}
        self.share.keep_bound()
        self.assertEqual(self.first.ended, [15_000_000])

    def test_store_is_ended_last(self) -> None:
        store = FakePart(is_last=True)
        store.sizes = {35_000_000: 9}
        self.memory.register(store, PartLimits('store', PART_BYTES))
        self.first.sizes = {6_000_000: 0}
        self.memory.keep_bound()
        self.assertEqual((self.first.ended, store.ended), ([6_000_000], []))

    def test_part_that_cannot_be_ended_is_reported(self) -> None:
        fixed = FakePart()
        fixed.sizes = {ROOM + 1: 0}
        fixed.find_candidate = lambda: None  # type: ignore[method-assign]
        self.memory.register(fixed, PartLimits('fixed', PART_BYTES))
        self.assertFalse(self.memory.keep_bound())

    def test_targets_and_connections_are_counted_in(self) -> None:
        before = self.memory.room
        size = ProcessSize(targets=1000, connections=500)
        self.memory.measure_process = lambda: size
        counted = estimate_process(size) - PROCESS
        self.assertEqual(before - self.memory.room, counted * ROOM // LEFT)

    def test_small_machine_lowers_the_bounds_of_parts(self) -> None:
        """They are what they were on a machine with room for them."""
        for machine_bytes, expected in (
            (300_000_000, PART_BYTES),
            (PROCESS + LEFT, ROOM // 2),
            (PROCESS, 2_000_000),
        ):
            with self.subTest(machine_bytes=machine_bytes):
                self.memory.machine_bytes = machine_bytes
                self.assertEqual(self.share.max_bytes, expected)


if __name__ == '__main__':
    unittest.main()
