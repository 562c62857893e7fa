"""Determines why a request ended as it did, from its host's log lines."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from types import MappingProxyType
from typing import Any

from almonddock_cli._log_lines import LogLine

#: Lines up to this much older than a request's end show its host's state.
STATE_LOOKBACK = timedelta(minutes=2)

#: Events about a target that explain why it received no request.
TARGET_STATE_EVENTS = frozenset(
    ('target_changed', 'target_unreachable', 'target_reachable'),
)

#: Events about the host that may explain any outcome.
HOST_STATE_EVENTS = frozenset(
    (
        'store_lost',
        'store_shared',
        'isolated',
        'stopping',
        'data_centres_drained',
        'configuration_unreadable',
    ),
)

#: Pairs of a host event and the event that ends its state.
RECOVERY_EVENTS = frozenset(
    (
        ('store_lost', 'store_back'),
        ('store_shared', 'store_direct'),
        ('isolated', 'isolation_ended'),
        ('stopping', 'started'),
        ('configuration_unreadable', 'configuration_in_force'),
    ),
)

#: Events that end a request.
FINAL_EVENTS = frozenset(
    (
        'request_finished',
        'request_rejected',
        'request_turned_away',
        'caller_not_admitted',
    ),
)


def select_request_lines(
    lines: Sequence[LogLine], request_id: str
) -> list[LogLine]:
    """Returns the lines about one request, in the order of ``lines``."""
    return [line for line in lines if line.request_id == request_id]


def select_state_lines(
    lines: Sequence[LogLine],
    request_lines: Sequence[LogLine],
) -> list[LogLine]:
    """Returns the lines that show the host's state when the request ended.

    They are the last line about each target of the request's services, and
    the lines about states of the host, such as a lost store, that had not
    ended. The log field ``dark`` lists the services without a reachable target.
    """
    if not request_lines:
        return []
    end = request_lines[-1]
    before = [
        line
        for line in lines
        if line.host == end.host
        and end.time - STATE_LOOKBACK <= line.time <= end.time
    ]
    return sorted(
        (
            *_find_target_states(before, request_lines),
            *_find_host_states(before),
        ),
        key=lambda line: line.time,
    )


def describe_cause(request_lines: Sequence[LogLine]) -> str:
    """Returns why the request ended as it did, in one sentence."""
    ends = [line for line in request_lines if line.event in FINAL_EVENTS]
    if not ends:
        return 'the logs do not show the end of this request'
    end = ends[-1].fields
    if ends[-1].event == 'caller_not_admitted':
        return _explain_not_admitted(end)
    if ends[-1].event != 'request_finished':
        return f'it was not served: {end["reason"]} (status {end["status"]})'
    tries = [line.fields for line in request_lines if line.event == 'try_ended']
    return _EXPLAINERS.get(end['outcome'], _explain_reply)(end, tries)


def _find_target_states(
    before: Sequence[LogLine],
    request_lines: Sequence[LogLine],
) -> list[LogLine]:
    services = {
        service
        for line in request_lines
        for service in (
            line.fields.get('service'),
            *line.fields.get('dark', ()),
            *line.fields.get('missing', ()),
        )
        if service is not None
    }
    latest = {
        line.fields['target']: line
        for line in before
        if line.event in TARGET_STATE_EVENTS
        and line.fields.get('service') in services
    }
    return list(latest.values())


def _find_host_states(before: Sequence[LogLine]) -> list[LogLine]:
    latest = {line.event: line for line in before}
    found = []
    for event in HOST_STATE_EVENTS & latest.keys():
        ended = [
            latest[ending].time
            for started, ending in RECOVERY_EVENTS
            if started == event and ending in latest
        ]
        if not ended or max(ended) < latest[event].time:
            found.append(latest[event])
    return found


def _explain_not_admitted(end: Mapping[str, Any]) -> str:
    reason = _ADMISSION_REASONS.get(end['reason'], end['reason'])
    return (
        f'its caller was not let in: {reason} (status {end["status"]}, '
        f'version {end["configuration"]}, last proven '
        f'{end["configuration_age"]} before)'
    )


def _explain_no_target(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    unreachable_counts = end.get('dark', {})
    unlisted = sorted(
        name for name, count in unreachable_counts.items() if not count
    )
    unconnected = sorted(
        name for name, count in unreachable_counts.items() if count
    )
    parts = []
    if unlisted:
        parts.append(f'no target listed for {", ".join(unlisted)}')
    if unconnected:
        parts.append(f'no connection to any target of {", ".join(unconnected)}')
    return f'it was refused without being run: {"; ".join(parts)}'


def _explain_targets_full(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    return f'every target refused it, so it has not run: {_format_tries(tries)}'


def _explain_unknown(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    lost = [one for one in tries if one['outcome'] in {'lost', 'failed'}]
    return (
        'it may have run: a connection ended without a reply, or a target '
        f'failed, and no further try was allowed: {_format_tries(lost)}'
    )


def _explain_timeout(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    waited = ', '.join(
        f'{target} ({service})' for service, target in end['unanswered']
    )
    return f'its time ended while it waited for {waited}{_format_limits(end)}'


def _explain_partial(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    missing = ', '.join(end['missing'])
    return (
        f'it was answered after {end["elapsed_ms"]} ms without {missing}, '
        f'whose targets were late, failed or gone{_format_limits(end)}'
    )


def _explain_caller_left(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    return f'the caller closed its connection after {end["elapsed_ms"]} ms'


def _explain_reply(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    elapsed = end['elapsed_ms']
    if end['outcome'] == 'failed':
        return f'the target answered with its own failure, {end["status"]}'
    if elapsed <= end['goal_ms']:
        return f'it was answered in time, after {elapsed} ms'
    slow = f': {_format_tries(tries)}' if tries else ''
    return (
        f'it was answered late, after {elapsed} ms for a goal of '
        f'{end["goal_ms"]} ms{slow}{_format_limits(end)}'
    )


def _format_limits(end: Mapping[str, Any]) -> str:
    """Returns why further tries were not sent."""
    reasons = {
        'over_budget': 'the retry budget allowed no further try at',
        'not_hedged': 'hedges had stayed unanswered at',
    }
    return ''.join(
        f'; {reason} {", ".join(end[name])}'
        for name, reason in reasons.items()
        if end.get(name)
    )


def _format_tries(tries: Sequence[Mapping[str, Any]]) -> str:
    return ', '.join(
        f'{one["reason"]} at {one["target"]} ({one["service"]}) '
        f'{one["outcome"]} after {one["ended_ms"] - one["sent_ms"]:.1f} ms'
        for one in tries
    )


#: By the reason of a ``caller_not_admitted`` line.
_ADMISSION_REASONS = MappingProxyType(
    {
        'unknown_key': 'it stated no key of the version in force',
        'unproven_key': 'the host could not know whether its key counted',
    },
)

#: By the outcome of the request; ``_explain_reply`` covers the other outcomes.
_EXPLAINERS = MappingProxyType(
    {
        'no_target': _explain_no_target,
        'targets_full': _explain_targets_full,
        'outcome_unknown': _explain_unknown,
        'timed_out': _explain_timeout,
        'partial': _explain_partial,
        'caller_left': _explain_caller_left,
    },
)
