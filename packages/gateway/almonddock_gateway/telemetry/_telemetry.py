"""What the gateway tells about its decisions."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Protocol

from almonddock_core.dispatch import Dispatch, MergedAnswer, Refusal
from almonddock_core.model import Clock
from almonddock_core.routing import KnownTarget, TargetChange
from almonddock_gateway.telemetry._lines import LineBudget, LineWriter
from almonddock_gateway.telemetry._metrics import GatewayMetrics

FIRST_FAILURE_STATUS = 300
MS = timedelta(milliseconds=1)

#: The status that stands for a caller that left before its answer.
CALLER_LEFT = 0


class FinishedExchange(Protocol):
    """What the log needs of a request that has ended."""

    dispatch: Dispatch
    asked: list[tuple[timedelta, KnownTarget]]


class RejectedRequest(Protocol):
    """Why a request was not served."""

    @property
    def status(self) -> int:
        """The status that the caller got."""
        ...

    @property
    def reason(self) -> str:
        """The fault, for people."""
        ...


class Telemetry:
    """Writes one line for each decision, and counts."""

    def __init__(
        self,
        lines: LineWriter,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        self.metrics = metrics
        self._lines = lines
        self._clock = clock

    def note(self, event: str, **fields: Any) -> None:
        """Writes a start, a stop, a reload or a change of belief."""
        self._lines.write(LineBudget.BELIEF, event, **fields)

    def note_targets(
        self, changes: Iterable[TargetChange], revision: int
    ) -> None:
        """Writes changes of belief about targets."""
        for change in changes:
            self.note(
                'target_changed',
                target=change.target_id,
                service=change.service,
                change=change.change,
                store_revision=revision,
            )

    def note_rejected(
        self,
        request_id: bytes,
        rejection: RejectedRequest,
        version: int,
    ) -> None:
        """Writes a request that cannot be served as it is."""
        self._lines.write(
            LineBudget.FAILURE,
            'request_rejected',
            request_id=request_id.decode('latin-1'),
            status=rejection.status,
            reason=rejection.reason,
            configuration=version,
        )

    def note_turned_away(self, request_id: bytes) -> None:
        """Writes a request that this host cannot take now."""
        self._lines.write(
            LineBudget.FAILURE,
            'request_turned_away',
            request_id=request_id.decode('latin-1'),
        )

    def note_finished(
        self,
        exchange: FinishedExchange,
        status: int,
        version: int,
    ) -> None:
        """Writes the end of a request, and counts it."""
        dispatch = exchange.dispatch
        request = dispatch.request
        route = request.route
        elapsed = self._clock.now() - request.arrived
        self._count(dispatch, status, elapsed)
        failed = not 0 < status < FIRST_FAILURE_STATUS
        late = elapsed > route.latency_goal
        budget = LineBudget.FAILURE if failed or late else LineBudget.ROUTINE
        if not self._lines.has_room(budget):
            self._lines.count_dropped('request_finished')
            return
        self._lines.write(
            budget,
            'request_finished',
            request_id=request.request_id,
            route=route.name,
            configuration=version,
            status=status,
            elapsed_ms=round(elapsed / MS, 1),
            **_describe_answer(dispatch),
            extra_tries=dispatch.extra_tries,
            asked=_describe_asked(exchange, detailed=failed or late),
        )

    def flush(self) -> None:
        """Writes what waits, as far as the reader takes it."""
        self._lines.flush()

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


def _describe_asked(
    exchange: FinishedExchange,
    *,
    detailed: bool,
) -> list[list[Any]]:
    """Returns when each target was asked, and what was known of it.

    Good answers tell only the tries after the first ones.
    """
    arrived = exchange.dispatch.request.arrived
    services = len(exchange.dispatch.request.services)
    shown = exchange.asked if detailed else exchange.asked[services:]
    return [
        [
            round((sent - arrived) / MS, 1),
            target.entry.target_id,
            target.entry.service,
            round(target.health.slowness, 2),
            round(target.health.failure_share, 2),
            target.health.in_flight,
        ]
        for sent, target in shown
    ]
