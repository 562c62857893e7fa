"""Limits the work in progress and sheds queries by urgency and worth."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.admission._actions import (
    AdmissionAction,
    Admit,
    Refuse,
)
from almonddock_core.admission._settings import AdmissionSettings
from almonddock_core.admission._waiting import WaitingQuery, WaitingQueue
from almonddock_core.model import Query, Reason, RequestId


@dataclass(frozen=True, slots=True)
class _AdmittedQuery:
    """A query that was admitted."""

    units: int
    since: timedelta


class Admission:
    """Admits the queries of one workload at one host.

    Queries above the limit of work in progress wait, ordered by urgency and
    then by worth per sub-query. A query that is not expected to end before
    its deadline is refused early.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._waiting = WaitingQueue()
        self._running: dict[RequestId, _AdmittedQuery] = {}
        self._units = 0
        self._limit = settings.max_units
        self._duration = settings.default_duration

    def update_limit(self, units: int) -> None:
        """Sets the limit of sub-queries in progress."""
        self._limit = units

    def offer(
        self,
        query: Query,
        units: int,
        now: timedelta,
    ) -> list[AdmissionAction]:
        """Queues a query that needs ``units`` sub-queries."""
        self._waiting.add(WaitingQuery(query, units))
        return self._process_queue(now)

    def finish(
        self,
        request_id: RequestId,
        now: timedelta,
    ) -> list[AdmissionAction]:
        """Frees the units of a query that has ended."""
        ended = self._running.pop(request_id, None)
        if ended is None:
            return []
        self._units -= ended.units
        lasted = now - ended.since
        self._duration += self._settings.weight * (lasted - self._duration)
        return self._process_queue(now)

    def withdraw(
        self,
        request_id: RequestId,
        now: timedelta,
    ) -> list[AdmissionAction]:
        """Removes a query whose caller has disconnected, in any state."""
        self._waiting.remove(request_id)
        ended = self._running.pop(request_id, None)
        if ended is not None:
            self._units -= ended.units
        return self._process_queue(now)

    def tick(self, now: timedelta) -> list[AdmissionAction]:
        """Refuses the queries that can no longer end in time."""
        return self._process_queue(now)

    def next_wake(self) -> timedelta | None:
        """Returns when ``tick`` is due, None while no query waits."""
        deadline = self._waiting.next_deadline()
        return None if deadline is None else deadline - self._duration

    def _process_queue(self, now: timedelta) -> list[AdmissionAction]:
        actions: list[AdmissionAction] = [
            Refuse(one.query.request_id, Reason.TIMED_OUT)
            for one in self._waiting.take_late(now + self._duration)
        ]
        while (first := self._waiting.first) and self._fits_limit(first):
            self._waiting.take_first()
            request_id = first.query.request_id
            self._running[request_id] = _AdmittedQuery(first.units, now)
            self._units += first.units
            actions.append(Admit(request_id))
        while len(self._waiting) > self._settings.max_waiting:
            last = self._waiting.take_last()
            actions.append(Refuse(last.query.request_id, Reason.OVERLOADED))
        return actions

    def _fits_limit(self, waiting: WaitingQuery) -> bool:
        return not self._running or self._units + waiting.units <= self._limit
