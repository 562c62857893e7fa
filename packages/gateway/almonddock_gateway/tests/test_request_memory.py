"""Which requests are refused while all take too much memory."""

import unittest
from datetime import timedelta

from almonddock_core.memory import HostMemory, ProcessSize, estimate_process
from almonddock_core.model import ManualClock
from almonddock_gateway.http import ReplyMemory, RequestMemory

MAX_BYTES = 1000
MEBIBYTE = 0x100000
PROCESS_BYTES = estimate_process(ProcessSize())


class FakeHolder:
    """A connection that records whether it was refused."""

    def __init__(self, progress_at: timedelta, *, serving: bool) -> None:
        self.progress_at = progress_at
        self.serving = serving
        self.refused = False

    def refuse(self) -> None:
        """Records the refusal."""
        self.refused = True


class FakeReply:
    """A connection that records whether it was aborted."""

    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        """Records the end."""
        self.aborted = True


class RequestMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(timedelta(minutes=1))
        self.memory = RequestMemory(self.clock, MAX_BYTES)

    def hold(
        self, size: int, *, silent_s: float = 0, serving: bool = False
    ) -> FakeHolder:
        at = self.clock.now() - timedelta(seconds=silent_s)
        holder = FakeHolder(at, serving=serving)
        self.memory.hold(holder, size)
        return holder

    def test_stalled_requests_are_refused_first(self) -> None:
        """The longest stalled ones, also if others are larger."""
        large = self.hold(600)
        later = self.hold(100, silent_s=5)
        first = self.hold(100, silent_s=6)
        newest = self.hold(250)
        self.assertEqual(
            [one.refused for one in (large, later, first, newest)],
            [False, False, True, False],
        )
        self.assertEqual(self.memory.held, 950)

    def test_largest_request_is_refused_without_stalled_ones(self) -> None:
        large = self.hold(600, silent_s=0.5)
        small = self.hold(300)
        newest = self.hold(200)
        self.assertTrue(large.refused)
        self.assertFalse(small.refused or newest.refused)

    def test_request_that_grows_is_refused_when_all_are_served(self) -> None:
        served = self.hold(900, silent_s=9, serving=True)
        grown = self.hold(200, serving=True)
        self.assertTrue(grown.refused)
        self.assertFalse(served.refused)

    def test_released_requests_count_no_more(self) -> None:
        for _ in range(5):
            holder = self.hold(900)
            self.memory.update(holder, 0)
            self.assertFalse(holder.refused)
        self.assertEqual(self.memory.held, 0)

    def test_large_reply_is_ended_before_a_small_request(self) -> None:
        """Both have room of their own, and not together."""
        owner = HostMemory(self.clock, PROCESS_BYTES + 5 * MEBIBYTE)
        replies = ReplyMemory(memory=owner)
        answers = ReplyMemory(memory=owner)
        requests = RequestMemory(self.clock, memory=owner)
        largest, smaller = FakeReply(), FakeReply()
        replies.hold(largest, 2 * MEBIBYTE)
        answers.hold(smaller, MEBIBYTE)
        first = FakeHolder(self.clock.now(), serving=False)
        requests.hold(first, MEBIBYTE)
        self.assertFalse(largest.aborted)
        last = FakeHolder(self.clock.now(), serving=False)
        requests.hold(last, 1)
        self.assertTrue(largest.aborted)
        self.assertFalse(smaller.aborted)
        self.assertFalse(first.refused or last.refused)
        self.assertEqual(owner.ended, 1)


if __name__ == '__main__':
    unittest.main()
