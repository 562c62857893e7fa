"""Logs the gateway's decisions and updates its metrics."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Protocol

from almonddock_core.dispatch import (
    AttemptOutcome,
    AttemptReason,
    AttemptRecord,
    DecisionLog,
    Dispatch,
    DispatchedRequest,
    MergedAnswer,
    Refusal,
)
from almonddock_core.model import Clock, split_revision
from almonddock_core.routing import Rejected, Route, TargetChange
from almonddock_gateway.telemetry._lines import LineBudget, LineWriter
from almonddock_gateway.telemetry._metrics import GatewayMetrics

FIRST_FAILURE_STATUS = 300
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
MS = timedelta(milliseconds=1)

#: The status recorded for a caller that disconnected before its answer.
CALLER_LEFT = 0


#: Outcomes of first attempts that are not logged separately. A tuple, since a
#: member of an enumeration is slow to hash.
ROUTINE_OUTCOMES = (
    AttemptOutcome.SUCCESS,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.OPEN,
)


class FinishedExchange(Protocol):
    """The part of a finished exchange that is logged."""

    dispatch: Dispatch


class AdmissionRequest(Protocol):
    """The part of a routed request that is logged."""

    @property
    def request_id(self) -> str:
        """The id that the caller sent."""
        ...

    @property
    def route(self) -> Route:
        """Where it goes."""
        ...


class RejectedRequest(Protocol):
    """The part of a rejection that is logged."""

    @property
    def status(self) -> int:
        """The status sent to the caller."""
        ...

    @property
    def reason(self) -> str:
        """The reason as text for operators."""
        ...


class Telemetry:
    """Writes one log line for each decision, and updates metrics."""

    def __init__(
        self,
        lines: LineWriter,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        self.metrics = metrics
        self._lines = lines
        self._clock = clock

    def log_event(self, event: str, /, **fields: Any) -> None:
        """Logs a start, a stop, a reload or a change of known state."""
        self._lines.write(LineBudget.STATE, event, **_split_revisions(fields))

    def log_target_changes(
        self, changes: Iterable[TargetChange], revision: int
    ) -> None:
        """Logs changes in the target table."""
        for change in changes:
            self.log_event(
                'target_changed',
                target=change.target_id,
                service=change.service,
                change=change.change,
                store_revision=revision,
            )

    def log_rejected(
        self,
        request_id: bytes,
        rejection: RejectedRequest,
        version: int,
        age: timedelta | None,
    ) -> None:
        """Logs a request that is invalid or has no route.

        ``age`` is how long ago the version was known to be the newest.
        """
        self._lines.write(
            LineBudget.FAILURE,
            'request_rejected',
            request_id=request_id.decode('latin-1'),
            status=rejection.status,
            reason=rejection.reason,
            configuration=version,
            configuration_age_ms=_count_age_ms(age),
        )

    def log_unavailable(self, request_id: bytes, reason: str) -> None:
        """Logs a request that this host cannot accept now."""
        self._lines.write(
            LineBudget.FAILURE,
            'request_turned_away',
            request_id=request_id.decode('latin-1'),
            status=UNAVAILABLE,
            reason=reason,
        )

    def log_not_admitted(
        self,
        request: AdmissionRequest,
        rejected: Rejected,
        status: int,
        **belief: Any,
    ) -> None:
        """Logs a request whose caller is not let in, and what was known."""
        self.metrics.rejections.inc({'reason': rejected.reason.value})
        self._lines.write(
            LineBudget.FAILURE,
            'caller_not_admitted',
            request_id=request.request_id,
            route=request.route.name,
            status=status,
            reason=rejected.reason.value,
            retry_after=rejected.retry_after,
            **belief,
        )

    def log_over_quota(
        self,
        request_id: str,
        organisation: str,
        retry_after: timedelta,
        version: int,
    ) -> None:
        """Logs a request over the quota of its organisation.

        These lines may be many and displace none on other failures.
        """
        if not self._lines.has_room(LineBudget.ROUTINE):
            self._lines.count_dropped('request_over_quota')
            return
        self._lines.write(
            LineBudget.ROUTINE,
            'request_over_quota',
            request_id=request_id,
            organisation=organisation,
            status=TOO_MANY_REQUESTS,
            retry_after_ms=_count_ms(retry_after),
            configuration=version,
        )

    def log_finished(
        self,
        exchange: FinishedExchange,
        status: int,
        version: int,
        age: timedelta | None,
    ) -> None:
        """Logs the end of a request and updates the metrics.

        ``age`` is how long ago the version was known to be the newest.
        """
        dispatch = exchange.dispatch
        request = dispatch.request
        route = request.route
        elapsed = self._clock.now() - request.arrived
        self._count(dispatch, status, elapsed)
        served = 0 < status < FIRST_FAILURE_STATUS
        in_time = served and elapsed <= route.latency_goal
        budget = LineBudget.ROUTINE if in_time else LineBudget.FAILURE
        # With a single target, its line is the only sign of what was slow.
        self._log_attempts(
            dispatch, budget, log_all=not (in_time or route.shards)
        )
        if not self._lines.has_room(budget):
            self._lines.count_dropped('request_finished')
            return
        self._lines.write(
            budget,
            'request_finished',
            request_id=request.request_id,
            route=route.name,
            **_describe_organisation(request),
            configuration=version,
            configuration_age_ms=_count_age_ms(age),
            status=status,
            elapsed_ms=_count_ms(elapsed),
            goal_ms=round(route.latency_goal / MS),
            **_describe_answer(dispatch),
            **_describe_steps(dispatch),
            **_describe_decisions(dispatch.decisions, detailed=not in_time),
        )

    def flush(self) -> None:
        """Writes buffered lines as far as the reader accepts them."""
        self._lines.flush()

    def _log_attempts(
        self,
        dispatch: Dispatch,
        budget: LineBudget,
        *,
        log_all: bool,
    ) -> None:
        for record in dispatch.decisions.attempts:
            if log_all or _is_notable(record):
                self._log_attempt(dispatch, record, budget)

    def _log_attempt(
        self,
        dispatch: Dispatch,
        record: AttemptRecord,
        budget: LineBudget,
    ) -> None:
        """Logs one attempt, with the target's state at the send."""
        if not self._lines.has_room(budget):
            self._lines.count_dropped('try_ended')
            return
        request = dispatch.request
        entry = record.target.entry
        reached = record.reached
        self._lines.write(
            budget,
            'try_ended',
            request_id=request.request_id,
            service=entry.service,
            target=entry.target_id,
            target_data_centre=entry.data_centre,
            reason=record.reason.value,
            outcome=record.outcome.value,
            sent_ms=_count_ms(record.sent - request.arrived),
            ended_ms=_count_ms((record.ended or record.sent) - request.arrived),
            slowness=round(record.slowness, 2),
            failure_share=round(record.failure_share, 2),
            in_flight=record.in_flight,
            reached_ms_ago=(
                None if reached is None else _count_ms(record.sent - reached)
            ),
        )

    def _count(
        self,
        dispatch: Dispatch,
        status: int,
        elapsed: timedelta,
    ) -> None:
        metrics = self.metrics
        labels = {'route': dispatch.request.route.name}
        metrics.answers.inc({**labels, 'status': str(status)})
        metrics.latency.observe(labels, elapsed.total_seconds())
        if dispatch.extra_tries:
            metrics.extra_tries.add(labels, dispatch.extra_tries)
        answer = dispatch.answer
        if isinstance(answer, MergedAnswer) and answer.missing:
            metrics.missing_shards.add(labels, len(answer.missing))


def _count_ms(span: timedelta) -> float:
    return round(span / MS, 1)


def _count_age_ms(age: timedelta | None) -> float | None:
    return None if age is None else _count_ms(age)


def _describe_organisation(request: DispatchedRequest) -> dict[str, Any]:
    found = request.organisation
    return {} if found is None else {'organisation': found.name}


def _describe_answer(dispatch: Dispatch) -> dict[str, Any]:
    answer = dispatch.answer
    if isinstance(answer, MergedAnswer):
        return {
            'outcome': 'partial' if answer.missing else 'whole',
            'missing': answer.missing,
        }
    if isinstance(answer, Refusal):
        return {'outcome': answer.reason.value, 'not_run': answer.not_run}
    if answer is None:
        return {'outcome': 'caller_left'}
    return {'outcome': answer.reply.kind.value}


def _describe_steps(dispatch: Dispatch) -> dict[str, Any]:
    """Returns the points in time of a query that was relayed.

    ``groups`` are the messages of other hosts: when each was read, how many
    outcomes it had, and the longest time that a target took for one.
    """
    decisions = dispatch.decisions
    arrived = dispatch.request.arrived
    steps: dict[str, Any] = {}
    if decisions.handed_over is not None:
        steps['asked_ms'] = _count_ms(decisions.handed_over - arrived)
    if decisions.groups:
        steps['groups'] = [
            [
                _count_ms(group.received - arrived),
                group.outcomes,
                _count_ms(group.slowest),
            ]
            for group in decisions.groups
        ]
    if decisions.due is not None:
        steps['due_ms'] = _count_ms(decisions.due - arrived)
    return steps


def _is_notable(record: AttemptRecord) -> bool:
    """Returns whether an attempt gets its own log line.

    First attempts do not, unless they failed. A cancelled first attempt lost
    against its hedge, which has its own line, or was no longer needed.
    """
    if record.reason is not AttemptReason.FIRST:
        return True
    return record.outcome not in ROUTINE_OUTCOMES


def _describe_decisions(
    decisions: DecisionLog, *, detailed: bool
) -> dict[str, Any]:
    """Returns the decisions as fields of a log line.

    ``dark`` counts the unreachable targets of each service without a reachable
    one; ``detailed`` adds the unanswered attempts.
    """
    described: dict[str, Any] = {'tries': len(decisions.attempts)}
    if decisions.unavailable:
        described['dark'] = {
            one.service: one.unreachable for one in decisions.unavailable
        }
    if decisions.over_budget:
        described['over_budget'] = decisions.over_budget
    if decisions.not_hedged:
        described['not_hedged'] = decisions.not_hedged
    if detailed:
        described['unanswered'] = [
            [record.target.entry.service, record.target.entry.target_id]
            for record in decisions.attempts
            if record.outcome in {AttemptOutcome.OPEN, AttemptOutcome.CANCELLED}
        ]
    return described


def _split_revisions(fields: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields, with eras of the store in fields of their own.

    A revision of era 0 is written as the number alone, as is one of a store
    that does not state eras.
    """
    split: dict[str, Any] = {}
    for name, found in fields.items():
        split[name] = found
        if not name.endswith('revision') or not isinstance(found, int):
            continue
        era, number = split_revision(found)
        split[name] = number
        if era:
            split[name.replace('revision', 'era')] = era
    return split
