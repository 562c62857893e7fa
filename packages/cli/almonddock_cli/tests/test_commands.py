from typing import Any
from unittest import TestCase, mock

import httpx
import orjson
from typer.testing import CliRunner

from almonddock_cli._exits import ExitCode
from almonddock_cli.program import APPLICATION

ANSWER = {
    'outcome': 'answered',
    'index_version': 7,
    'coverage': {
        'total': 2,
        'answered': 1,
        'missing': [{'shard': 'desk/s1', 'reason': 'timed_out'}],
    },
    'rows': [{'a': 1}],
    'timings': {'elapsed_ms': 12},
}
FAULT = {'code': 'unknown_workload', 'message': 'no', 'pointer': '/workload'}
QUERY = ('query', 'desk', '{}', '--host', 'http://127.0.0.1:1')


class CommandTest(TestCase):
    def run_command(self, arguments: tuple[str, ...], *replies: Any) -> Any:
        with mock.patch('httpx.request', side_effect=replies) as request:
            outcome = CliRunner().invoke(APPLICATION, arguments)
        self.requests = request.call_args_list
        return outcome

    def test_the_outcome_decides_the_exit_code(self) -> None:
        cases = (
            ('answered', ExitCode.OK),
            ('partial', ExitCode.PARTIAL),
            ('not_run', ExitCode.UNAVAILABLE),
            ('outcome_unknown', ExitCode.UNKNOWN),
        )
        for outcome, expected in cases:
            with self.subTest(outcome=outcome):
                reply = httpx.Response(200, json={**ANSWER, 'outcome': outcome})
                shown = self.run_command(QUERY, reply)
                self.assertEqual(shown.exit_code, expected)
                self.assertIn('missing desk/s1: timed_out', shown.output)

    def test_an_invalid_request_has_its_exit_code(self) -> None:
        reply = httpx.Response(404, json={'error': FAULT})
        shown = self.run_command(QUERY, reply)
        self.assertEqual(shown.exit_code, ExitCode.INVALID)
        shown = self.run_command((*QUERY[:2], '{', *QUERY[3:]))
        self.assertEqual(shown.exit_code, ExitCode.INVALID)
        self.assertEqual(self.requests, [])

    def test_a_query_is_sent_once_even_when_no_reply_comes(self) -> None:
        arguments = (*QUERY, '--host', 'http://127.0.0.1:2')
        cases = (
            (httpx.ReadTimeout('late'), ExitCode.UNKNOWN),
            (httpx.ConnectError('down'), ExitCode.UNAVAILABLE),
        )
        for failure, expected in cases:
            with self.subTest(failure=failure):
                shown = self.run_command(arguments, failure)
                self.assertEqual(shown.exit_code, expected)
                self.assertEqual(len(self.requests), 1)

    def test_the_options_of_a_query_are_sent(self) -> None:
        options = ('--key', 'k', '--non-idempotent', '--deadline-ms', '50')
        self.run_command((*QUERY, *options), httpx.Response(200, json=ANSWER))
        sent = self.requests[0].kwargs['json']
        self.assertEqual(sent['idempotency_key'], 'k')
        self.assertEqual((sent['idempotent'], sent['deadline_ms']), (False, 50))

    def test_status_names_the_host_that_does_not_answer(self) -> None:
        arguments = ('status', '--json', '--host', 'a', '--host', 'b')
        up = httpx.Response(200, json={'host': 'kyu-1'})
        shown = self.run_command(arguments, up, httpx.ConnectError('down'))
        self.assertEqual(shown.exit_code, ExitCode.UNAVAILABLE)
        first, second = orjson.loads(shown.stdout)
        self.assertEqual(first['status'], {'host': 'kyu-1'})
        self.assertIn('down', second['error'])

    def test_services_asks_the_next_host(self) -> None:
        arguments = ('services', '--json', '--host', 'a', '--host', 'b')
        up = httpx.Response(200, json={'revision': 3, 'services': []})
        shown = self.run_command(arguments, httpx.ConnectError('down'), up)
        self.assertEqual(shown.exit_code, ExitCode.OK)
        self.assertEqual(orjson.loads(shown.stdout)['revision'], 3)
