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
    TryEvent,
    choose_result,
    classify_try,
    plan_again,
)

SHARD = ShardId('one/s')
OLD = Plan(IndexVersion(1), (SHARD,), {})
NEW = Plan(IndexVersion(2), (SHARD,), {})
QUERY = Query(RequestId('r'), WorkloadId('desk'), b'{}', timedelta(seconds=1))
STALE = ScatterResult({}, {SHARD: Reason.WRONG_VERSION}, stale=(SHARD,))
RAN = replace(STALE, may_have_run=True)
FAILED = replace(STALE, missing={SHARD: Reason.TARGET_FAILED})


class PlanAgainTest(unittest.TestCase):
    def test_plans_anew_only_where_it_is_safe_and_of_use(self) -> None:
        once = replace(QUERY, idempotent=False)
        late = timedelta(milliseconds=996)
        cases = (
            (QUERY, STALE, NEW, timedelta(), NEW),
            (QUERY, RAN, NEW, timedelta(), NEW),
            (once, STALE, NEW, timedelta(), NEW),
            (once, RAN, NEW, timedelta(), None),
            (once, FAILED, NEW, timedelta(), None),
            (QUERY, replace(STALE, stale=()), NEW, timedelta(), None),
            (QUERY, STALE, OLD, timedelta(), None),
            (QUERY, STALE, NEW, late, None),
        )
        for query, result, fresh, now, expected in cases:
            with self.subTest(query=query, result=result, now=now):
                pin = Mock(return_value=fresh)
                found = plan_again(query, OLD, result, pin, now)
                self.assertIs(found, expected)

    def test_second_result_remembers_that_the_first_ran(self) -> None:
        for first in (RAN, FAILED):
            with self.subTest(first=first):
                joined = choose_result(first, STALE)
                self.assertTrue(joined.may_have_run)
                self.assertEqual(joined.extra_tries, 1)
        self.assertFalse(choose_result(STALE, STALE).may_have_run)


class ClassifyTest(unittest.TestCase):
    def test_says_not_run_only_when_nothing_left_or_the_target_said(
        self,
    ) -> None:
        not_run = {
            TryEvent.NEVER_SENT,
            TryEvent.CONNECT_FAILED,
            TryEvent.TARGET_REFUSED,
            TryEvent.VERSION_REFUSED,
        }
        for event in TryEvent:
            with self.subTest(event=event):
                result = classify_try(event, idempotent=False)
                is_not_run = result.status is ReplyStatus.NOT_RUN
                self.assertEqual(is_not_run, event in not_run)
                self.assertEqual(result.retry_allowed, event in not_run)
                self.assertTrue(
                    classify_try(event, idempotent=True).retry_allowed
                )
