"""Tests of the dispatch of one request, by the replies of its targets."""

import sys
import unittest
from datetime import timedelta
from types import FrameType
from typing import Any

from almonddock_core.dispatch import (
    BudgetLimits,
    Failure,
    ForwardedAnswer,
    MergedAnswer,
    Refusal,
    RefusalReason,
    ReplyGroup,
    ReplyKind,
    TargetReply,
    Withdraw,
    merge_replies,
)
from almonddock_core.tests.dispatch_cases import (
    MS,
    SECOND,
    DispatchCase,
    make_entry,
    make_reply,
    make_route,
)

NO_EXTRA_ATTEMPTS = BudgetLimits(ratio=0, slack=0, window=10 * SECOND)


class SingleTargetTest(unittest.TestCase):
    def test_success_is_forwarded_once(self) -> None:
        case = DispatchCase(make_route()).start()
        case.reply(0)
        case.reply(0)
        self.assertIsInstance(case.dispatch.answer, ForwardedAnswer)
        self.assertEqual(case.count_answers(), 1)

    def test_own_data_centre_is_asked_first(self) -> None:
        case = DispatchCase(make_route()).start()
        self.assertEqual(case.list_sent(), ['desk/0'])

    def test_drained_data_centre_gets_no_first_attempt(self) -> None:
        case = DispatchCase(make_route())
        case.targets.drained = frozenset((case.context.data_centre,))
        case.start()
        self.assertEqual(case.list_sent(), ['desk/1'])

    def test_slow_target_is_hedged_and_the_slower_cancelled(self) -> None:
        case = DispatchCase(make_route()).start()
        case.advance(31 * MS)
        self.assertEqual(case.list_sent(), ['desk/0', 'desk/1'])
        case.reply(1)
        self.assertEqual(case.list_cancelled(), [0])
        self.assertEqual(
            case.targets.list_usable('desk', case.now)[0].health.in_flight, 0
        )

    def test_no_hedge_beyond_the_budget(self) -> None:
        case = DispatchCase(make_route(), limits=NO_EXTRA_ATTEMPTS).start()
        case.advance(500 * MS)
        self.assertEqual(case.list_sent(), ['desk/0'])

    def test_no_hedge_beyond_max_attempts(self) -> None:
        case = DispatchCase(make_route(max_attempts=1)).start()
        case.advance(500 * MS)
        self.assertEqual(case.list_sent(), ['desk/0'])

    def test_failure_is_retried_and_forwarded_if_no_retry_succeeds(
        self,
    ) -> None:
        case = DispatchCase(make_route()).start()
        failed = make_reply(ReplyKind.FAILED, status=500)
        case.reply(0, failed)
        self.assertEqual(case.list_sent(), ['desk/0', 'desk/1'])
        case.reply(1, make_reply(ReplyKind.REFUSED, status=503))
        self.assertEqual(case.dispatch.answer, ForwardedAnswer(failed))

    def test_refusals_are_reported_as_not_run_at_once(self) -> None:
        for kind in (ReplyKind.REFUSED, ReplyKind.MISDIRECTED):
            for idempotent in (True, False):
                with self.subTest(kind=kind, idempotent=idempotent):
                    route = make_route(idempotent=idempotent)
                    case = DispatchCase(route).start()
                    case.reply(0, make_reply(kind, status=503))
                    case.reply(1, make_reply(kind, status=503))
                    answer = case.dispatch.answer
                    assert isinstance(answer, Refusal)
                    self.assertTrue(answer.not_run)
                    self.assertIsNotNone(answer.retry_after)

    def test_route_without_time_for_an_answer_is_served(self) -> None:
        """A configuration may state a latency goal of zero."""
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                route = make_route(
                    latency_goal=timedelta(), idempotent=idempotent
                )
                case = DispatchCase(route).start()
                case.advance(MS)
                case.reply(0)
                self.assertIsInstance(case.dispatch.answer, ForwardedAnswer)

    def test_request_of_a_stopping_host_is_answered_at_once(self) -> None:
        """A host that stops would exit without an answer to the caller."""
        case = DispatchCase(make_route()).start()
        case.actions.extend(case.dispatch.give_up(10 * MS))
        self.assertEqual(case.list_cancelled(), [0])
        self.assertEqual(
            case.dispatch.answer,
            Refusal(RefusalReason.TIMED_OUT, not_run=False),
        )
        self.assertEqual(case.dispatch.give_up(20 * MS), [])
        self.assertEqual(case.count_answers(), 1)

    def test_withdrawn_attempt_says_nothing_of_its_target(self) -> None:
        """Another target is asked, without a retry from the budget."""
        case = DispatchCase(make_route(), limits=NO_EXTRA_ATTEMPTS).start()
        target = case.targets.find('desk/0')
        assert target is not None
        case.actions.extend(case.dispatch.fail(0, Failure.WITHDRAWN, case.now))
        self.assertEqual(case.list_sent(), ['desk/0', 'desk/1'])
        self.assertEqual(target.health.connection_failures, 0)
        case.actions.extend(case.dispatch.fail(1, Failure.WITHDRAWN, case.now))
        answer = case.dispatch.answer
        assert isinstance(answer, Refusal)
        self.assertTrue(answer.not_run)
        self.assertIsNotNone(answer.retry_after)

    def test_caller_comes_back_when_the_first_target_has_rested(self) -> None:
        case = DispatchCase(make_route())
        for target, seconds in zip(
            case.targets.list_all(), (3, 2), strict=True
        ):
            target.rests_until = seconds * SECOND
        case.start()
        self.assertEqual(
            case.dispatch.answer,
            Refusal(
                RefusalReason.NO_TARGET,
                not_run=True,
                retry_after=2 * SECOND,
            ),
        )

    def test_no_target_is_refused_at_once(self) -> None:
        case = DispatchCase(make_route(), replicas=0).start()
        answer = case.dispatch.answer
        assert isinstance(answer, Refusal)
        self.assertIs(answer.reason, RefusalReason.NO_TARGET)
        self.assertTrue(answer.not_run)

    def test_misdirected_target_is_not_asked_again(self) -> None:
        case = DispatchCase(make_route()).start()
        case.reply(0, make_reply(ReplyKind.MISDIRECTED, status=421))
        usable = case.targets.list_usable('desk', case.now)
        self.assertEqual([one.entry.target_id for one in usable], ['desk/1'])

    def test_request_that_timed_out_is_not_reported_as_not_run(self) -> None:
        case = DispatchCase(make_route()).start()
        case.advance(2 * SECOND)
        answer = case.dispatch.answer
        assert isinstance(answer, Refusal)
        self.assertIs(answer.reason, RefusalReason.TIMED_OUT)
        self.assertFalse(answer.not_run)

    def test_give_up_comes_before_the_deadline_and_the_timeout(self) -> None:
        for deadline, timeout in ((300, 1000), (1000, 300)):
            with self.subTest(deadline=deadline, timeout=timeout):
                case = DispatchCase(
                    make_route(timeout=timeout * MS),
                    deadline=deadline * MS,
                ).start()
                case.advance(299 * MS)
                self.assertIsNotNone(case.dispatch.answer)

    def test_caller_that_leaves_cancels_all_attempts(self) -> None:
        case = DispatchCase(make_route()).start()
        case.advance(31 * MS)
        case.actions.extend(case.dispatch.abandon(case.now))
        self.assertEqual(case.list_cancelled(), [0, 1])


class NonIdempotentRequestTest(unittest.TestCase):
    """Requests that may run at most once."""

    def setUp(self) -> None:
        route = make_route(idempotent=False)
        self.case = DispatchCase(route).start()

    def test_lost_attempt_is_never_sent_again(self) -> None:
        case = self.case
        case.actions.extend(case.dispatch.fail(0, Failure.LOST, case.now))
        self.assertEqual(case.list_sent(), ['desk/0'])
        answer = case.dispatch.answer
        assert isinstance(answer, Refusal)
        self.assertFalse(answer.not_run)

    def test_failure_is_forwarded_without_another_attempt(self) -> None:
        self.case.reply(0, make_reply(ReplyKind.FAILED, status=500))
        self.assertEqual(self.case.list_sent(), ['desk/0'])
        self.assertIsInstance(self.case.dispatch.answer, ForwardedAnswer)

    def test_refused_attempt_goes_to_another_target(self) -> None:
        self.case.reply(0, make_reply(ReplyKind.REFUSED, status=503))
        self.assertEqual(self.case.list_sent(), ['desk/0', 'desk/1'])

    def test_unsent_attempt_goes_to_another_target(self) -> None:
        case = self.case
        case.actions.extend(case.dispatch.fail(0, Failure.UNSENT, case.now))
        self.assertEqual(case.list_sent(), ['desk/0', 'desk/1'])

    def test_slow_attempt_is_only_withdrawn_if_unsent(self) -> None:
        self.case.advance(200 * MS)
        self.assertEqual(self.case.list_sent(), ['desk/0'])
        self.assertIn(Withdraw(0), self.case.actions)


class ShardsTest(unittest.TestCase):
    """Requests to all shards of a route; three of four must answer."""

    def make_case(self, **changes: object) -> DispatchCase:
        return DispatchCase(make_route(4, **changes))

    def test_query_of_a_stopping_host_gets_the_shards_that_answered(
        self,
    ) -> None:
        for answered, expected in ((3, MergedAnswer), (2, Refusal)):
            with self.subTest(answered=answered):
                case = DispatchCase(make_route(shards=4)).start()
                for number in range(answered):
                    case.reply(number)
                case.actions.extend(case.dispatch.give_up(10 * MS))
                self.assertIsInstance(case.dispatch.answer, expected)

    def test_complete_answer_goes_out_at_once(self) -> None:
        case = self.make_case().start()
        for attempt in range(4):
            self.assertIsNone(case.dispatch.answer)
            case.reply(attempt)
        answer = case.dispatch.answer
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(answer.missing, ())

    def test_partial_answer_goes_out_in_time_and_names_what_is_missing(
        self,
    ) -> None:
        case = self.make_case(max_attempts=1).start()
        for attempt in range(3):
            case.reply(attempt)
        case.advance(84 * MS)
        self.assertIsNone(case.dispatch.answer)
        case.advance(86 * MS)
        answer = case.dispatch.answer
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(answer.missing, ('desk-3',))
        self.assertEqual(case.list_cancelled(), [3])

    def test_reply_after_the_hedge_was_due_leaves_it_due(self) -> None:
        """The reply was read before the timer of the hedge ran.

        The next wake-up was then the one for the answer with shards missing,
        so the hedge went out too late to be of use.
        """
        case = self.make_case().start()
        for attempt in range(3):
            case.now = (31 + attempt) * MS
            case.reply(attempt)
            self.assertLessEqual(case.dispatch.wake_at, case.now)
        case.actions.extend(case.dispatch.tick(case.now))
        self.assertEqual(case.list_sent()[4:], ['desk-3/1'])
        self.assertGreater(case.dispatch.wake_at, case.now)

    def make_remote_case(self, shards: int) -> DispatchCase:
        """Returns a query whose targets are all in other data centres."""
        case = DispatchCase(make_route(shards=shards), replicas=0)
        for service in case.route.list_services():
            for place in ('kyushu-b', 'kyushu-c'):
                entry = make_entry(f'{service}-{place}', service, place)
                case.targets.put(entry, case.now)
        return case

    def test_remote_shards_are_asked_in_one_data_centre(self) -> None:
        """Traffic between data centres is expensive; replies travel merged."""
        case = self.make_remote_case(9)
        asked: list[str] = []
        for _ in range(2):
            case.actions = []
            sent = case.start().list_sent()
            places = {target_id[-1] for target_id in sent}
            self.assertEqual((len(sent), len(places)), (9, 1))
            asked.extend(places)
            case.dispatch.abandon(case.now)
        self.assertEqual(sorted(asked), ['b', 'c'])

    def test_slow_targets_of_the_preferred_data_centre_are_avoided(
        self,
    ) -> None:
        case = self.make_remote_case(4)
        for target in case.targets.list_usable('desk-1', case.now)[1:]:
            target.health.observe_reply(12, case.now)
        for _ in range(2):
            case.actions = []
            sent = case.start().list_sent()
            self.assertIn('desk-1-kyushu-b', sent)
            case.dispatch.abandon(case.now)

    def test_too_few_shards_wait_for_more(self) -> None:
        case = self.make_case(max_attempts=1).start()
        case.reply(0)
        case.reply(1)
        case.advance(140 * MS)
        self.assertIsNone(case.dispatch.answer)
        case.reply(2)
        case.advance(160 * MS)
        self.assertIsInstance(case.dispatch.answer, MergedAnswer)

    def test_shard_without_targets_does_not_delay_the_answer(self) -> None:
        case = self.make_case(max_attempts=1)
        case.targets.remove('desk-3/0', case.now)
        case.targets.remove('desk-3/1', case.now)
        case.start()
        for attempt in range(3):
            case.reply(attempt)
        self.assertIsInstance(case.dispatch.answer, MergedAnswer)

    def test_too_few_shards_with_targets_are_refused_before_a_send(
        self,
    ) -> None:
        case = self.make_case()
        for shard in ('desk-2', 'desk-3'):
            case.targets.remove(f'{shard}/0', case.now)
            case.targets.remove(f'{shard}/1', case.now)
        case.start()
        answer = case.dispatch.answer
        assert isinstance(answer, Refusal)
        self.assertTrue(answer.not_run)
        self.assertEqual(case.list_sent(), [])

    def test_shards_with_unreachable_targets_are_not_waited_for(self) -> None:
        for unreachable, expected in ((1, MergedAnswer), (2, Refusal)):
            with self.subTest(unreachable=unreachable):
                case = self.make_case(max_attempts=1)
                for shard in range(unreachable):
                    service = f'desk-{shard}'
                    for target in case.targets.list_usable(service, case.now):
                        target.health.unreachable = True
                case.start()
                for attempt in range(4 - unreachable):
                    case.reply(attempt)
                self.assertIsInstance(case.dispatch.answer, expected)
                self.assertEqual(case.now, timedelta())

    def test_too_many_failed_shards_end_the_request_at_once(self) -> None:
        case = self.make_case(max_attempts=1).start()
        case.reply(0)
        for attempt in (1, 2):
            case.actions.extend(
                case.dispatch.fail(attempt, Failure.LOST, case.now),
            )
        answer = case.dispatch.answer
        assert isinstance(answer, Refusal)
        self.assertFalse(answer.not_run)
        self.assertEqual(case.list_cancelled(), [3])

    def test_failed_shard_is_not_in_the_answer(self) -> None:
        case = self.make_case(max_attempts=1).start()
        for attempt in range(3):
            case.reply(attempt)
        case.reply(3, make_reply(ReplyKind.FAILED, status=500))
        answer = case.dispatch.answer
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(len(answer.replies), 3)

    def test_each_shard_counts_once(self) -> None:
        case = self.make_case().start()
        case.advance(35 * MS)
        sent = case.list_sent()
        self.assertEqual(len(sent), 8)
        for attempt in range(8):
            case.reply(attempt)
        answer = case.dispatch.answer
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(len(answer.replies), 4)


class MergedReplyTest(unittest.TestCase):
    """Replies that another host has merged."""

    def setUp(self) -> None:
        self.case = DispatchCase(make_route(4)).start()
        self.group = ReplyGroup(b'z' * 16)
        self.part = TargetReply(
            ReplyKind.SUCCESS,
            200,
            (),
            b'',
            b'part',
            self.group,
            5 * MS,
        )

    def receive_group(
        self,
        *outcomes: tuple[int, TargetReply | Failure],
    ) -> None:
        case = self.case
        case.actions.extend(case.dispatch.receive_group(outcomes, case.now))

    def get_merged(self) -> MergedAnswer:
        answer = self.case.dispatch.answer
        assert isinstance(answer, MergedAnswer)
        return answer

    def test_whole_group_is_recorded_before_the_answer(self) -> None:
        self.case.reply(0)
        self.case.reply(1)
        self.receive_group((2, self.part), (3, self.part))
        answer = self.get_merged()
        self.assertEqual(len(answer.replies), 4)
        self.assertEqual(
            merge_replies(answer.replies, 3),
            b''.join((b'z' * 16, b'x' * 16, b'x' * 16)),
        )

    def test_group_replaces_a_hedge_that_came_before_it(self) -> None:
        case = self.case
        case.advance(31 * MS)
        for attempt in (0, 1, 6):
            case.reply(attempt)
        self.receive_group((2, self.part), (3, self.part))
        replies = self.get_merged().replies
        self.assertEqual(
            [reply.group for reply in replies],
            [None, None, self.group, self.group],
        )

    def test_failed_parts_are_tried_again(self) -> None:
        self.receive_group(
            (0, Failure.LOST),
            (1, Failure.UNSENT),
            (2, make_reply(ReplyKind.REFUSED)),
        )
        self.assertEqual(
            self.case.list_sent()[4:],
            ['desk-0/1', 'desk-1/1', 'desk-2/1'],
        )

    def test_nothing_counts_after_the_answer(self) -> None:
        for attempt in range(4):
            self.case.reply(attempt)
        before = self.get_merged()
        self.receive_group((0, self.part))
        self.assertEqual(self.get_merged(), before)
        self.assertEqual(self.case.count_answers(), 1)

    def test_latency_is_the_one_that_the_other_host_measured(self) -> None:
        case = self.case
        typical = case.context.get_latency(case.route).seconds
        case.now = 20 * MS
        self.receive_group((0, self.part))
        self.assertLess(
            case.context.get_latency(case.route).seconds,
            typical,
        )


class WorkTest(unittest.TestCase):
    def count_lines(self, shards: int) -> int:
        """Returns the lines of code that run while all shards reply."""
        case = DispatchCase(make_route(shards), replicas=1).start()
        lines = 0

        def trace(frame: FrameType, event: str, argument: object) -> Any:
            nonlocal lines
            lines += event == 'line'
            return trace

        before = sys.gettrace()
        sys.settrace(trace)
        try:
            for number in range(shards):
                case.reply(number)
                case.dispatch.wake_at  # noqa: B018
        finally:
            sys.settrace(before)
        self.assertEqual(case.count_answers(), 1)
        return lines

    def test_each_reply_takes_the_same_work_whatever_the_shards(self) -> None:
        """Each reply went through all shards: queries over many were late."""
        self.assertLess(self.count_lines(400), 12 * self.count_lines(40))


class WakeTest(unittest.TestCase):
    def test_every_wait_is_bounded(self) -> None:
        case = DispatchCase(make_route(4)).start()
        last = timedelta(milliseconds=-1)
        while case.dispatch.answer is None:
            self.assertGreater(case.dispatch.wake_at, last)
            last = case.dispatch.wake_at
            case.now = last
            case.actions.extend(case.dispatch.tick(last))
        self.assertLess(last, SECOND)


if __name__ == '__main__':
    unittest.main()
