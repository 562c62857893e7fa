"""What a check reports."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from almonddock_platform.tests.standins import Arrival
from soak.observations import Call, Evidence
from soak.settings import Promises


@dataclass(frozen=True, slots=True)
class Finding:
    """A promise that was broken once."""

    promise: str
    #: The request, target or host that shows it.
    subject: str
    at: timedelta
    detail: str


Check = Callable[[Evidence, Promises], Iterator[Finding]]


def blame(promise: str, call: Call, detail: str) -> Finding:
    """Returns a finding that a caller saw."""
    status = call.answer.status if call.answer else 'no answer'
    where = f'host {call.host}.{call.lifetime}, {call.path}, {status}'
    return Finding(promise, call.attempt_id, call.sent, f'{detail} ({where})')


def point(promise: str, arrival: Arrival, detail: str) -> Finding:
    """Returns a finding that a target saw."""
    where = f'{arrival.target} of {arrival.service}'
    return Finding(
        promise,
        arrival.attempt_id,
        arrival.at,
        f'{detail} (at {where})',
    )
