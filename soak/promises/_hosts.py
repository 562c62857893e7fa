"""Checks of graceful stops, processes and recovery."""

from collections.abc import Iterator
from datetime import timedelta

from soak.observations import Evidence
from soak.promises._disturbances import list_unplanned, must_be_ready
from soak.promises._findings import Finding, report_call
from soak.settings import MEMORY_LIMIT, Promises

OK = 200
NOT_FOUND = 404


def check_stops(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A host that gets SIGTERM answers the requests that it has."""
    begun = {arrival.attempt_id for arrival in evidence.arrivals}
    for call in evidence.calls:
        if call.answer is not None or call.left:
            continue
        waited = call.ended - call.sent > promises.loss_slack
        if not waited and call.attempt_id not in begun:
            continue
        stopping = any(
            host == call.host and at <= call.ended <= at + promises.grace
            for host, at in evidence.stops
        )
        start = call.sent - promises.contact
        if stopping and not list_unplanned(evidence, start, call.ended):
            yield report_call('graceful stops', call, 'the connection ended')


def check_processes(
    evidence: Evidence,
    promises: Promises,
) -> Iterator[Finding]:
    """No process exits by itself, writes to stderr or exceeds its memory."""
    for end in evidence.ends:
        if not end.requested:
            name = f'host {end.host}'
            yield Finding('processes', name, end.at, f'exit code {end.code}')
    for host, errors in evidence.errors:
        if errors:
            name = f'host {host}'
            start = timedelta()
            yield Finding('processes', name, start, errors.splitlines()[-1])
    for peak in evidence.memory:
        if peak.size_bytes > MEMORY_LIMIT:
            name = f'memory of host {peak.host}'
            detail = f'{peak.size_bytes} bytes'
            yield Finding('processes', name, peak.at, detail)


def check_recovery(
    evidence: Evidence,
    promises: Promises,
) -> Iterator[Finding]:
    """Requests succeed again some time after the last fault."""
    since = evidence.last_fault_end + promises.recovery
    later = [one for one in evidence.calls if one.sent > since and not one.left]
    served = sum(
        call.answer is not None and call.answer.status == OK for call in later
    )
    if not later or served < promises.recovered_share * len(later):
        detail = f'{served} of {len(later)} served'
        yield Finding('recovery', 'all', since, detail)


def check_readiness(
    evidence: Evidence,
    promises: Promises,
) -> Iterator[Finding]:
    """A host is ready again some time after it was disturbed."""
    overdue: set[int] = set()
    for sample in evidence.readiness:
        host = sample.host
        if sample.ready:
            overdue.discard(host)
        elif host not in overdue and must_be_ready(
            evidence, promises, host, sample.at
        ):
            overdue.add(host)
            yield Finding('readiness', f'host {host}', sample.at, 'not ready')
