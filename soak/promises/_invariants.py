"""Checks of invariants that hold under every fault."""

from collections import Counter
from collections.abc import Iterator, Sequence

from almonddock_core.dispatch import count_needed
from almonddock_core.routing import Route
from almonddock_platform.tests.standins import list_records, read_stamp
from soak.observations import Call, Evidence
from soak.promises._findings import Finding, report_arrival, report_call
from soak.promises._routes import is_idempotent, list_routes
from soak.settings import Promises

OK = 200
NOT_FOUND = 404


#: Statuses that say that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))


def check_answers(
    evidence: Evidence,
    promises: Promises,
) -> Iterator[Finding]:
    """Every success has enough parts, is correct, and states missing parts."""
    for call in evidence.calls:
        answer = call.answer
        if call.surplus:
            yield report_call(
                'right answers', call, 'bytes that belong to no answer'
            )
        if answer is None or answer.status != OK:
            continue
        routes = list_routes(evidence.versions, call.path)
        defects = [_find_defect(call, route) for route in routes]
        if all(defects):
            yield report_call('right answers', call, '; '.join(set(defects)))


def check_asked(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """Targets get only requests that callers have sent, unchanged."""
    asked = {call.attempt_id: call for call in evidence.calls}
    for arrival in evidence.arrivals:
        call = asked.get(arrival.attempt_id)
        if call is None:
            yield report_arrival('asked for', arrival, 'no caller has sent it')
        elif call.digest != arrival.digest:
            yield report_arrival(
                'asked for', arrival, 'it was changed on the way'
            )
        elif not any(
            arrival.service in route.list_services()
            for route in list_routes(evidence.versions, call.path)
        ):
            yield report_arrival(
                'asked for', arrival, 'no version allows the service'
            )


def check_once(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A request that is not idempotent runs at most once."""
    runs = Counter(arrival.attempt_id for arrival in evidence.arrivals)
    for call in evidence.calls:
        if is_idempotent(evidence, call.path):
            continue
        if runs[call.attempt_id] > 1:
            yield report_call(
                'at most once', call, f'{runs[call.attempt_id]} runs'
            )


def check_refusals(
    evidence: Evidence,
    promises: Promises,
) -> Iterator[Finding]:
    """A request that is reported as not run never reaches a target."""
    runs = Counter(arrival.attempt_id for arrival in evidence.arrivals)
    for call in evidence.calls:
        answer = call.answer
        if answer is None or answer.status not in NOT_RUN:
            continue
        if runs[call.attempt_id]:
            detail = f'{answer.status} after {runs[call.attempt_id]} runs'
            yield report_call('true refusals', call, detail)


def check_denials(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """Valid requests get no redirect and no client error."""
    for call in evidence.calls:
        answer = call.answer
        if answer is None or not 300 <= answer.status < 500:
            continue
        if answer.status in NOT_RUN:
            continue
        if all(one.find_route(call.path) for one in evidence.versions):
            yield report_call('no denials', call, f'status {answer.status}')


def check_deadlines(
    evidence: Evidence,
    promises: Promises,
) -> Iterator[Finding]:
    """The deadline that a target gets does not exceed the caller's."""
    given = {call.attempt_id: call.deadline_ms for call in evidence.calls}
    for arrival in evidence.arrivals:
        told = arrival.deadline_ms
        allowed = given.get(arrival.attempt_id, 0)
        if told is None or told > allowed:
            yield report_arrival(
                'deadlines', arrival, f'{told} of {allowed} ms'
            )


def _find_defect(call: Call, route: Route) -> str:
    """Returns what is wrong with a success on a route; empty if nothing.

    The stamp of an answer holds the target id, the service and the attempt id.
    """
    answer = call.answer
    assert answer is not None
    stamps = answer.parts if route.shards else (answer.stamp,)
    try:
        read = [read_stamp(stamp) for stamp in stamps]
    except ValueError:
        return f'malformed stamp in {stamps}'
    services = [service for _, service, _ in read]
    if any(attempt != call.attempt_id for _, _, attempt in read):
        return 'a part answers another request'
    if len(set(services)) < len(services):
        return 'a shard is included twice'
    if not set(services) <= set(route.list_services()):
        return 'a part is from a service outside the route'
    if not route.shards:
        body = b''.join(list_records(services[0], call.attempt_id))
        return '' if answer.body == body else 'wrong body'
    return _find_merge_defect(call, route, services)


def _find_merge_defect(
    call: Call,
    route: Route,
    services: Sequence[str],
) -> str:
    """Returns what is wrong with the merge of valid parts."""
    answer = call.answer
    assert answer is not None
    records = [
        record
        for service in services
        for record in list_records(service, call.attempt_id)
    ]
    if len(services) + answer.missing != len(route.shards):
        return f'{len(services)} parts and {answer.missing} missing'
    if len(services) < count_needed(route):
        return f'only {len(services)} parts'
    greatest = sorted(records, reverse=True)[: route.top_records]
    return '' if answer.body == b''.join(greatest) else 'wrong records'
