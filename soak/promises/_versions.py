"""Checks that hosts apply new versions in time and never revert."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from datetime import timedelta

from almonddock_platform.tests.standins import Arrival
from soak.observations import Call, Evidence, Version
from soak.promises._disturbances import can_follow_store
from soak.promises._findings import Finding, report_call
from soak.settings import Promises

NOT_FOUND = 404


def check_versions(
    evidence: Evidence,
    promises: Promises,
) -> Iterator[Finding]:
    """Hosts apply each version in time and do not revert to an older one."""
    arrivals = defaultdict(list)
    for arrival in evidence.arrivals:
        arrivals[arrival.attempt_id].append(arrival)
    shown_by_process: dict[tuple[int, int], list[tuple[timedelta, int]]] = {}
    for call in sorted(evidence.calls, key=lambda one: one.sent):
        newest = _find_newest(evidence, call, arrivals[call.attempt_id])
        if newest is None:
            continue
        shown_versions = shown_by_process.setdefault(
            (call.host, call.incarnation), []
        )
        slack = promises.rollback_slack
        earlier = [
            oldest for at, oldest in shown_versions if at + slack < call.sent
        ]
        if newest < max(earlier, default=newest):
            yield report_call('no reversion', call, f'version {newest}')
        oldest = _find_oldest(evidence, call, arrivals[call.attempt_id])
        if oldest is not None:
            seen_at = min(one.at for one in arrivals[call.attempt_id])
            shown_versions.append((seen_at, oldest))
        due = _find_due(evidence, promises, call)
        if newest < due:
            yield report_call('in force', call, f'version {newest}, due {due}')


def _allows(
    version: Version,
    call: Call,
    arrivals: Sequence[Arrival],
) -> bool:
    """Whether the handling of a request is consistent with a version."""
    route = version.find_route(call.path)
    if route is None:
        answer = call.answer
        return answer is not None and answer.status == NOT_FOUND
    services = route.list_services()
    return bool(arrivals) and all(one.service in services for one in arrivals)


def _list_allowing(
    evidence: Evidence,
    call: Call,
    arrivals: Sequence[Arrival],
) -> list[int]:
    """Returns the versions that a request may have been handled by.

    The list is empty for a request without an observable effect: any version
    may have handled it.
    """
    answer = call.answer
    visible = arrivals or (answer is not None and answer.status == NOT_FOUND)
    if not visible:
        return []
    return [
        version.number
        for version in evidence.versions
        if version.written <= call.ended and _allows(version, call, arrivals)
    ]


def _find_newest(
    evidence: Evidence,
    call: Call,
    arrivals: Sequence[Arrival],
) -> int | None:
    return max(_list_allowing(evidence, call, arrivals), default=None)


def _find_oldest(
    evidence: Evidence,
    call: Call,
    arrivals: Sequence[Arrival],
) -> int | None:
    return min(_list_allowing(evidence, call, arrivals), default=None)


def _find_due(evidence: Evidence, promises: Promises, call: Call) -> int:
    """Returns the newest version that the host must have applied."""
    due = [
        version.number
        for version in evidence.versions
        if version.written + promises.in_force < call.sent
        and can_follow_store(
            evidence,
            promises,
            call.host,
            version.written,
            call.sent,
        )
    ]
    return max(due, default=0)
