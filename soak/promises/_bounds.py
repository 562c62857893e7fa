"""Checks of time and load bounds."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from datetime import timedelta

from soak.observations import Evidence
from soak.promises._disturbances import can_follow_store, is_undisturbed
from soak.promises._findings import Finding, report_arrival, report_call
from soak.promises._routes import list_routes, list_versions_in_force
from soak.settings import Promises

SECOND = timedelta(seconds=1)


def check_in_time(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """An undisturbed host finishes each request by its route's timeout."""
    for call in evidence.calls:
        routes = list_routes(evidence.versions, call.path)
        if not routes:
            continue
        limit = max(route.timeout for route in routes) + promises.late
        undisturbed = is_undisturbed(
            evidence, promises, call.host, call.sent, call.ended
        )
        if undisturbed and call.ended - call.sent > limit:
            waited = (call.ended - call.sent).total_seconds()
            yield report_call('in time', call, f'{waited:.2f} s')


def check_gone_callers(
    evidence: Evidence, promises: Promises
) -> Iterator[Finding]:
    """Targets get no requests on behalf of a caller that has left."""
    left = {call.attempt_id: call for call in evidence.calls if call.left}
    for arrival in evidence.arrivals:
        call = left.get(arrival.attempt_id)
        if call is None or arrival.at <= call.ended + promises.gone:
            continue
        if is_undisturbed(evidence, promises, call.host, call.sent, arrival.at):
            yield report_arrival(
                'callers that left', arrival, f'left {call.ended}'
            )


def check_leaving(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A leaving target gets no new work after its drain time."""
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
            if can_follow_store(
                evidence, promises, call.host, since, arrival.at
            ):
                yield report_arrival(
                    'leaving targets', arrival, f'left at {since}'
                )


def check_drained(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A drained data centre gets no new work after its drain time."""
    calls = {call.attempt_id: call for call in evidence.calls}
    for arrival in evidence.arrivals:
        call = calls.get(arrival.attempt_id)
        data_centre = evidence.target_data_centres[arrival.target]
        for span in evidence.drained:
            since = span.since
            until = span.until or evidence.last_fault_end
            late = since + promises.drain_data_centre < arrival.at < until
            if call is None or span.name != data_centre or not late:
                continue
            if can_follow_store(
                evidence, promises, call.host, since, arrival.at
            ):
                yield report_arrival(
                    'drained data centres', arrival, f'since {since}'
                )


def check_cold(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """All hosts together keep within the rate of a cold target."""
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
        most = _find_peak_count(times, SECOND)
        if most > bound:
            detail = f'{most} in a second, bound {bound:.1f}'
            yield Finding('cold targets', span.target, span.start, detail)


def check_budget(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """Extra attempts at a service stay within the retry budget."""
    asked: dict[str, list[timedelta]] = defaultdict(list)
    for call in evidence.calls:
        versions = list_versions_in_force(evidence.versions, call, promises)
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


def _find_peak_count(times: Sequence[timedelta], window: timedelta) -> int:
    ordered = sorted(times)
    most = 0
    first = 0
    for index, at in enumerate(ordered):
        while at - ordered[first] >= window:
            first += 1
        most = max(most, index - first + 1)
    return most
