"""Checks of bounds on time and on load."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from datetime import timedelta

from soak.observations import Evidence
from soak.promises._calm import is_calm, is_informed
from soak.promises._findings import Finding, blame, point
from soak.promises._routes import list_possible, list_routes
from soak.settings import Promises

SECOND = timedelta(seconds=1)


def check_in_time(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """An undisturbed host ends every request by its route's timeout."""
    for call in evidence.calls:
        routes = list_routes(evidence.versions, call.path)
        if not routes:
            continue
        limit = max(route.timeout for route in routes) + promises.late
        calm = is_calm(evidence, promises, call.host, call.sent, call.ended)
        if calm and call.ended - call.sent > limit:
            waited = (call.ended - call.sent).total_seconds()
            yield blame('in time', call, f'{waited:.2f} s')


def check_gone(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """Nothing is sent to targets for a caller that has left."""
    left = {call.attempt_id: call for call in evidence.calls if call.left}
    for arrival in evidence.arrivals:
        call = left.get(arrival.attempt_id)
        if call is None or arrival.at <= call.ended + promises.gone:
            continue
        if is_calm(evidence, promises, call.host, call.sent, arrival.at):
            yield point('callers that left', arrival, f'left {call.ended}')


def check_leaving(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A target that leaves gets no new work after a while."""
    spans = defaultdict(list)
    for span in evidence.leaving:
        spans[span.name].append(span)
    calls = {call.attempt_id: call for call in evidence.calls}
    for arrival in evidence.arrivals:
        for span in spans[arrival.target]:
            limit = span.since + promises.drain
            call = calls.get(arrival.attempt_id)
            if call is None or arrival.at <= limit:
                continue
            since = span.since
            if is_informed(evidence, promises, call.host, since, arrival.at):
                yield point('leaving targets', arrival, f'left at {since}')


def check_drained(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A data centre that was taken out gets no new work after a while."""
    calls = {call.attempt_id: call for call in evidence.calls}
    for arrival in evidence.arrivals:
        call = calls.get(arrival.attempt_id)
        place = evidence.places[arrival.target]
        for span in evidence.drained:
            since = span.since
            until = span.until or evidence.calm_since
            late = since + promises.drain_data_centre < arrival.at < until
            if call is None or span.name != place or not late:
                continue
            if is_informed(evidence, promises, call.host, since, arrival.at):
                yield point('drained data centres', arrival, f'since {since}')


def check_cold(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """All hosts together send a cold target no more than it bears."""
    by_target = defaultdict(list)
    for arrival in evidence.arrivals:
        by_target[arrival.target].append(arrival)
    for span in evidence.cold:
        bound = span.per_second * promises.cold_factor + promises.cold_slack
        times = [
            arrival.at
            for arrival in by_target[span.target]
            if span.start <= arrival.at < span.end
        ]
        most = _count_densest(times, SECOND)
        if most > bound:
            detail = f'{most} in a second, bound {bound:.1f}'
            yield Finding('cold targets', span.target, span.start, detail)


def check_budget(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """Extra arrivals at a service stay within the budget of all hosts."""
    asked: dict[str, list[timedelta]] = defaultdict(list)
    for call in evidence.calls:
        versions = list_possible(evidence.versions, call, promises)
        services = {
            service
            for route in list_routes(versions, call.path)
            for service in route.list_services()
        }
        for service in services:
            asked[service].append(call.sent)
    extras: dict[str, list[timedelta]] = defaultdict(list)
    seen = set()
    for arrival in sorted(evidence.arrivals, key=lambda one: one.at):
        key = (arrival.service, arrival.attempt_id)
        if key in seen:
            extras[arrival.service].append(arrival.at)
        seen.add(key)
    window = promises.budget_window
    for service, times in extras.items():
        for end in times:
            spent = sum(end - window < at <= end for at in times)
            requests = sum(end - window < at <= end for at in asked[service])
            bound = promises.budget_ratio * requests + promises.budget_slack
            if spent > bound:
                detail = f'{spent} extra for {requests} requests'
                yield Finding('retry budget', service, end, detail)
                break


def _count_densest(times: Sequence[timedelta], window: timedelta) -> int:
    ordered = sorted(times)
    most = 0
    first = 0
    for index, at in enumerate(ordered):
        while at - ordered[first] >= window:
            first += 1
        most = max(most, index - first + 1)
    return most
