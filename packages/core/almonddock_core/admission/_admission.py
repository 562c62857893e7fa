"""Bounded work in progress, with shedding by urgency and worth."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.admission._actions import (
    AdmissionAction,
    Admit,
    Refuse,
)
from almonddock_core.admission._settings import AdmissionSettings
from almonddock_core.admission._waiting import Waiting, WaitingRoom
from almonddock_core.model import Query, Reason, RequestId


@dataclass(frozen=True, slots=True)
class _InProgress:
    """A query that was admitted."""

    units: int
    since: timedelta


class Admission:
    """Admits the queries of one workload at one host.

    Queries above the limit of work in progress wait, the most urgent first
    and then those of most worth for each sub-query. One that could not end
    before its deadline is refused as soon as that is known.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._waiting = WaitingRoom()
        self._running: dict[RequestId, _InProgress] = {}
        self._units = 0
        self._limit = settings.max_units
        self._duration = settings.default_duration

    def resize(self, units: int) -> None:
        """Changes the limit of sub-queries in progress."""
        self._limit = units

    def offer(
        self,
        query: Query,
        units: int,
        now: timedelta,
    ) -> list[AdmissionAction]:
        """Takes a query that needs ``units`` sub-queries."""
        self._waiting.add(Waiting(query, units))
        return self._pump(now)

    def finish(
        self,
        request_id: RequestId,
        now: timedelta,
    ) -> list[AdmissionAction]:
        """Frees the place of a query that has ended."""
        ended = self._running.pop(request_id, None)
        if ended is None:
            return []
        self._units -= ended.units
        lasted = now - ended.since
        self._duration += self._settings.weight * (lasted - self._duration)
        return self._pump(now)

    def withdraw(
        self,
        request_id: RequestId,
        now: timedelta,
    ) -> list[AdmissionAction]:
        """Forgets a query whose caller is gone, waiting or admitted."""
        self._waiting.remove(request_id)
        ended = self._running.pop(request_id, None)
        if ended is not None:
            self._units -= ended.units
        return self._pump(now)

    def tick(self, now: timedelta) -> list[AdmissionAction]:
        """Refuses what can no longer end in time."""
        return self._pump(now)

    def next_wake(self) -> timedelta | None:
        """Returns when ``tick`` is due, None while no query waits."""
        deadline = self._waiting.next_deadline()
        return None if deadline is None else deadline - self._duration

    def _pump(self, now: timedelta) -> list[AdmissionAction]:
        actions: list[AdmissionAction] = [
            Refuse(one.query.request_id, Reason.TIMED_OUT)
            for one in self._waiting.take_late(now + self._duration)
        ]
        while (first := self._waiting.first) and self._has_place(first):
            self._waiting.take_first()
            request_id = first.query.request_id
            self._running[request_id] = _InProgress(first.units, now)
            self._units += first.units
            actions.append(Admit(request_id))
        while len(self._waiting) > self._settings.max_waiting:
            last = self._waiting.take_last()
            actions.append(Refuse(last.query.request_id, Reason.OVERLOADED))
        return actions

    def _has_place(self, waiting: Waiting) -> bool:
        return not self._running or self._units + waiting.units <= self._limit
