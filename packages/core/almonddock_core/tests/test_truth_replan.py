import unittest
from dataclasses import replace
from datetime import timedelta
from unittest.mock import Mock

from almonddock_core.model import (
    IndexVersion,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    RequestId,
    ScatterResult,
    ShardId,
    WorkloadId,
)
from almonddock_core.truth import (
    AttemptEvent,
    classify_attempt,
    combine_results,
    replan_query,
)

SHARD = ShardId('one/s')
OLD = Plan(IndexVersion(1), (SHARD,), {})
NEW = Plan(IndexVersion(2), (SHARD,), {})
QUERY = Query(RequestId('r'), WorkloadId('desk'), b'{}', timedelta(seconds=1))
STALE = ScatterResult({}, {SHARD: Reason.WRONG_VERSION}, stale=(SHARD,))
RAN = replace(STALE, may_have_run=True)
FAILED = replace(STALE, missing={SHARD: Reason.TARGET_FAILED})


class ReplanTest(unittest.TestCase):
    def test_replans_only_when_safe_and_useful(self) -> None:
        not_idempotent = replace(QUERY, idempotent=False)
        late = timedelta(milliseconds=996)
        cases = (
            (QUERY, STALE, NEW, timedelta(), NEW),
            (QUERY, RAN, NEW, timedelta(), NEW),
            (not_idempotent, STALE, NEW, timedelta(), NEW),
            (not_idempotent, RAN, NEW, timedelta(), None),
            (not_idempotent, FAILED, NEW, timedelta(), None),
            (QUERY, replace(STALE, stale=()), NEW, timedelta(), None),
            (QUERY, STALE, OLD, timedelta(), None),
            (QUERY, STALE, NEW, late, None),
        )
        for query, result, fresh, now, expected in cases:
            with self.subTest(query=query, result=result, now=now):
                pin = Mock(return_value=fresh)
                found = replan_query(query, OLD, result, pin, now)
                self.assertIs(found, expected)

    def test_second_result_includes_that_the_first_ran(self) -> None:
        for first in (RAN, FAILED):
            with self.subTest(first=first):
                joined = combine_results(first, STALE)
                self.assertTrue(joined.may_have_run)
                self.assertEqual(joined.extra_tries, 1)
        self.assertFalse(combine_results(STALE, STALE).may_have_run)


class ClassifyTest(unittest.TestCase):
    def test_is_not_run_only_if_unsent_or_reported_by_the_target(
        self,
    ) -> None:
        not_run = {
            AttemptEvent.NEVER_SENT,
            AttemptEvent.CONNECT_FAILED,
            AttemptEvent.TARGET_REFUSED,
            AttemptEvent.VERSION_REFUSED,
        }
        for event in AttemptEvent:
            with self.subTest(event=event):
                result = classify_attempt(event, idempotent=False)
                is_not_run = result.status is ReplyStatus.NOT_RUN
                self.assertEqual(is_not_run, event in not_run)
                self.assertEqual(result.retry_allowed, event in not_run)
                self.assertTrue(
                    classify_attempt(event, idempotent=True).retry_allowed
                )
