"""Tests that log lines are bounded and written without blocking."""

import os
import unittest
from collections import Counter

import orjson

from almonddock_gateway.telemetry import LineBudget, LineWriter

#: More lines than a pipe holds.
MANY = 3000


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.reader = reader
        self.lines = LineWriter(writer, {'host': 'kyu-1'})

    def read_lines(self) -> list[dict[str, object]]:
        os.set_blocking(self.reader, False)
        received = b''
        while True:
            self.lines.flush()
            try:
                received += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
        return [orjson.loads(line) for line in received.splitlines()]

    def test_line_has_its_fields(self) -> None:
        self.lines.write(LineBudget.STATE, 'started', port=80)
        line = self.read_lines()[0]
        self.assertEqual(line['event'], 'started')
        self.assertEqual(line['host'], 'kyu-1')
        self.assertEqual(line['port'], 80)

    def test_fields_may_have_any_name(self) -> None:
        self.lines.write(LineBudget.STATE, 'reloaded', budget=1, self=2)
        line = self.read_lines()[0]
        self.assertEqual((line['budget'], line['self']), (1, 2))

    def test_stalled_reader_loses_lines_without_blocking(self) -> None:
        for number in range(MANY):
            self.lines.write(
                LineBudget.FAILURE,
                'request_finished',
                number=number,
                rest='x' * 2000,
            )
            self.lines.flush()
        lines = self.read_lines()
        self.assertGreater(len(lines), 0)
        self.assertLess(len(lines), MANY)

    def test_successful_answers_do_not_displace_failures(self) -> None:
        for budget in (LineBudget.ROUTINE, LineBudget.FAILURE):
            for _ in range(MANY):
                self.lines.write(budget, budget.name)
        events = Counter(line['event'] for line in self.read_lines())
        self.assertGreater(events['FAILURE'], events['ROUTINE'])

    def test_next_line_reports_dropped_lines(self) -> None:
        while self.lines.has_room(LineBudget.ROUTINE):
            self.lines.write(LineBudget.ROUTINE, 'request_finished')
        self.lines.count_dropped('request_finished')
        self.lines.write(LineBudget.STATE, 'stopping')
        self.assertEqual(
            self.read_lines()[-1]['dropped'],
            {'request_finished': 1},
        )


if __name__ == '__main__':
    unittest.main()
