"""Which hosts were undisturbed, so that bounds on time count for them.

The users' rules excuse hosts that a fault concerns, and for a while after it.
"""

from datetime import timedelta

from soak.observations import Evidence, FaultSpan
from soak.schedule import FaultKind
from soak.settings import Promises

#: Faults that change what all hosts can know.
STORE_FAULTS = frozenset(
    (
        FaultKind.STORE_DOWN,
        FaultKind.STORE_LAPSE,
        FaultKind.STORE_SILENT,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_LOSSY,
        FaultKind.STORE_COMPACT,
        FaultKind.HERD_KILL,
    ),
)


#: The beginnings of the kinds of faults that concern one host.
HOST_PREFIXES = ('HOST_', 'STORE_PATH_', 'CALLER_', 'LINK_')


#: Faults that a stopping host does not have to bear without loss: whatever
#: is not planned work. A configuration or a leaving target is planned.
PLANNED = frozenset(
    (
        FaultKind.HOST_STOP,
        FaultKind.HOST_RELOAD,
        FaultKind.CONFIGURATION,
        FaultKind.CONFIGURATION_SERIES,
        FaultKind.DATA_CENTRE_OUT,
        FaultKind.TARGET_LEAVE,
    ),
)


def is_informed(
    evidence: Evidence,
    promises: Promises,
    host: int,
    since: timedelta,
    until: timedelta,
) -> bool:
    """Whether a host could follow the store from a moment to another."""
    spans = list_touching(evidence, since - promises.contact, until)
    return not any(
        span.kind in STORE_FAULTS or _concerns(span, host) for span in spans
    )


def is_calm(
    evidence: Evidence,
    promises: Promises,
    host: int,
    since: timedelta,
    until: timedelta,
) -> bool:
    """Whether nothing has disturbed a host in a time and before it."""
    spans = list_touching(evidence, since - promises.contact, until)
    return not any(
        span.kind is FaultKind.HERD_KILL or _concerns(span, host)
        for span in spans
    )


def list_unplanned(
    evidence: Evidence,
    since: timedelta,
    until: timedelta,
) -> list[FaultSpan]:
    """Returns faults that are no planned work."""
    spans = list_touching(evidence, since, until)
    return [span for span in spans if span.kind not in PLANNED]


def _concerns(span: FaultSpan, host: int) -> bool:
    return span.kind.name.startswith(HOST_PREFIXES) and span.subject == host


def list_touching(
    evidence: Evidence,
    since: timedelta,
    until: timedelta,
) -> list[FaultSpan]:
    return [
        span
        for span in evidence.spans
        if span.start <= until and span.end >= since
    ]
