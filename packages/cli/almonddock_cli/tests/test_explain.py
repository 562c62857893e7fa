"""Causes of simulated failures are determined from the log alone."""

import os
import unittest
from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_cli._causes import (
    describe_cause,
    select_request_lines,
    select_state_lines,
)
from almonddock_cli._log_lines import LogLine, parse_lines
from almonddock_core.dispatch import (
    Dispatch,
    Failure,
    ReplyGroup,
    ReplyKind,
)
from almonddock_core.model import ManualClock
from almonddock_core.routing import Rejected, RejectionReason, TargetChange
from almonddock_core.tests.dispatch_cases import (
    MS,
    SECOND,
    DispatchCase,
    make_reply,
    make_route,
)
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    Telemetry,
)


@dataclass(slots=True)
class FinishedExchange:
    """The part of an exchange that the log reads."""

    dispatch: Dispatch


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.reader = reader
        self.clock = ManualClock()
        self.telemetry = Telemetry(
            LineWriter(writer, {'host': 'kyu-1', 'data_centre': 'a'}),
            GatewayMetrics(),
            self.clock,
        )

    def read_log(self) -> list[LogLine]:
        self.telemetry.flush()
        os.set_blocking(self.reader, False)
        raw = os.read(self.reader, 1 << 20)
        prefixed = [b'12.5 kyu-1 %b' % line for line in raw.splitlines()]
        return list(parse_lines([b'another program', b'{"a": 1}', *prefixed]))

    def finish(self, case: DispatchCase, status: int) -> list[LogLine]:
        self.clock.advance(case.now - self.clock.now())
        self.telemetry.log_finished(
            FinishedExchange(case.dispatch), status, 7, timedelta(seconds=1)
        )
        return self.read_log()

    def explain(self, case: DispatchCase, status: int) -> str:
        return describe_cause(
            select_request_lines(self.finish(case, status), 'request-1')
        )

    def test_late_query_over_shards(self) -> None:
        case = DispatchCase(make_route(4)).start()
        for attempt in range(3):
            case.reply(attempt)
        case.advance(90 * MS)
        self.assertEqual(
            self.explain(case, 200),
            'it was answered after 90.0 ms without desk-3, whose targets '
            'were late, failed or gone',
        )

    def test_steps_of_a_late_query_tell_slow_hosts_from_slow_targets(
        self,
    ) -> None:
        case = DispatchCase(make_route(4)).start()
        case.dispatch.record_handed_over(7 * MS)
        relayed = replace(
            make_reply(), group=ReplyGroup(b'x' * 16), elapsed=4 * MS
        )
        group = [(attempt, relayed) for attempt in range(3)]
        case.dispatch.receive_group(group, 60 * MS)
        case.advance(90 * MS)
        fields = self.finish(case, 200)[-1].fields
        self.assertEqual(fields['asked_ms'], 7)
        self.assertEqual(fields['groups'], [[60, 3, 4]])
        self.assertEqual(fields['due_ms'], 85)

    def test_late_answer_of_one_target_names_it(self) -> None:
        case = DispatchCase(make_route(idempotent=False)).start()
        case.now = 300 * MS
        case.reply(0)
        self.assertEqual(
            self.explain(case, 200),
            'it was answered late, after 300.0 ms for a goal of 100 ms: first '
            'at desk/0 (desk) success after 300.0 ms',
        )

    def test_refused_request(self) -> None:
        case = DispatchCase(make_route(4))
        for shard in ('desk-0', 'desk-1'):
            for number in range(2):
                case.targets.remove(f'{shard}/{number}', case.now)
        gone = TargetChange('desk-0/0', 'desk-0', 'gone')
        self.telemetry.log_target_changes([gone], 33)
        case.start()
        lines = self.finish(case, 503)
        request_lines = select_request_lines(lines, 'request-1')
        self.assertEqual(
            describe_cause(request_lines),
            'it was refused without being run: no target listed for desk-0, '
            'desk-1',
        )
        states = select_state_lines(lines, request_lines)
        self.assertEqual(
            [line.fields['change'] for line in states],
            ['gone'],
        )

    def test_request_that_may_have_run(self) -> None:
        case = DispatchCase(make_route(idempotent=False)).start()
        case.now = 2 * MS
        case.dispatch.fail(0, Failure.LOST, case.now)
        self.assertEqual(
            self.explain(case, 502),
            'it may have run: a connection ended without a reply, or a '
            'target failed, and no further try was allowed: first at desk/0 '
            '(desk) lost after 2.0 ms',
        )

    def test_refused_timed_out_abandoned_and_timely_requests(self) -> None:
        def refuse(case: DispatchCase) -> None:
            for attempt in (0, 1):
                case.reply(attempt, make_reply(ReplyKind.REFUSED, status=503))

        def wait(case: DispatchCase) -> None:
            case.advance(2 * SECOND)

        def leave(case: DispatchCase) -> None:
            case.now = 3 * MS
            case.dispatch.abandon(case.now)

        def succeed(case: DispatchCase) -> None:
            case.now = 3 * MS
            case.reply(0)

        for finish_request, status, expected in (
            (refuse, 503, 'every target refused it, so it has not run'),
            (wait, 504, 'its time ended while it waited for desk/0 (desk)'),
            (leave, 0, 'the caller closed its connection after 3.0 ms'),
            (succeed, 200, 'it was answered in time, after 3.0 ms'),
        ):
            with self.subTest(expected=expected):
                self.setUp()
                case = DispatchCase(make_route()).start()
                finish_request(case)
                self.assertTrue(
                    self.explain(case, status).startswith(expected),
                )

    def test_request_turned_away(self) -> None:
        self.telemetry.log_unavailable(b'request-1', 'the host stops')
        request_lines = select_request_lines(self.read_log(), 'request-1')
        self.assertEqual(
            describe_cause(request_lines),
            'it was not served: the host stops (status 503)',
        )

    def test_caller_that_was_not_let_in(self) -> None:
        for reason, status, expected in (
            (RejectionReason.UNKNOWN_KEY, 401, 'it stated no key of the'),
            (RejectionReason.UNPROVEN_KEY, 503, 'the host could not know'),
        ):
            self.setUp()
            self.telemetry.log_not_admitted(
                DispatchCase(make_route()).start().dispatch.request,
                Rejected(reason),
                status,
                configuration=7,
                configuration_age=2 * SECOND,
            )
            request_lines = select_request_lines(self.read_log(), 'request-1')
            cause = describe_cause(request_lines)
            self.assertIn(f'not let in: {expected}', cause)
            self.assertIn(f'status {status}, version 7, last proven', cause)

    def test_host_events_are_left_out_after_recovery(self) -> None:
        self.telemetry.log_event('store_lost', reason='x')
        self.telemetry.log_event('isolated')
        self.telemetry.log_event('store_back', lost_for=timedelta(seconds=1))
        self.telemetry.log_unavailable(b'request-1', 'x')
        lines = self.read_log()
        # Lines of one millisecond have equal times, so each gets its own.
        spaced = [
            LogLine(line.time + number * MS, line.event, line.host, line.fields)
            for number, line in enumerate(lines)
        ]
        request_lines = select_request_lines(spaced, 'request-1')
        states = select_state_lines(spaced, request_lines)
        self.assertEqual([line.event for line in states], ['isolated'])


if __name__ == '__main__':
    unittest.main()
