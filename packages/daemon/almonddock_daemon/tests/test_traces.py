import contextlib
import io
import unittest

import orjson

from almonddock_daemon.settings import TraceSettings
from almonddock_daemon.telemetry import Tracing

SAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
UNSAMPLED = f'{SAMPLED[:-1]}0'


class TracesTest(unittest.TestCase):
    def trace(self, settings: TraceSettings, traceparent: str) -> list[dict]:  # type: ignore[type-arg]
        written = io.StringIO()
        with contextlib.redirect_stderr(written):
            tracing = Tracing(settings, 'kyu-1')
            first = tracing.start_span('entry', traceparent)
            second = tracing.start_span('owner', first.traceparent)
            second.end()
            first.end({'outcome': 'answered'})
            tracing.stop()
        return [orjson.loads(one) for one in written.getvalue().splitlines()]

    def test_spans_continue_the_trace_of_the_caller(self) -> None:
        owner, entry = self.trace(TraceSettings('lines', share=0), SAMPLED)
        self.assertEqual(entry['parent_id'], '0xb7ad6b7169203331')
        self.assertEqual(owner['parent_id'], entry['context']['span_id'])
        self.assertEqual(
            owner['context']['trace_id'],
            '0x0af7651916cd43dd8448eb211c80319c',
        )
        self.assertEqual(entry['attributes'], {'outcome': 'answered'})

    def test_share_applies_only_without_a_caller_trace(self) -> None:
        cases = (
            (TraceSettings('lines', share=1), '', 2),
            (TraceSettings('lines', share=0), '', 0),
            (TraceSettings('lines', share=1), UNSAMPLED, 0),
            (TraceSettings('none', share=1), SAMPLED, 0),
        )
        for settings, traceparent, expected in cases:
            with self.subTest(settings=settings, traceparent=traceparent):
                spans = self.trace(settings, traceparent)
                self.assertEqual(len(spans), expected)
