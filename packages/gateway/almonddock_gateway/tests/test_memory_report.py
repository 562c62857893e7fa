"""What operators see of a host that is short of memory."""

import json
import os
import unittest

from almonddock_core.memory import HostMemory
from almonddock_core.model import ManualClock
from almonddock_gateway.http import ReplyMemory
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    MemoryReport,
    Telemetry,
)


class FakeHolder:
    """A connection that can be ended."""

    def abort(self) -> None:
        """Ends."""


class MemoryReportTest(unittest.TestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(reader, False)
        self.reader = reader
        clock = ManualClock()
        self.telemetry = Telemetry(
            LineWriter(writer, {}), GatewayMetrics(), clock
        )
        self.memory = HostMemory(clock, machine_bytes=0)
        self.replies = ReplyMemory(memory=self.memory)
        self.report = MemoryReport(self.memory, self.telemetry)

    def read_lines(self) -> list[dict[str, object]]:
        self.telemetry.flush()
        try:
            written = os.read(self.reader, 0x10000)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in written.splitlines()]

    def test_shortage_is_logged_once_with_what_is_held(self) -> None:
        self.replies.hold(FakeHolder(), 1_500_000)
        self.report.log_shortage()
        self.assertEqual(self.read_lines(), [])
        self.replies.hold(FakeHolder(), 1_000_000)
        self.report.log_shortage()
        self.report.log_shortage()
        lines = self.read_lines()
        self.assertEqual(len(lines), 1)
        line = lines[0]
        self.assertEqual(line['event'], 'memory_full')
        self.assertEqual(line['ended'], 1)
        self.assertEqual(line['held'], {'replies': 1_000_000})

    def test_metrics_show_each_part(self) -> None:
        self.replies.hold(FakeHolder(), 100)
        state = self.report.count_state()
        self.assertEqual(state['replies_bytes_held'], 100)
        self.assertEqual(state['memory_taken'], 100)
        self.assertEqual(state['memory_room'], self.memory.room)


if __name__ == '__main__':
    unittest.main()
