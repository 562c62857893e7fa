"""Which waiting sub-queries are refused early."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Reason, TargetLoad
from almonddock_core.owners._queue import Waiting, compute_value
from almonddock_core.owners._settings import OwnerSettings


@dataclass(frozen=True, slots=True)
class Shed:
    """A waiting sub-query to refuse and why."""

    waiting: Waiting
    reason: Reason


def find_hopeless(
    queue: Sequence[Waiting],
    load: TargetLoad,
    settings: OwnerSettings,
    finish_time: timedelta,
    now: timedelta,
) -> list[Shed]:
    """Returns the sub-queries that the target cannot serve in time.

    The queue is walked in its order. Where one could not finish before its
    deadline, the one of least value so far is given up, which makes room
    for all behind it.
    """
    shed: list[Shed] = []
    kept: list[Waiting] = []
    for waiting in queue:
        if now + finish_time > waiting.sub.deadline:
            shed.append(Shed(waiting, Reason.TIMED_OUT))
            continue
        kept.append(waiting)
        wait = _estimate_wait(len(kept), load)
        late = now + wait + finish_time > waiting.sub.deadline
        if late or len(kept) > settings.queue_limit:
            least = min(kept, key=compute_value)
            kept.remove(least)
            shed.append(Shed(least, Reason.OVERLOADED))
    return shed


def _estimate_wait(place: int, load: TargetLoad) -> timedelta:
    """Returns the expected wait of the sub-query at a place from one."""
    ahead = max(0, place + load.in_flight - load.allowed)
    return load.service_time * ahead / load.allowed
