import unittest

from almonddock_core.model import (
    IndexVersion,
    Reason,
    ReplyStatus,
    RequestId,
    SubReply,
)
from almonddock_core.scatter import Cancel, DropReason
from almonddock_core.tests.scatter_cases import (
    VERSION,
    find_only_send,
    find_result,
    list_sends,
    make_context,
    make_plan,
    make_reply,
    make_scatter,
    ms,
)


class ScatterTest(unittest.TestCase):
    def test_finishes_when_every_shard_has_answered(self) -> None:
        scatter = make_scatter(make_plan(2))
        first, second = list_sends(scatter.start(ms(0)))
        self.assertEqual(scatter.receive(make_reply(first.sub), ms(5)), [])
        result = find_result(scatter.receive(make_reply(second.sub), ms(6)))
        self.assertEqual(set(result.replies), {'s00/x', 's01/x'})
        self.assertEqual((result.missing, result.extra_tries), ({}, 0))
        self.assertIsNone(scatter.next_wake())

    def test_reports_missing_shards_at_the_deadline(self) -> None:
        scatter = make_scatter(make_plan(2))
        sends = list_sends(scatter.start(ms(0)))
        scatter.receive(make_reply(sends[0].sub), ms(5))
        result = find_result(scatter.tick(ms(300)))
        self.assertEqual(result.missing, {sends[1].sub.shard: Reason.TIMED_OUT})
        self.assertTrue(result.may_have_run)
        self.assertEqual(scatter.tick(ms(301)), [])

    def test_hedges_at_another_owner_and_cancels_the_loser(self) -> None:
        scatter = make_scatter(make_plan(5))
        sends = list_sends(scatter.start(ms(0)))
        for send in sends[:-1]:
            scatter.receive(make_reply(send.sub), ms(10))
        self.assertEqual(scatter.next_wake(), ms(14))
        hedge = find_only_send(scatter.tick(ms(14)))
        late = sends[-1]
        self.assertTrue(hedge.sub.hedge)
        self.assertNotEqual(hedge.owner, late.owner)
        actions = scatter.receive(make_reply(hedge.sub), ms(20))
        self.assertEqual(actions[0], Cancel(late.sub.attempt_id, late.owner))
        self.assertEqual(find_result(actions).extra_tries, 1)

    def test_drops_the_late_reply_of_a_loser(self) -> None:
        scatter = make_scatter(make_plan(2))
        first, second = list_sends(scatter.start(ms(0)))
        hedges = list_sends(scatter.tick(ms(61)))
        winner = next(
            one.sub for one in hedges if one.sub.shard == first.sub.shard
        )
        actions = scatter.receive(make_reply(winner), ms(70))
        cancelled = Cancel(first.sub.attempt_id, first.owner)
        self.assertEqual(actions, [cancelled])
        self.assertEqual(scatter.receive(make_reply(first.sub), ms(71)), [])
        self.assertEqual(scatter.drops, {DropReason.UNKNOWN_ATTEMPT: 1})
        result = find_result(scatter.receive(make_reply(second.sub), ms(72)))
        self.assertEqual(result.replies[winner.shard], make_reply(winner))

    def test_retries_the_tries_of_a_lost_owner_once(self) -> None:
        cases = ((True, 1, Reason.TIMED_OUT), (False, 0, None))
        for idempotent, resent, reason in cases:
            with self.subTest(idempotent=idempotent):
                scatter = make_scatter(
                    make_plan(1), make_context(0), idempotent=idempotent
                )
                send = find_only_send(scatter.start(ms(0)))
                actions = scatter.handle_lost_owner(send.owner, ms(1))
                self.assertEqual(len(list_sends(actions)), resent)
                if reason is None:
                    result = find_result(actions)
                    self.assertTrue(result.may_have_run)
                    reason = Reason.OWNER_UNREACHABLE
                else:
                    result = find_result(scatter.tick(ms(300)))
                self.assertEqual(result.missing, {send.sub.shard: reason})

    def test_sends_refused_work_to_another_target(self) -> None:
        scatter = make_scatter(make_plan(1), idempotent=False)
        send = find_only_send(scatter.start(ms(0)))
        refusal = make_reply(send.sub, ReplyStatus.NOT_RUN, Reason.DRAINING)
        again = find_only_send(scatter.receive(refusal, ms(1)))
        self.assertNotEqual(again.sub.target, send.sub.target)
        refusal = make_reply(again.sub, ReplyStatus.NOT_RUN, Reason.COLD)
        result = find_result(scatter.receive(refusal, ms(2)))
        self.assertEqual(result.missing, {send.sub.shard: Reason.COLD})
        self.assertFalse(result.may_have_run)

    def test_drops_replies_that_do_not_match_their_try(self) -> None:
        scatter = make_scatter(make_plan(2))
        first, second = (one.sub for one in list_sends(scatter.start(ms(0))))
        crossed = SubReply(
            first.attempt_id,
            RequestId('other'),
            first.shard,
            first.target,
            ReplyStatus.OK,
            version=VERSION,
        )
        mixed = SubReply(
            first.attempt_id,
            second.request_id,
            second.shard,
            second.target,
            ReplyStatus.OK,
            version=VERSION,
        )
        for reply in (crossed, mixed):
            self.assertEqual(scatter.receive(reply, ms(1)), [])
        scatter.receive(make_reply(first), ms(2))
        scatter.receive(make_reply(first), ms(3))
        self.assertEqual(
            scatter.drops,
            {DropReason.CROSSED: 2, DropReason.UNKNOWN_ATTEMPT: 1},
        )

    def test_never_counts_a_reply_of_another_version(self) -> None:
        scatter = make_scatter(make_plan(1, replicas=1))
        send = find_only_send(scatter.start(ms(0)))
        reply = make_reply(send.sub, version=IndexVersion(8))
        result = find_result(scatter.receive(reply, ms(1)))
        self.assertEqual(result.missing, {'s00/x': Reason.WRONG_VERSION})
        self.assertEqual(result.stale, ('s00/x',))

    def test_cancels_all_tries_when_the_caller_disconnects(self) -> None:
        scatter = make_scatter(make_plan(3))
        sends = list_sends(scatter.start(ms(0)))
        actions = scatter.abandon(ms(1))
        expected = [Cancel(one.sub.attempt_id, one.owner) for one in sends]
        self.assertEqual(actions[:-1], expected)
        find_result(actions)
        self.assertEqual(scatter.abandon(ms(2)), [])
