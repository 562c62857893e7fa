"""Chooses the waiting sub-queries that are refused early."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Reason, TargetLoad
from almonddock_core.owners._queue import WaitingSubQuery, compute_value
from almonddock_core.owners._settings import OwnerSettings


@dataclass(frozen=True, slots=True)
class Shed:
    """A waiting sub-query to refuse, with the reason."""

    waiting: WaitingSubQuery
    reason: Reason


@dataclass(frozen=True, slots=True)
class Timing:
    """The earliest start and the duration of work at the target."""

    now: timedelta
    #: How long nothing may be sent from now.
    pause: timedelta
    #: The expected duration of a try.
    duration: timedelta


def find_unservable(
    queue: Sequence[WaitingSubQuery],
    load: TargetLoad,
    settings: OwnerSettings,
    timing: Timing,
) -> list[Shed]:
    """Returns the sub-queries that the target cannot serve in time.

    The queue is traversed in order. A sub-query that would miss its deadline
    without any wait is shed. Where one would miss it because of its wait, or
    would exceed the queue limit, the one of the lowest value so far is shed,
    which shortens the wait of all that follow.
    """
    finish_at = timing.now + timing.duration
    shed: list[Shed] = []
    kept: list[WaitingSubQuery] = []
    for waiting in queue:
        if finish_at > waiting.sub.deadline:
            shed.append(Shed(waiting, Reason.TIMED_OUT))
            continue
        kept.append(waiting)
        wait = timing.pause + _estimate_wait(len(kept), load)
        late = finish_at + wait > waiting.sub.deadline
        if late or len(kept) > settings.queue_limit:
            least = min(kept, key=compute_value)
            kept.remove(least)
            shed.append(Shed(least, Reason.OVERLOADED))
    return shed


def _estimate_wait(place: int, load: TargetLoad) -> timedelta:
    """Returns the expected wait at a one-based position in the queue."""
    ahead = max(0, place + load.in_flight - load.allowed)
    return load.service_time * ahead / load.allowed
