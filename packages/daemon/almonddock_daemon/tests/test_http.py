import unittest
from datetime import timedelta
from typing import Any

from litestar.testing import TestClient

from almonddock_core.model import (
    Answer,
    Coverage,
    IndexVersion,
    MissingShard,
    Outcome,
    Reason,
    RequestId,
    ShardId,
    UnknownWorkloadError,
)
from almonddock_daemon.http import (
    HttpPorts,
    build_application,
    parse_request,
)

PARTIAL = Answer(
    request_id=RequestId('r1'),
    outcome=Outcome.PARTIAL,
    coverage=Coverage(
        2,
        1,
        (MissingShard(ShardId('desk/s1'), Reason.TIMED_OUT),),
    ),
    version=IndexVersion(7),
    rows=b'[{"a":1}]',
    reason=Reason.TIMED_OUT,
    elapsed=timedelta(milliseconds=12),
)
QUERY = {'workload': 'desk', 'query': {}}
BODY_LIMIT = 300


class HttpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answer: Answer | Exception = PARTIAL
        self.unready = ''
        self.bodies: list[bytes] = []
        application = build_application(
            HttpPorts(
                answer_query=self.answer_query,
                explain_unready=lambda: self.unready,
                describe_status=lambda: {'host': 'kyu-1'},
                describe_services=lambda: {'services': []},
                render_metrics=lambda: b'metric 1\n',
            ),
            BODY_LIMIT,
        )
        self.client = TestClient(application)

    async def answer_query(self, body: bytes, traceparent: str) -> Answer:
        parse_request(body)
        self.bodies.append(body)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    def post(self, **arguments: Any) -> Any:
        with self.client as client:
            return client.post('/v1/query', **arguments)

    def test_an_answer_states_its_coverage(self) -> None:
        response = self.post(json=QUERY)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(
            response.json(),
            {
                'request_id': 'r1',
                'outcome': 'partial',
                'reason': 'timed_out',
                'index_version': 7,
                'coverage': {
                    'total': 2,
                    'answered': 1,
                    'missing': [{'shard': 'desk/s1', 'reason': 'timed_out'}],
                },
                'rows': [{'a': 1}],
                'timings': {'elapsed_ms': 12.0},
                'extra_tries': 0,
            },
        )

    def test_the_outcome_decides_the_status(self) -> None:
        cases = (
            (Outcome.ANSWERED, 200),
            (Outcome.NOT_RUN, 503),
            (Outcome.OUTCOME_UNKNOWN, 504),
        )
        for outcome, status in cases:
            with self.subTest(outcome=outcome):
                self.answer = Answer(
                    RequestId('r'),
                    outcome,
                    Coverage(0, 0),
                    None,
                )
                self.assertEqual(self.post(json=QUERY).status_code, status)

    def test_malformed_requests_are_not_run(self) -> None:
        cases = (
            ({'content': b'{"workload": '}, 400, 'invalid_request'),
            ({'json': {'workload': 1, 'query': 1}}, 400, 'invalid_request'),
            (
                {'content': b'x' * (BODY_LIMIT + 1)},
                413,
                'invalid_request',
            ),
        )
        for arguments, status, code in cases:
            with self.subTest(status=status):
                response = self.post(**arguments)
                self.assertEqual(response.status_code, status)
                error = response.json()['error']
                self.assertEqual((error['code'], error['ran']), (code, False))
        self.assertEqual(self.bodies, [])

    def test_an_unknown_workload_is_not_found(self) -> None:
        self.answer = UnknownWorkloadError('no such workload', '/workload')
        response = self.post(json=QUERY)
        self.assertEqual(response.status_code, 404)
        self.assertEqual(response.json()['error']['pointer'], '/workload')

    def test_an_internal_fault_may_have_run(self) -> None:
        self.answer = ZeroDivisionError('fault')
        response = self.post(json=QUERY)
        self.assertEqual(response.status_code, 500)
        error = response.json()['error']
        self.assertEqual((error['code'], error['ran']), ('internal', True))

    def test_other_endpoints_answer(self) -> None:
        with self.client as client:
            self.assertEqual(client.get('/v1/ready').status_code, 200)
            self.unready = 'shutting_down'
            self.assertEqual(client.get('/v1/ready').status_code, 503)
            self.assertEqual(client.get('/v1/status').json()['host'], 'kyu-1')
            self.assertEqual(client.get('/v1/services').status_code, 200)
            self.assertIn(b'metric 1', client.get('/metrics').content)
            schema = client.get('/schema/openapi.json').json()
            post = schema['paths']['/v1/query']['post']
            body = post['requestBody']['content']['application/json']
            self.assertIn('min_coverage', body['schema']['properties'])
