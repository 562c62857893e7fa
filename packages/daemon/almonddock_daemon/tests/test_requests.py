import unittest
from datetime import timedelta

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    ServiceFile,
    TargetEntry,
    VersionEntry,
    build_deployment,
)
from almonddock_core.model import (
    InvalidRequestError,
    Query,
    RequestId,
    Revision,
    UnknownWorkloadError,
    Urgency,
)
from almonddock_daemon.http import build_query, parse_request

DEPLOYMENT = build_deployment(
    Revision(1),
    [
        ServiceFile(
            service='desk-1',
            workload='desk',
            index_versions=(VersionEntry(1, ('s0',)),),
            targets=(TargetEntry('a', '127.0.0.1:1', 'north', ('s0',), 1, 1),),
            deadline_ms=200,
            max_deadline_ms=500,
            urgency='urgent',
            worth=3,
        ),
    ],
    DataCentresFile((DataCentreEntry('north', 'kyushu'),)),
)
NOW = timedelta(seconds=9)


def build(body: bytes) -> Query:
    return build_query(parse_request(body), DEPLOYMENT, RequestId('r'), NOW)


class RequestTest(unittest.TestCase):
    def test_defaults_come_from_the_workload(self) -> None:
        query = build(b'{"workload": "desk", "query": {"a": 1}}')
        self.assertEqual(query.body, b'{"a":1}')
        self.assertEqual(query.deadline, NOW + timedelta(milliseconds=200))
        self.assertEqual((query.urgency, query.worth), (Urgency.URGENT, 3))

    def test_bad_bodies_name_their_fault(self) -> None:
        cases = (
            (b'', ''),
            (b'[]', ''),
            (b'{"workload": "desk"}', '/query'),
            (b'{"workload": 1, "query": 1}', '/workload'),
            (b'{"workload": "desk", "query": 1, "worth": NaN}', '/worth'),
            (b'{"workload": "desk", "query": 1, "worth": -1}', '/worth'),
            (
                b'{"workload": "desk", "query": 1, "deadline_ms": -5}',
                '/deadline_ms',
            ),
            (
                b'{"workload": "desk", "query": 1, "deadline_ms": 501}',
                '/deadline_ms',
            ),
            (
                b'{"workload": "desk", "query": 1, "min_coverage": 2}',
                '/min_coverage',
            ),
            (b'{"workload": "desk", "query": 1, "more": 1}', '/more'),
        )
        for body, pointer in cases:
            with self.subTest(body=body):
                with self.assertRaises(InvalidRequestError) as caught:
                    build(body)
                self.assertEqual(caught.exception.pointer, pointer)

    def test_an_unknown_workload_has_its_own_error(self) -> None:
        with self.assertRaises(UnknownWorkloadError):
            build(b'{"workload": "other", "query": 1}')
