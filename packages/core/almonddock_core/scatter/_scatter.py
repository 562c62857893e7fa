"""The state machine of the sub-queries of one query."""

from collections import Counter
from datetime import timedelta
from functools import partial

from almonddock_core.model import (
    AttemptId,
    Candidate,
    HostId,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    ShardId,
    SubReply,
)
from almonddock_core.scatter._actions import (
    Cancel,
    Finish,
    ScatterAction,
    Send,
)
from almonddock_core.scatter._choice import (
    choose_candidate,
    estimate_hedge_delay,
    estimate_wait,
)
from almonddock_core.scatter._hedging import HedgeTimer
from almonddock_core.scatter._messages import (
    build_lost_reply,
    build_sub_query,
    charge_hedge,
    charge_retry,
    is_reply_to,
    mark_wrong_version,
)
from almonddock_core.scatter._result import build_result
from almonddock_core.scatter._settings import ScatterContext, ScatterSettings
from almonddock_core.scatter._shard import Attempt, DropReason, ShardState


class Scatter:
    """Collects one reply for each shard of a plan, until the deadline.

    ``first_attempt`` numbers the first try; a query that is planned again
    passes :attr:`next_attempt` of its previous scatter, so that each try of
    the request has a unique id.
    """

    def __init__(
        self,
        query: Query,
        plan: Plan,
        settings: ScatterSettings,
        context: ScatterContext,
        *,
        first_attempt: int = 0,
    ) -> None:
        #: The number of replies that were dropped, by reason.
        self.drops: Counter[DropReason] = Counter()
        #: The number of the next try.
        self.next_attempt = first_attempt
        self._query = query
        self._plan = plan
        self._context = context
        self._settings = settings
        self._replies: dict[ShardId, SubReply] = {}
        self._unanswered: dict[ShardId, ShardState] = {}
        self._failed: dict[ShardId, ShardState] = {}
        self._attempts: dict[AttemptId, Attempt] = {}
        self._lost_owners: set[HostId] = set()
        self._hedge_timer = HedgeTimer(settings)
        self._choose = partial(
            choose_candidate,
            lost_owners=self._lost_owners,
            settings=settings,
            context=context,
        )
        self._estimate_wait = partial(
            estimate_wait,
            settings=settings,
            context=context,
        )
        self._estimate_hedge_delay = partial(
            estimate_hedge_delay,
            settings=settings,
            context=context,
        )
        self._finished = False
        self._extra_tries = 0

    def start(self, now: timedelta) -> list[ScatterAction]:
        """Sends the first try of every shard."""
        self._unanswered = {
            shard: ShardState(shard, candidates)
            for shard, candidates in self._plan.candidates.items()
        }
        if now >= self._query.deadline:
            return self._finish(Reason.TIMED_OUT)
        self._context.budget.refill(len(self._unanswered))
        actions: list[ScatterAction] = []
        for state in tuple(self._unanswered.values()):
            actions.extend(self._try_first(state, now))
        self._hedge_timer.start(now, len(self._unanswered))
        return actions + self._finish_if_settled()

    def receive(
        self,
        reply: SubReply,
        now: timedelta,
    ) -> list[ScatterAction]:
        """Counts or drops the reply, or tries the shard again."""
        attempt = self._attempts.get(reply.attempt_id)
        if attempt is None or self._finished:
            self.drops[DropReason.UNKNOWN_ATTEMPT] += 1
            return []
        if not is_reply_to(attempt, self._query.request_id, reply):
            self.drops[DropReason.CROSSED] += 1
            return []
        self._attempts.pop(reply.attempt_id)
        if reply.status is ReplyStatus.OK:
            if reply.version == self._plan.version:
                return self._count(attempt, reply, now)
            self.drops[DropReason.WRONG_VERSION] += 1
            return self._recover(attempt, mark_wrong_version(reply), now)
        return self._recover(attempt, reply, now)

    def handle_lost_owner(
        self,
        host: HostId,
        now: timedelta,
    ) -> list[ScatterAction]:
        """Ends tries at a host whose link is lost; retries their shards."""
        self._lost_owners.add(host)
        lost = [
            one
            for one in self._attempts.values()
            if one.candidate.owner == host
        ]
        actions: list[ScatterAction] = []
        for attempt in lost:
            if self._attempts.pop(attempt.attempt_id, None) is not None:
                reply = build_lost_reply(attempt, self._query.request_id)
                actions.extend(self._recover(attempt, reply, now))
        return actions

    def tick(self, now: timedelta) -> list[ScatterAction]:
        """Hedges late sub-queries, and finishes at the deadline.

        A hedge is postponed while its expected wait exceeds the time that the
        oldest running try has already waited: it would only lengthen the
        queues of a busy service. When the budget does not cover all late
        sub-queries, hedging is postponed until fewer are left, which are more
        likely to be the stragglers.
        """
        if self._finished:
            return []
        if now >= self._query.deadline:
            return self._finish(Reason.TIMED_OUT)
        if not self._query.idempotent:
            return []
        late = self._hedge_timer.take_late(self._unanswered, now)
        needed = len(late) * self._settings.hedge_reserve
        if (
            needed > self._context.budget.tokens
            and self._hedge_timer.may_postpone(now)
        ):
            self._postpone(late, now)
            return []
        actions: list[ScatterAction] = []
        for state in late:
            actions.extend(self._hedge(state, now))
        return actions

    def abandon(self, now: timedelta) -> list[ScatterAction]:
        """Cancels all tries after the caller has disconnected."""
        return [] if self._finished else self._finish(Reason.CANCELLED)

    def next_wake(self) -> timedelta | None:
        """Returns when ``tick`` must be called, None once finished."""
        if self._finished:
            return None
        due = None
        if self._query.idempotent:
            due = self._hedge_timer.next_due(len(self._unanswered))
        deadline = self._query.deadline
        return deadline if due is None else min(due, deadline)

    def _try_first(
        self,
        state: ShardState,
        now: timedelta,
    ) -> list[ScatterAction]:
        candidate = self._choose(state, now)
        if candidate is None:
            state.reason = Reason.NO_TARGET
            self._failed[state.shard] = self._unanswered.pop(state.shard)
            return []
        return [self._send(state, candidate, now)]

    def _hedge(
        self,
        state: ShardState,
        now: timedelta,
    ) -> list[ScatterAction]:
        candidate = self._choose(state, now)
        if candidate is None:
            return []
        waited = now - state.running[0].sent_at
        extra_wait = self._estimate_wait(candidate) - waited
        if extra_wait < timedelta() and charge_hedge(
            candidate.target, self._context
        ):
            cancelled = state.remove_running(candidate)
            return [*self._cancel(cancelled), self._send(state, candidate, now)]
        pause = max(extra_wait, self._settings.hedge_pause)
        self._hedge_timer.watch(state, now + pause)
        return []

    def _postpone(self, late: list[ShardState], now: timedelta) -> None:
        for state in late:
            self._hedge_timer.watch(state, now + self._settings.hedge_pause)

    def _recover(
        self,
        attempt: Attempt,
        reply: SubReply,
        now: timedelta,
    ) -> list[ScatterAction]:
        state = self._unanswered[attempt.shard]
        state.end_attempt(attempt, reply)
        # A failure counts as lateness, so that other targets are preferred.
        late = self._settings.default_quantile
        self._context.latencies.record_lateness(reply.target, late, now)
        if state.running:
            return []
        if self._query.idempotent or not state.may_have_run:
            candidate = self._choose(state, now)
            if candidate is not None and charge_retry(
                reply,
                self._context.budget,
            ):
                return [self._send(state, candidate, now)]
        self._failed[state.shard] = self._unanswered.pop(state.shard)
        return self._finish_if_settled()

    def _send(
        self,
        state: ShardState,
        candidate: Candidate,
        now: timedelta,
    ) -> Send:
        target = candidate.target
        self._extra_tries += bool(state.tries)
        sub = build_sub_query(
            self._query,
            self._plan,
            state,
            target,
            self.next_attempt,
        )
        self.next_attempt += 1
        attempt = Attempt(sub.attempt_id, state.shard, candidate, now)
        self._attempts[sub.attempt_id] = attempt
        state.begin_attempt(attempt)
        self._hedge_timer.watch(
            state, now + self._estimate_hedge_delay(candidate)
        )
        self._context.latencies.record_sent(
            target,
            self._context.loads.get(target),
        )
        return Send(sub, candidate.owner)

    def _count(
        self,
        attempt: Attempt,
        reply: SubReply,
        now: timedelta,
    ) -> list[ScatterAction]:
        state = self._unanswered.pop(attempt.shard)
        for one in state.running:
            # Zero for the winner; for a loser, how much earlier it was sent.
            late = max(attempt.sent_at - one.sent_at, timedelta())
            self._context.latencies.record_lateness(
                one.candidate.target, late, now
            )
        state.running.remove(attempt)
        self._replies[attempt.shard] = reply
        self._context.latencies.record_reply(reply, now - attempt.sent_at)
        self._hedge_timer.note_reply(now, len(self._unanswered))
        return self._cancel(state.running) + self._finish_if_settled()

    def _cancel(self, attempts: list[Attempt]) -> list[ScatterAction]:
        for attempt in attempts:
            self._attempts.pop(attempt.attempt_id)
        return [
            Cancel(attempt.attempt_id, attempt.candidate.owner)
            for attempt in attempts
        ]

    def _finish_if_settled(self) -> list[ScatterAction]:
        if self._unanswered or self._finished:
            return []
        return self._finish(Reason.NONE)

    def _finish(self, reason: Reason) -> list[ScatterAction]:
        """Ends the scatter; ``reason`` applies to unanswered shards."""
        self._finished = True
        for state in self._unanswered.values():
            state.reason = reason
        result = build_result(
            self._plan,
            self._replies,
            (*self._unanswered.values(), *self._failed.values()),
            self._extra_tries,
        )
        return [*self._cancel(list(self._attempts.values())), Finish(result)]
