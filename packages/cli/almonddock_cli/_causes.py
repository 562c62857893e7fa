"""Names the cause of a request's end from the lines of its host."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from types import MappingProxyType
from typing import Any

from almonddock_cli._log_lines import LogLine

#: How far back a host's beliefs are looked up.
LOOK_BACK = timedelta(minutes=2)

#: Beliefs about a target that explain why it was not asked.
TARGET_EVENTS = frozenset(
    ('target_changed', 'target_unreachable', 'target_reachable'),
)

#: Beliefs about the host that may explain any end.
HOST_EVENTS = frozenset(
    (
        'store_lost',
        'store_shared',
        'isolated',
        'stopping',
        'data_centres_drained',
    ),
)

#: Events that end the beliefs above.
ENDINGS = frozenset(
    (
        ('store_lost', 'store_back'),
        ('store_shared', 'store_direct'),
        ('isolated', 'isolation_ended'),
        ('stopping', 'started'),
    ),
)

ENDS = frozenset(
    ('request_finished', 'request_rejected', 'request_turned_away'),
)


def select_story(lines: Sequence[LogLine], request_id: str) -> list[LogLine]:
    """Returns the lines of one request, in the order of their times."""
    return [line for line in lines if line.request_id == request_id]


def select_beliefs(
    lines: Sequence[LogLine],
    story: Sequence[LogLine],
) -> list[LogLine]:
    """Returns what the host believed when the request ended.

    That is the last line about each target of the request, and what was wrong
    with the host itself.
    """
    if not story:
        return []
    end = story[-1]
    before = [
        line
        for line in lines
        if line.host == end.host
        and end.time - LOOK_BACK <= line.time <= end.time
    ]
    return sorted(
        (*_find_target_beliefs(before, story), *_find_host_beliefs(before)),
        key=lambda line: line.time,
    )


def name_cause(story: Sequence[LogLine]) -> str:
    """Returns why the request ended as it did, in one sentence."""
    ends = [line for line in story if line.event in ENDS]
    if not ends:
        return 'the logs do not show the end of this request'
    end = ends[-1].fields
    if ends[-1].event != 'request_finished':
        return f'it was not served: {end["reason"]} (status {end["status"]})'
    tries = [line.fields for line in story if line.event == 'try_ended']
    return _EXPLAIN.get(end['outcome'], _explain_reply)(end, tries)


def _find_target_beliefs(
    before: Sequence[LogLine],
    story: Sequence[LogLine],
) -> list[LogLine]:
    services = {
        service
        for line in story
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
        if line.event in TARGET_EVENTS
        and line.fields.get('service') in services
    }
    return list(latest.values())


def _find_host_beliefs(before: Sequence[LogLine]) -> list[LogLine]:
    latest = {line.event: line for line in before}
    found = []
    for event in HOST_EVENTS & latest.keys():
        ended = [
            latest[ending].time
            for started, ending in ENDINGS
            if started == event and ending in latest
        ]
        if not ended or max(ended) < latest[event].time:
            found.append(latest[event])
    return found


def _explain_no_target(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    dark = end.get('dark', {})
    gone = sorted(name for name, count in dark.items() if not count)
    cut = sorted(name for name, count in dark.items() if count)
    parts = []
    if gone:
        parts.append(f'no target listed for {", ".join(gone)}')
    if cut:
        parts.append(f'no connection to any target of {", ".join(cut)}')
    return f'it was refused without being run: {"; ".join(parts)}'


def _explain_full(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    return f'every target refused it, so it has not run: {_list(tries)}'


def _explain_unknown(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    lost = [one for one in tries if one['outcome'] in {'lost', 'failed'}]
    return (
        'it may have run: a connection ended without a reply, or a target '
        f'failed, and no further try was allowed: {_list(lost)}'
    )


def _explain_timeout(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    waited = ', '.join(
        f'{target} ({service})' for service, target in end['unanswered']
    )
    return f'its time ended while it waited for {waited}{_note_budget(end)}'


def _explain_partial(
    end: Mapping[str, Any],
    tries: Sequence[Mapping[str, Any]],
) -> str:
    missing = ', '.join(end['missing'])
    return (
        f'it was answered after {end["elapsed_ms"]} ms without {missing}, '
        f'whose targets were late, failed or gone{_note_budget(end)}'
    )


def _explain_left(
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
    slow = f': {_list(tries)}' if tries else ''
    return (
        f'it was answered late, after {elapsed} ms for a goal of '
        f'{end["goal_ms"]} ms{slow}{_note_budget(end)}'
    )


def _note_budget(end: Mapping[str, Any]) -> str:
    over = end.get('over_budget')
    if not over:
        return ''
    return f'; the retry budget allowed no further try at {", ".join(over)}'


def _list(tries: Sequence[Mapping[str, Any]]) -> str:
    return ', '.join(
        f'{one["reason"]} at {one["target"]} ({one["service"]}) '
        f'{one["outcome"]} after {one["ended_ms"] - one["sent_ms"]:.1f} ms'
        for one in tries
    )


_EXPLAIN = MappingProxyType(
    {
        'no_target': _explain_no_target,
        'targets_full': _explain_full,
        'outcome_unknown': _explain_unknown,
        'timed_out': _explain_timeout,
        'partial': _explain_partial,
        'caller_left': _explain_left,
    },
)
