import unittest
from dataclasses import replace
from datetime import timedelta

from almonddock_core.deployment import MergeRule
from almonddock_core.model import (
    AttemptId,
    IndexVersion,
    MissingShard,
    Outcome,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    RequestId,
    ScatterResult,
    ShardId,
    SubReply,
    TargetId,
    WorkloadId,
)
from almonddock_core.truth import build_answer

ONE, TWO = ShardId('one/s'), ShardId('two/s')
REQUEST = RequestId('r')
VERSION = IndexVersion(4)
PLAN = Plan(VERSION, (ONE, TWO), {})
QUERY = Query(REQUEST, WorkloadId('desk'), b'{}', timedelta(seconds=1))
NOT_IDEMPOTENT = replace(QUERY, idempotent=False)


def make_reply(shard: ShardId, rows: bytes = b'[1]') -> SubReply:
    return SubReply(
        attempt_id=AttemptId('r:1'),
        request_id=REQUEST,
        shard=shard,
        target=TargetId('one/a'),
        status=ReplyStatus.OK,
        version=VERSION,
        rows=rows,
    )


GOOD = {ONE: make_reply(ONE), TWO: make_reply(TWO)}
ONE_ONLY = ScatterResult({ONE: GOOD[ONE]}, {TWO: Reason.COLD})
NOTHING = ScatterResult({}, {ONE: Reason.COLD, TWO: Reason.COLD})
FAILED = ScatterResult({}, {ONE: Reason.TARGET_FAILED, TWO: Reason.COLD})


class AnswerTest(unittest.TestCase):
    def test_classifies_outcomes(self) -> None:
        whole = ScatterResult(GOOD, {})
        unsure = replace(NOTHING, may_have_run=True)
        low = replace(QUERY, min_coverage=0.75)
        cases = (
            (QUERY, whole, Outcome.ANSWERED, Reason.NONE),
            (QUERY, ONE_ONLY, Outcome.PARTIAL, Reason.COLD),
            (low, ONE_ONLY, Outcome.PARTIAL, Reason.LOW_COVERAGE),
            (QUERY, NOTHING, Outcome.NOT_RUN, Reason.COLD),
            (NOT_IDEMPOTENT, NOTHING, Outcome.NOT_RUN, Reason.COLD),
            (QUERY, unsure, Outcome.PARTIAL, Reason.COLD),
            (NOT_IDEMPOTENT, unsure, Outcome.OUTCOME_UNKNOWN, Reason.COLD),
            (
                NOT_IDEMPOTENT,
                FAILED,
                Outcome.OUTCOME_UNKNOWN,
                Reason.TARGET_FAILED,
            ),
            (NOT_IDEMPOTENT, ONE_ONLY, Outcome.PARTIAL, Reason.COLD),
            (NOT_IDEMPOTENT, whole, Outcome.ANSWERED, Reason.NONE),
        )
        for query, result, outcome, reason in cases:
            with self.subTest(query=query, result=result):
                answer = build_answer(
                    query, PLAN, result, MergeRule(), timedelta()
                )
                self.assertIs(answer.outcome, outcome)
                self.assertIs(answer.reason, reason)

    def test_rejects_replies_that_do_not_answer_the_shard(self) -> None:
        good = GOOD[TWO]
        cases = (
            (replace(good, shard=ONE), Reason.BAD_REPLY),
            (replace(good, request_id=RequestId('x')), Reason.BAD_REPLY),
            (replace(good, status=ReplyStatus.FAILED), Reason.BAD_REPLY),
            (replace(good, version=IndexVersion(3)), Reason.WRONG_VERSION),
            (replace(good, rows=b'[1'), Reason.BAD_REPLY),
            (replace(good, rows=b'{}'), Reason.BAD_REPLY),
        )
        for reply, reason in cases:
            with self.subTest(reply=reply):
                result = ScatterResult({ONE: GOOD[ONE], TWO: reply}, {})
                answer = build_answer(
                    NOT_IDEMPOTENT, PLAN, result, MergeRule(), timedelta()
                )
                self.assertEqual(
                    answer.coverage.missing, (MissingShard(TWO, reason),)
                )
                self.assertEqual(answer.rows, b'[1]')
                self.assertIs(answer.outcome, Outcome.OUTCOME_UNKNOWN)

    def test_counts_only_shards_of_the_pinned_map(self) -> None:
        foreign = ShardId('gone/s')
        result = ScatterResult(
            {**GOOD, foreign: make_reply(foreign, b'[9]')}, {}
        )
        answer = build_answer(QUERY, PLAN, result, MergeRule(), timedelta())
        self.assertEqual(answer.coverage.total, 2)
        self.assertEqual(answer.rows, b'[1,1]')
