"""The state machine of one request."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from functools import partial
from types import MappingProxyType

from almonddock_core.dispatch._actions import (
    Action,
    Answer,
    Cancel,
    Failure,
    Finish,
    MergedAnswer,
    Send,
    Withdraw,
)
from almonddock_core.dispatch._attempts import AttemptTracker
from almonddock_core.dispatch._branch import Attempt, Branch
from almonddock_core.dispatch._context import DispatchContext
from almonddock_core.dispatch._decision_log import (
    AttemptOutcome,
    AttemptReason,
    GroupRecord,
    UnavailableService,
)
from almonddock_core.dispatch._outcome import (
    build_answer,
    build_no_target_refusal,
    count_needed,
    find_due,
)
from almonddock_core.dispatch._requests import (
    DispatchedRequest,
    ReplyKind,
    TargetReply,
)
from almonddock_core.dispatch._timing import end_timing, plan_timing
from almonddock_core.placement import choose_target
from almonddock_core.rollouts import Outcome
from almonddock_core.routing import KnownTarget

#: How an attempt ends with each kind of reply, or without one.
OUTCOMES: Mapping[ReplyKind | Failure, AttemptOutcome] = MappingProxyType(
    {kind: AttemptOutcome(kind.value) for kind in (*ReplyKind, *Failure)},
)


class Dispatch:
    """Sends one request and decides when and how it is answered."""

    def __init__(
        self,
        request: DispatchedRequest,
        context: DispatchContext,
    ) -> None:
        self.request = request
        #: The answer, once the dispatch has finished.
        self.answer: Answer | None = None
        #: Attempts beyond one for each service.
        self.extra_tries = 0
        self._context = context
        #: The typical latency of the route's requests to targets.
        self.latency = context.get_latency(request.route)
        self.timing = plan_timing(
            request,
            context.sending.estimate(request.route),
            self.latency.measured,
        )
        self._branches = [Branch(service) for service in request.services]
        self._attempts = AttemptTracker(
            request.route, self.latency, context.rollouts
        )
        #: The decisions of this request, for the log.
        self.decisions = self._attempts.decisions
        #: Records when the first attempts were handed over for sending.
        self.record_handed_over = self._attempts.record_handed_over
        #: Returns the successful replies so far.
        self.list_replies = self._attempts.list_replies
        #: Services whose hedge was refused, until a watcher was asked for it.
        self.unfunded: list[str] = []
        #: Records how late an answer that was due was sent, and its bytes.
        self.observe_sending = partial(context.sending.observe, request.route)
        self._now = request.arrived

    @property
    def wake_at(self) -> timedelta:
        """When to call :meth:`tick` at the latest."""
        timing = self.timing
        wakes = [timing.give_up_at]
        if self.request.route.shards:
            wakes.extend((timing.partial_from, timing.late_partial_from))
        now = self._now
        wake_at = min(
            (wake for wake in wakes if wake > now),
            default=timing.give_up_at,
        )
        oldest = self._attempts.find_unhedged()
        if oldest is None:
            return wake_at
        # Stays due until a tick: replies may be read before it runs.
        return min(wake_at, oldest.started + timing.hedge_after)

    def start(self, now: timedelta) -> list[Action]:
        """Sends the first attempt of every branch."""
        self._now = now
        self._context.budget.count_request(self.request.route.name, now)
        targets = self._context.choose_first(
            self.request.services,
            lambda index: self._list_candidates(self._branches[index]),
            now,
        )
        chosen = [
            (branch, target)
            for branch, target in zip(self._branches, targets, strict=True)
            if target is not None
        ]
        if len(chosen) < count_needed(self.request.route):
            wait = self._context.measure_rest(self.request.services, now)
            return self._finish(build_no_target_refusal(wait))
        actions: list[Action] = []
        for branch, target in chosen:
            self._context.rollouts.record_request(branch.service)
            self._context.record_sent(target, now)
            actions.append(self._attempts.send(branch, target, now))
        return self._finish_if_decided(actions)

    def receive(
        self,
        number: int,
        reply: TargetReply,
        now: timedelta,
    ) -> list[Action]:
        """Handles the reply to an attempt."""
        self._now = now
        attempt = self._attempts.close(number, OUTCOMES[reply.kind], now)
        if attempt is None:
            return []
        return self._finish_if_decided(self._handle_reply(attempt, reply))

    def receive_group(
        self,
        replies: Iterable[tuple[int, TargetReply | Failure]],
        now: timedelta,
    ) -> list[Action]:
        """Handles the outcomes that another host sent in one message.

        All are recorded before the answer is decided, because merged replies
        are used together. A group's reply for a shard replaces one that a
        hedge got before: the shard's records are part of the group's.
        """
        self._now = now
        if self.answer is not None:
            return []
        actions: list[Action] = []
        replies = tuple(replies)
        self.decisions.groups.append(_describe_group(replies, now))
        for number, outcome in replies:
            attempt = self._attempts.close(number, _find_outcome(outcome), now)
            if attempt is None:
                self._attempts.replace_reply(number, outcome)
            elif isinstance(outcome, Failure):
                actions.extend(self._handle_failure(attempt, outcome))
            else:
                actions.extend(self._handle_reply(attempt, outcome))
        return self._finish_if_decided(actions)

    def fail(
        self,
        number: int,
        failure: Failure,
        now: timedelta,
    ) -> list[Action]:
        """Handles the end of an attempt without a reply."""
        self._now = now
        attempt = self._attempts.close(number, OUTCOMES[failure], now)
        if attempt is None:
            return []
        return self._finish_if_decided(self._handle_failure(attempt, failure))

    def tick(
        self, now: timedelta, funded: Collection[str] = ()
    ) -> list[Action]:
        """Hedges, answers with shards missing, or gives up, when due.

        ``funded`` are services at which a watcher has granted an attempt.
        """
        self._now = now
        if self.answer is not None:
            return []
        actions: list[Action] = []
        due = now - self.timing.hedge_after
        waiting = [
            attempt
            for attempt in self._attempts.list_open()
            if not attempt.hedged and attempt.started <= due
        ]
        for attempt in waiting:
            attempt.hedged = True
            actions.extend(self._hedge(attempt))
        for branch in self._branches if funded else ():
            if branch.service in funded and len(branch.open) == 1:
                actions.extend(
                    self._send_another(
                        branch, AttemptReason.HEDGE, is_funded=True
                    )
                )
        return self._finish_if_decided(actions)

    def give_up(self, now: timedelta) -> list[Action]:
        """Answers with what is known, because the host stops."""
        self._now = now
        if self.answer is not None:
            return []
        self.timing = end_timing(self.timing, now)
        return self._finish_if_decided([])

    def abandon(self, now: timedelta) -> list[Action]:
        """Cancels all open attempts, because the caller has left."""
        self._now = now
        waiting = self._attempts.list_open()
        return [self._cancel(attempt) for attempt in waiting]

    def _handle_reply(
        self, attempt: Attempt, reply: TargetReply
    ) -> list[Action]:
        if reply.kind is ReplyKind.SUCCESS:
            return self._handle_success(attempt, reply)
        branch = attempt.branch
        attempt.target.health.observe_failure(self._now)
        if reply.kind is ReplyKind.FAILED:
            self._attempts.count(attempt, Outcome.FAILED, self._now)
            branch.may_have_run = True
            branch.reply = reply
        else:
            branch.refused = True
            if reply.kind is ReplyKind.MISDIRECTED:
                attempt.target.replaced = True
        return self._send_another(branch)

    def _handle_failure(
        self, attempt: Attempt, failure: Failure
    ) -> list[Action]:
        branch = attempt.branch
        if failure is not Failure.WITHDRAWN:
            attempt.target.health.observe_connection_failure(self._now)
        if failure is Failure.LOST:
            self._attempts.count(attempt, Outcome.FAILED, self._now)
            branch.may_have_run = True
        else:
            branch.sent -= 1
        return self._send_another(branch)

    def _handle_success(
        self, attempt: Attempt, reply: TargetReply
    ) -> list[Action]:
        branch = attempt.branch
        self._attempts.record_success(branch, reply)
        elapsed = reply.elapsed or self._now - attempt.started
        slowness = self._context.measure_slowness(
            self.latency, attempt.target, elapsed.total_seconds()
        )
        self._attempts.count(attempt, Outcome.SUCCEEDED, self._now, slowness)
        attempt.target.health.observe_reply(slowness, self._now)
        if attempt.is_hedge:
            self._context.hedges.record_answered(branch.service, self._now)
        if not branch.open:
            return []
        return [self._cancel(other) for other in tuple(branch.open)]

    def _hedge(self, attempt: Attempt) -> list[Action]:
        branch = attempt.branch
        if not self.request.route.idempotent:
            return [Withdraw(attempt.number)]
        if len(branch.open) > 1:
            return []
        if not self._context.hedges.may_hedge(branch.service, self._now):
            self.decisions.not_hedged.append(branch.service)
            return []
        return self._send_another(branch, AttemptReason.HEDGE)

    def _send_another(
        self,
        branch: Branch,
        reason: AttemptReason = AttemptReason.RETRY,
        *,
        is_funded: bool = False,
    ) -> list[Action]:
        """Sends another attempt, if one is allowed and a target is left."""
        route = self.request.route
        if branch.sent >= route.max_attempts:
            return []
        if branch.may_have_run and not route.idempotent:
            return []
        context = self._context
        candidates = self._list_candidates(branch)
        if not candidates:
            return []
        if branch.sent and not is_funded:
            routes = context.list_routes_to(branch.service)
            if not context.budget.try_spend(branch.service, routes, self._now):
                self.decisions.over_budget.append(branch.service)
                if reason is AttemptReason.HEDGE:
                    self.unfunded.append(branch.service)
                return []
        target = choose_target(candidates, context.data_centre, self._now)
        assert target is not None
        if branch.sent:
            self.extra_tries += 1
        context.record_sent(target, self._now)
        return [self._attempts.send(branch, target, self._now, reason)]

    def _list_candidates(self, branch: Branch) -> list[KnownTarget]:
        """Returns the targets that may get an attempt of this branch now."""
        context = self._context
        now = self._now
        reachable, unreachable = context.list_reachable(branch.service, now)
        if not reachable:
            unavailable = UnavailableService(branch.service, unreachable)
            self.decisions.unavailable.append(unavailable)
        accepting = [
            target
            for target in reachable
            if target.entry.target_id not in branch.tried
            and context.can_accept(target, now)
        ]
        return context.rollouts.select(
            branch.service, accepting, now, is_first=not branch.tried
        )

    def _cancel(self, attempt: Attempt) -> Cancel:
        self._attempts.close(
            attempt.number, AttemptOutcome.CANCELLED, self._now
        )
        elapsed = (self._now - attempt.started).total_seconds()
        slowness = elapsed / self.latency.seconds
        attempt.target.health.observe_cancellation(slowness, self._now)
        self._attempts.count(attempt, Outcome.CANCELLED, self._now, slowness)
        if attempt.is_hedge:
            service = attempt.branch.service
            self._context.hedges.record_unanswered(service, slowness, self._now)
        return Cancel(attempt.number)

    def _finish_if_decided(self, actions: list[Action]) -> list[Action]:
        """Answers first and then cancels open attempts, once it is decided.

        New attempts are then not sent: they are cancelled too.
        """
        answer = build_answer(
            self.request,
            self.timing,
            self._branches,
            self._attempts.count_branches(),
            self._now,
        )
        if answer is None:
            return actions
        cancels = [one for one in actions if not isinstance(one, Send)]
        return self._finish(answer, cancels)

    def _finish(
        self, answer: Answer, actions: Iterable[Action] = ()
    ) -> list[Action]:
        self.answer = answer
        if isinstance(answer, MergedAnswer) and answer.missing:
            self.decisions.due = find_due(self.request, self.timing, self._now)
        cancels = [self._cancel(one) for one in self._attempts.list_open()]
        return [Finish(answer), *actions, *cancels]


def _find_outcome(outcome: TargetReply | Failure) -> AttemptOutcome:
    if isinstance(outcome, Failure):
        return OUTCOMES[outcome]
    # Most are successes, and a member of an enumeration is slow to hash.
    if outcome.kind is ReplyKind.SUCCESS:
        return AttemptOutcome.SUCCESS
    return OUTCOMES[outcome.kind]


def _describe_group(
    replies: Sequence[tuple[int, TargetReply | Failure]], now: timedelta
) -> GroupRecord:
    elapsed = [
        outcome.elapsed
        for _, outcome in replies
        if isinstance(outcome, TargetReply) and outcome.elapsed is not None
    ]
    return GroupRecord(now, len(replies), max(elapsed, default=timedelta()))
