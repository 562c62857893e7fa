"""A fake target: slots, service times, faults and its own counters."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from math import log

from almonddock_core import model
from almonddock_core.deployment import Target
from almonddock_standins import build_rows
from tests.scenarios.simulation import Simulation

#: Standard deviation of the logarithm of service times.
SIGMA = 0.3
OVERLOAD_FACTOR = 10
#: Time in which the reply that reports the cold start may be in transit.
NOTICE_DELAY = timedelta(milliseconds=5)

REFUSALS = (
    ('down', model.Reason.TARGET_UNREACHABLE),
    ('drains', model.Reason.DRAINING),
    ('sheds', model.Reason.OVERLOADED),
)

ReplyCallback = Callable[[model.SubReply], None]


@dataclass(slots=True)
class Counts:
    run: int = 0
    over_slots: int = 0
    #: Sub-queries above the cold slots after the target reported cold.
    over_cold: int = 0
    cancelled: int = 0


class FakeTarget:
    def __init__(
        self,
        sim: Simulation,
        target: Target,
        service_time: timedelta,
    ) -> None:
        self.target = target
        self.counts = Counts()
        self.runs: Counter[tuple[str, model.ShardId]] = Counter()
        self.arrivals: list[timedelta] = []
        self.versions = {model.IndexVersion(1)}
        self._sim = sim
        self._log_mean = log(service_time.total_seconds())
        self._faults: dict[str, float] = {}
        self._running: dict[
            model.AttemptId, tuple[model.SubQuery, ReplyCallback]
        ] = {}
        self._cold_reported_at: timedelta | None = None
        self._previous_reply: model.SubReply | None = None

    def switch_fault(self, fault: str, number: float | None) -> None:
        self._cold_reported_at = None
        if fault == 'recovers':
            self._faults.clear()
        else:
            self._faults[fault] = 1 if number is None else number
        if fault == 'down':
            for sub, deliver in list(self._running.values()):
                self._finish(sub, deliver, model.Reason.TARGET_UNREACHABLE)

    def receive(self, sub: model.SubQuery, deliver: ReplyCallback) -> None:
        now = self._sim.now
        self.arrivals.append(now)
        refusal = self._find_refusal(sub)
        if refusal is not model.Reason.NONE:
            version = max(self.versions)
            deliver(
                self._reply(sub, model.ReplyStatus.NOT_RUN, refusal, version)
            )
            return
        self.counts.run += 1
        self.runs[sub.request_id, sub.shard] += 1
        seconds = self._sim.random.lognormvariate(self._log_mean, SIGMA)
        seconds *= self._faults.get('slow', 1)
        if 'turns-cold' in self._faults and self._running:
            seconds *= OVERLOAD_FACTOR
        self._running[sub.attempt_id] = (sub, deliver)
        if 'silent' not in self._faults:
            finish = partial(self._finish, sub, deliver, model.Reason.NONE)
            self._sim.call_later(timedelta(seconds=seconds), finish)

    def cancel(self, attempt_id: model.AttemptId) -> None:
        running = self._running.get(attempt_id)
        if running and 'silent' not in self._faults:
            self.counts.cancelled += 1
            self._finish(*running, model.Reason.CANCELLED)

    def _find_refusal(self, sub: model.SubQuery) -> model.Reason:
        running = len(self._running)
        for fault, reason in REFUSALS:
            if fault in self._faults:
                return reason
        if 'cold' in self._faults and running >= self.target.entry.cold_slots:
            reported = self._cold_reported_at
            if reported is not None and self._sim.now > reported + NOTICE_DELAY:
                self.counts.over_cold += 1
            self._cold_reported_at = reported or self._sim.now
            return model.Reason.COLD
        if running >= self.target.entry.slots:
            self.counts.over_slots += 1
            return model.Reason.OVERLOADED
        if sub.version not in self.versions:
            return model.Reason.WRONG_VERSION
        return model.Reason.NONE

    def _finish(
        self, sub: model.SubQuery, deliver: ReplyCallback, reason: model.Reason
    ) -> None:
        if self._running.pop(sub.attempt_id, None) is None:
            return
        if reason is model.Reason.TARGET_UNREACHABLE:
            deliver(self._reply(sub, model.ReplyStatus.UNKNOWN, reason, None))
            return
        if reason is model.Reason.CANCELLED:
            deliver(self._reply(sub, model.ReplyStatus.FAILED, reason, None))
            return
        version = sub.version
        if 'wrong-version' in self._faults:
            version = model.IndexVersion(version + 1)
        reply = self._reply(sub, model.ReplyStatus.OK, reason, version)
        reply = replace(reply, rows=build_rows(sub.shard, version))
        if 'cold' in self._faults:
            self._cold_reported_at = self._cold_reported_at or self._sim.now
        previous = self._previous_reply
        self._previous_reply = reply
        if 'crossed' in self._faults and previous is not None:
            reply = previous
        late = timedelta(milliseconds=self._faults.get('late', 0))
        self._sim.call_later(late, partial(deliver, reply))
        if 'doubled' in self._faults:
            self._sim.call_later(late, partial(deliver, reply))

    def _reply(
        self,
        sub: model.SubQuery,
        status: model.ReplyStatus,
        reason: model.Reason,
        version: model.IndexVersion | None = None,
    ) -> model.SubReply:
        load_report = model.LoadReport(
            'cold' in self._faults, 'drains' in self._faults
        )
        reply = build_reply(sub, status, reason)
        return replace(reply, version=version, load_report=load_report)


def build_reply(
    sub: model.SubQuery, status: model.ReplyStatus, reason: model.Reason
) -> model.SubReply:
    return model.SubReply(
        sub.attempt_id, sub.request_id, sub.shard, sub.target, status, reason
    )
