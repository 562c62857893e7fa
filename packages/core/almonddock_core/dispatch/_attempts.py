"""The open attempts of one request."""

from datetime import timedelta

from almonddock_core.dispatch._actions import Failure, Send
from almonddock_core.dispatch._branch import Attempt, Branch, BranchCounts
from almonddock_core.dispatch._decision_log import (
    AttemptOutcome,
    AttemptReason,
    DecisionLog,
)
from almonddock_core.dispatch._requests import TargetReply
from almonddock_core.placement import TypicalLatency, UnrepeatableRequest
from almonddock_core.rollouts import Outcome, RolloutTable
from almonddock_core.routing import KnownTarget, Route


class AttemptTracker:
    """Numbers attempts, and tracks those without an outcome."""

    def __init__(
        self,
        route: Route,
        latency: TypicalLatency,
        rollouts: RolloutTable,
    ) -> None:
        """Takes the request's route and the route's typical latency.

        ``rollouts`` counts how attempts end by the version of their target.
        """
        self._rollouts = rollouts
        self._route = route
        self._latency = latency
        self.decisions = DecisionLog()
        self._answered = 0
        self._waiting = 0
        self._open: dict[int, Attempt] = {}
        # All attempts, by number; those below the second number are hedged or
        # closed.
        self._sent: list[Attempt] = []
        self._unhedged_from = 0

    def send(
        self,
        branch: Branch,
        target: KnownTarget,
        now: timedelta,
        reason: AttemptReason = AttemptReason.FIRST,
    ) -> Send:
        """Opens an attempt."""
        self.decisions.add_attempt(target, reason, now)
        number = len(self._sent)
        is_hedge = reason is AttemptReason.HEDGE
        attempt = Attempt(number, branch, target, now, is_hedge=is_hedge)
        self._sent.append(attempt)
        self._open[number] = attempt
        if not (branch.open or branch.succeeded):
            self._waiting += 1
        branch.open.append(attempt)
        branch.tried.add(target.entry.target_id)
        branch.sent += 1
        target.health.in_flight += 1
        if not self._route.idempotent:
            typical = timedelta(seconds=self._latency.seconds)
            attempt.unrepeatable = UnrepeatableRequest(now, typical)
            target.health.unrepeatable[attempt.unrepeatable] = None
        return Send(number, target)

    def close(
        self,
        number: int,
        outcome: AttemptOutcome,
        now: timedelta,
    ) -> Attempt | None:
        """Closes an attempt; returns None if it was closed before."""
        attempt = self._open.pop(number, None)
        if attempt is not None:
            self.decisions.end_attempt(number, outcome, now)
            branch = attempt.branch
            branch.open.remove(attempt)
            if not (branch.open or branch.succeeded):
                self._waiting -= 1
            health = attempt.target.health
            health.in_flight -= 1
            if attempt.unrepeatable is not None:
                del health.unrepeatable[attempt.unrepeatable]
        return attempt

    def count(
        self,
        attempt: Attempt,
        outcome: Outcome,
        now: timedelta,
        slowness: float = 0,
    ) -> None:
        """Counts how an attempt ended, for the version of its target.

        ``slowness`` is its time relative to the typical one.
        """
        target = attempt.target
        self._rollouts.record_answer(
            target.entry,
            self._route.name,
            outcome,
            slowness,
            is_cold=target.cold_until > now,
        )

    def replace_reply(
        self, number: int, outcome: TargetReply | Failure
    ) -> None:
        """Replaces an earlier reply of the shard with a merged one."""
        if isinstance(outcome, Failure) or outcome.group is None:
            return
        self.record_success(self._sent[number].branch, outcome)

    def record_success(self, branch: Branch, reply: TargetReply) -> None:
        """Records the success of a branch, which replaces an earlier one."""
        branch.reply = reply
        if branch.succeeded:
            return
        branch.succeeded = True
        self._answered += 1
        if branch.open:
            self._waiting -= 1

    def list_replies(self) -> list[TargetReply]:
        """Returns the successful replies so far, one for each branch."""
        branches = {id(one.branch): one.branch for one in self._sent}
        return [
            branch.reply
            for branch in branches.values()
            if branch.succeeded and branch.reply is not None
        ]

    def record_handed_over(self, now: timedelta) -> None:
        """Records that the first attempts were handed over for sending.

        They are late from then on: before that, this host was.
        """
        self.decisions.handed_over = now
        for attempt in self._open.values():
            attempt.started = now

    def count_branches(self) -> BranchCounts:
        """Returns how far the branches are."""
        return BranchCounts(self._answered, self._waiting)

    def list_open(self) -> tuple[Attempt, ...]:
        """Returns the open attempts, oldest first."""
        return tuple(self._open.values())

    def find_unhedged(self) -> Attempt | None:
        """Returns the oldest attempt that was not hedged."""
        while self._unhedged_from < len(self._sent):
            attempt = self._sent[self._unhedged_from]
            if not attempt.hedged and attempt.number in self._open:
                return attempt
            self._unhedged_from += 1
        return None
