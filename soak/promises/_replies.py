"""Checks that hosts heed what the replies of targets say.

Only targets that answer requests by themselves are checked: a query over shards
may travel by another host than the one that its caller asked.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from datetime import timedelta

from almonddock_platform.tests.standins import Arrival, RestRefusal
from soak.observations import Call, Evidence, OutOfService
from soak.promises._disturbances import has_run_on, is_undisturbed
from soak.promises._findings import Finding, report_arrival
from soak.settings import Promises


def check_unlisted(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A host heeds replies that say that their target leaves."""
    calls = {call.attempt_id: call for call in evidence.calls}
    for span in evidence.unlisted:
        told = _find_told_times(evidence.calls, span)
        for arrival in evidence.arrivals:
            call = calls.get(arrival.attempt_id)
            if call is None or arrival.target != span.name:
                continue
            since = told.get((call.host, call.incarnation))
            if since is None or arrival.at <= since + promises.drain:
                continue
            if has_run_on(evidence, call.host, since, arrival.at):
                yield report_arrival(
                    'leaving targets', arrival, f'told host {call.host} {since}'
                )


def check_rests(evidence: Evidence, promises: Promises) -> Iterator[Finding]:
    """A target that rests gets few requests of a host that it has told."""
    calls = {call.attempt_id: call for call in evidence.calls}
    times: dict[tuple[int, str], list[timedelta]] = defaultdict(list)
    requests: Sequence[Arrival | RestRefusal] = (
        *evidence.arrivals,
        *evidence.rest_refusals,
    )
    for sent in requests:
        call = calls.get(sent.attempt_id)
        if call is not None:
            times[call.host, sent.target].append(sent.at)
    for refusal in evidence.rest_refusals:
        call = calls.get(refusal.attempt_id)
        if call is None:
            continue
        since = refusal.at + promises.rest_notice
        until = refusal.at + refusal.rest
        sent_times = times[call.host, refusal.target]
        count = sum(since < at < until for at in sent_times)
        if count > promises.rest_requests and is_undisturbed(
            evidence, promises, call.host, refusal.at, until
        ):
            yield Finding(
                'resting targets',
                refusal.target,
                refusal.at,
                f'{count} requests of host {call.host} until {until}',
            )


def _find_told_times(
    calls: Sequence[Call], span: OutOfService
) -> Mapping[tuple[int, int], timedelta]:
    """Returns when each process of a host had passed on that a target leaves.

    The keys are the numbers of host and incarnation.
    """
    told: dict[tuple[int, int], timedelta] = {}
    for call in calls:
        answer = call.answer
        if answer is None or not answer.stamp or call.sent < span.since:
            continue
        if not answer.stamp.startswith(f'{span.name}.'):
            continue
        key = (call.host, call.incarnation)
        told[key] = min(call.ended, told.get(key, call.ended))
    return told
