"""Tests that the log tells what a host waits for before it is ready."""

import os
import unittest
from datetime import timedelta

from almonddock_core.model import ManualClock
from almonddock_gateway.readiness import REPEAT_INTERVAL, Readiness
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    Telemetry,
)


class ReadinessTest(unittest.TestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(reader, False)
        self.reader = reader
        self.clock = ManualClock()
        self.telemetry = Telemetry(
            LineWriter(writer, {}), GatewayMetrics(), self.clock
        )
        self.met = {'configuration': False, 'targets': True}
        self.readiness = Readiness(
            {
                'configuration': lambda: self.met['configuration'],
                'targets': lambda: self.met['targets'],
            },
            lambda: 'no answer' * 1000,
            self.clock,
            self.telemetry,
        )

    def read_log(self) -> str:
        self.readiness.log_change()
        self.telemetry.flush()
        try:
            return os.read(self.reader, 0x10000).decode()
        except BlockingIOError:
            return ''

    def test_log_names_what_a_starting_host_waits_for(self) -> None:
        log = self.read_log()
        self.assertIn('"waits_for":["configuration"]', log)
        self.assertIn('no answer', log)
        self.assertLess(len(log), 1000)

    def test_line_is_repeated_while_the_host_is_not_ready(self) -> None:
        self.read_log()
        self.assertEqual(self.read_log(), '')
        self.clock.advance(REPEAT_INTERVAL)
        self.assertIn('not_ready', self.read_log())

    def test_log_tells_how_long_the_start_took(self) -> None:
        self.read_log()
        self.clock.advance(timedelta(seconds=2))
        self.met['configuration'] = True
        self.assertTrue(self.readiness.is_ready)
        self.assertIn('"since_start_s":2.0', self.read_log())
        self.clock.advance(REPEAT_INTERVAL)
        self.assertEqual(self.read_log(), '')

    def test_host_that_stops_being_ready_says_why(self) -> None:
        self.met['configuration'] = True
        self.read_log()
        self.met['targets'] = False
        self.assertIn('"waits_for":["targets"]', self.read_log())


if __name__ == '__main__':
    unittest.main()
