"""Determines which hosts a fault affects, so that time bounds exclude them.

The users' requirements exempt affected hosts from time bounds during a fault
and for ``Promises.contact`` after it.
"""

from datetime import timedelta

from soak.observations import Evidence, FaultSpan
from soak.schedule import LATER_GROUPS, FaultKind
from soak.settings import Promises

#: Faults that may keep all hosts from learning of changes in the store.
STORE_FAULTS = frozenset(
    (
        FaultKind.STORE_DOWN,
        FaultKind.STORE_LAPSE,
        FaultKind.STORE_SILENT,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_STALLED,
        FaultKind.STORE_LOSSY,
        FaultKind.STORE_COMPACT,
        FaultKind.HERD_KILL,
    ),
)

#: Faults that end with the return of the store: what is written from then on
#: has to be learned in time.
RETURN_KINDS = LATER_GROUPS['copies of the store']

#: Name prefixes of the kinds of faults that affect a single host.
HOST_PREFIXES = ('HOST_', 'STORE_PATH_', 'CALLER_', 'LINK_')


#: Kinds of faults that end or freeze the process of a host.
INTERRUPTING_KINDS = frozenset(
    (
        FaultKind.HOST_STOP,
        FaultKind.HOST_KILL,
        FaultKind.HOST_PAUSE,
        FaultKind.HOST_STOP_SERIES,
        FaultKind.HOST_KILL_SERIES,
        FaultKind.HOST_OUTPUT_UNREAD,
        FaultKind.HOST_OVERLAP,
        FaultKind.STORE_STALLED,
    ),
)


#: Planned operations, during which a stopping host must not lose requests.
#: During any other fault, a stopping host may lose requests.
PLANNED_KINDS = frozenset(
    (
        FaultKind.HOST_STOP,
        FaultKind.HOST_RELOAD,
        FaultKind.HOST_RELOAD_SERIES,
        FaultKind.HOST_STOP_SERIES,
        FaultKind.HOST_OVERLAP,
        FaultKind.CONFIGURATION,
        FaultKind.CONFIGURATION_SERIES,
        FaultKind.DATA_CENTRE_OUT,
        FaultKind.TARGET_LEAVE,
        FaultKind.TARGET_LEAVE_UNLISTED,
    ),
)


def can_follow_store(
    evidence: Evidence,
    promises: Promises,
    host: int,
    since: timedelta,
    until: timedelta,
) -> bool:
    """Whether a host could read the store in a time span and just before it.

    What was written before the store came back from a copy may be lost. What
    is written after that is bounded from then on, without a time of grace.
    """
    spans = _list_overlapping(evidence, since - promises.contact, until)
    if any(span.kind in STORE_FAULTS or _affects(span, host) for span in spans):
        return False
    spans = _list_overlapping(evidence, since, until)
    return not any(span.kind in RETURN_KINDS for span in spans)


def must_be_ready(
    evidence: Evidence, promises: Promises, host: int, at: timedelta
) -> bool:
    """Whether a host has had the time to recover since it was disturbed.

    The start of the run counts as a disturbance.
    """
    since = at - promises.recovery
    return since > timedelta() and not any(
        span.kind in STORE_FAULTS or _affects(span, host)
        for span in _list_overlapping(evidence, since, at)
    )


def is_undisturbed(
    evidence: Evidence,
    promises: Promises,
    host: int,
    since: timedelta,
    until: timedelta,
) -> bool:
    """Whether no fault affected a host in a time span or just before it."""
    spans = _list_overlapping(evidence, since - promises.contact, until)
    return not any(
        span.kind is FaultKind.HERD_KILL or _affects(span, host)
        for span in spans
    )


def has_run_on(
    evidence: Evidence, host: int, since: timedelta, until: timedelta
) -> bool:
    """Whether a host was neither started again nor frozen in a time span."""
    return not any(
        span.kind is FaultKind.HERD_KILL
        or (span.kind in INTERRUPTING_KINDS and span.subject == host)
        for span in _list_overlapping(evidence, since, until)
    )


def list_unplanned(
    evidence: Evidence,
    since: timedelta,
    until: timedelta,
) -> list[FaultSpan]:
    """Returns the faults of a time span that are not planned operations."""
    spans = _list_overlapping(evidence, since, until)
    return [span for span in spans if span.kind not in PLANNED_KINDS]


def _affects(span: FaultSpan, host: int) -> bool:
    return span.kind.name.startswith(HOST_PREFIXES) and span.subject == host


def _list_overlapping(
    evidence: Evidence,
    since: timedelta,
    until: timedelta,
) -> list[FaultSpan]:
    return [
        span
        for span in evidence.spans
        if span.start <= until and span.end >= since
    ]
