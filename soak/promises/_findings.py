"""The findings that checks report."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from almonddock_platform.tests.standins import Arrival
from soak.observations import Call, Evidence
from soak.settings import Promises


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation of a guarantee."""

    promise: str
    #: The request, target, service or host that violates it, or a summary.
    subject: str
    at: timedelta
    detail: str


Check = Callable[[Evidence, Promises], Iterator[Finding]]


def report_call(promise: str, call: Call, detail: str) -> Finding:
    """Returns a finding about the request of a caller."""
    status = call.answer.status if call.answer else 'no answer'
    where = f'host {call.host}.{call.incarnation}, {call.path}, {status}'
    return Finding(promise, call.attempt_id, call.sent, f'{detail} ({where})')


def report_arrival(promise: str, arrival: Arrival, detail: str) -> Finding:
    """Returns a finding about a request that arrived at a target."""
    where = f'{arrival.target} of {arrival.service}'
    return Finding(
        promise,
        arrival.attempt_id,
        arrival.at,
        f'{detail} (at {where})',
    )
