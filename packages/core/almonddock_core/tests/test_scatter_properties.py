import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.model import (
    HostId,
    IndexVersion,
    Reason,
    ReplyStatus,
    ScatterResult,
    ShardId,
    SubQuery,
    SubReply,
)
from almonddock_core.scatter import Finish, ScatterAction, Send
from almonddock_core.tests.scatter_cases import (
    VERSION,
    make_context,
    make_plan,
    make_reply,
    make_scatter,
    ms,
)

TOKENS = 2
SHARDS = 4
REPLICAS = 4
MAX_TRIES = 3
DEADLINE = ms(300)
#: Steps of a test: the replies of ``FAILED_REPLIES``, a reply with rows (``ok``
#: and ``repeat``), one of another version, one for another shard (``cross``), a
#: lost owner and a tick. Kinds that are listed twice are drawn more often.
KINDS = (
    *('ok', 'ok', 'refuse', 'shed', 'fail', 'unsure', 'version'),
    *('cross', 'lose', 'tick', 'tick', 'repeat'),
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(KINDS),
        st.integers(0, 11),
        st.integers(0, 40),
    ),
    max_size=40,
)
FAILED_REPLIES = {
    'refuse': (ReplyStatus.NOT_RUN, Reason.DRAINING),
    'shed': (ReplyStatus.NOT_RUN, Reason.OVERLOADED),
    'fail': (ReplyStatus.FAILED, Reason.TARGET_FAILED),
    'unsure': (ReplyStatus.UNKNOWN, Reason.TARGET_UNREACHABLE),
}


class ScatterModel:
    """Drives one scatter and checks its actions against a simple model."""

    def __init__(self, test: unittest.TestCase, idempotent: bool) -> None:
        self.test = test
        self.idempotent = idempotent
        self.now = timedelta()
        self.context = make_context(TOKENS)
        self.plan = make_plan(SHARDS, REPLICAS)
        self.scatter = make_scatter(
            self.plan, self.context, idempotent=idempotent
        )
        self.sent: list[SubQuery] = []
        self.first_ok: dict[ShardId, SubReply] = {}
        self.may_have_run: set[ShardId] = set()
        self.ended: set[str] = set()
        self.results: list[ScatterResult] = []
        self.lost: set[HostId] = set()
        self.apply_actions(self.scatter.start(self.now))

    def apply_actions(self, actions: list[ScatterAction]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.test.assertFalse(self.results, 'sent after Finish')
                self.test.assertNotIn(action.owner, self.lost)
                self.sent.append(action.sub)
                if not self.idempotent:
                    self.check_single_run(action.sub)
            elif isinstance(action, Finish):
                self.results.append(action.result)

    def check_single_run(self, sub: SubQuery) -> None:
        others = [
            one for one in self.sent if one.shard == sub.shard and one != sub
        ]
        running = [one for one in others if one.attempt_id not in self.ended]
        self.test.assertFalse(running, 'sent while another try runs')
        self.test.assertNotIn(sub.shard, self.may_have_run)

    def step(self, kind: str, number: int, wait: int) -> None:
        self.now += ms(wait)
        sub = self.sent[number % len(self.sent)]
        if kind == 'tick':
            self.apply_actions(self.scatter.tick(self.now))
        elif kind == 'lose':
            host = HostId(f'host-{number % REPLICAS}')
            self.lost.add(host)
            self.may_have_run.update(
                one.shard
                for one in self.sent
                if one.target.endswith(host[-1])
                and one.attempt_id not in self.ended
            )
            self.apply_actions(self.scatter.handle_lost_owner(host, self.now))
        elif kind == 'cross':
            other = self.plan.shards[number % SHARDS]
            if other != sub.shard:
                reply = SubReply(
                    sub.attempt_id,
                    sub.request_id,
                    other,
                    sub.target,
                    ReplyStatus.OK,
                    version=VERSION,
                )
                self.test.assertEqual(self.receive(reply), [])
        else:
            self.reply(kind, sub)

    def reply(self, kind: str, sub: SubQuery) -> None:
        new = sub.attempt_id not in self.ended
        status, reason = FAILED_REPLIES.get(kind, (ReplyStatus.OK, Reason.NONE))
        reply = make_reply(sub, status, reason)
        if kind == 'version':
            reply = make_reply(sub, version=IndexVersion(8))
        if new and status is not ReplyStatus.NOT_RUN:
            self.may_have_run.add(sub.shard)
        self.ended.add(sub.attempt_id)
        actions = self.receive(reply)
        if kind in {'ok', 'repeat'} and new:
            self.first_ok.setdefault(sub.shard, reply)
        self.apply_actions(actions)

    def receive(self, reply: SubReply) -> list[ScatterAction]:
        return self.scatter.receive(reply, self.now)

    def finish(self) -> ScatterResult:
        self.now = max(self.now, DEADLINE)
        self.apply_actions(self.scatter.tick(self.now))
        self.apply_actions(self.scatter.tick(self.now + ms(1)))
        self.apply_actions(self.scatter.abandon(self.now))
        self.test.assertEqual(len(self.results), 1, 'number of Finish actions')
        return self.results[0]


class ScatterPropertyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(STEPS, st.booleans())
    def test_counts_each_shard_once_and_finishes_once(
        self,
        steps: list[tuple[str, int, int]],
        idempotent: bool,
    ) -> None:
        model = ScatterModel(self, idempotent)
        for step in steps:
            model.step(*step)
        result = model.finish()
        named = [*result.replies, *result.missing]
        self.assertCountEqual(named, model.plan.shards)
        for shard, reply in result.replies.items():
            self.assertEqual(reply.shard, shard)
            self.assertEqual(reply.version, VERSION)
            self.assertIn(reply.attempt_id, model.ended)
        self.assertEqual(
            result.extra_tries,
            len(model.sent) - len({one.shard for one in model.sent}),
        )
        tries = Counter(one.shard for one in model.sent)
        self.assertLessEqual(max(tries.values()), MAX_TRIES)
        identifiers = {one.attempt_id for one in model.sent}
        self.assertEqual(len(identifiers), len(model.sent))
        if any(shard in model.may_have_run for shard in result.missing):
            self.assertTrue(result.may_have_run)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(STEPS)
    def test_never_exceeds_the_budget(
        self,
        steps: list[tuple[str, int, int]],
    ) -> None:
        model = ScatterModel(self, idempotent=True)
        for step in steps:
            if step[0] not in {'lose', 'refuse'}:
                model.step(*step)
        model.finish()
        extra = len(model.sent) - SHARDS
        self.assertLessEqual(extra, TOKENS)
        self.assertEqual(model.context.budget.tokens, TOKENS - extra)
