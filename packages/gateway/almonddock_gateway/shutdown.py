"""The graceful shutdown of a host, step by step."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Clock

#: Idle connections are closed after this share of the shutdown time.
CLOSE_IDLE_SHARE = 0.42

#: A stopping host accepts new requests for this share of the shutdown time,
#: because the balancer detects the stop with a delay.
SERVE_SHARE = 0.5

#: A host refuses new requests until this share of the shutdown time at least:
#: requests are on their way on connections that are open, and on those that the
#: kernel has accepted.
REFUSE_SHARE = 0.6

#: At this share of the shutdown time, requests that were not sent to a target
#: are refused: the rest is for the replies to those that were.
WITHDRAW_SHARE = 0.8

#: At this share of the shutdown time all requests are answered with what is
#: known, which leaves time to send the answers.
GIVE_UP_SHARE = 0.93

#: The host stops waiting for requests at this share of the shutdown time.
END_SHARE = 0.95

#: The pause between two checks for requests in progress.
CHECK_INTERVAL_MS = 50
CHECK_INTERVAL = timedelta(milliseconds=CHECK_INTERVAL_MS)


@dataclass(frozen=True, slots=True)
class ShutdownSteps:
    """The actions of a shutdown in their order, and its condition.

    An error in one of them would keep the later ones from being taken, so
    none may raise.
    """

    close_idle: Callable[[], None]
    refuse_new: Callable[[], None]
    withdraw_waiting: Callable[[], None]
    give_up: Callable[[], None]
    #: Whether requests run, or are read or answered.
    is_busy: Callable[[], bool]


async def finish_requests(
    steps: ShutdownSteps, total: timedelta, clock: Clock
) -> None:
    """Returns once all requests are answered, or the time is over.

    ``total`` is the time from now until the process is killed.
    """
    asked = clock.now()
    await _sleep_until(asked + total * CLOSE_IDLE_SHARE, clock)
    steps.close_idle()
    await _sleep_until(asked + total * SERVE_SHARE, clock)
    steps.refuse_new()
    await _sleep_until(asked + total * REFUSE_SHARE, clock)
    for share, end_requests in (
        (WITHDRAW_SHARE, steps.withdraw_waiting),
        (GIVE_UP_SHARE, steps.give_up),
    ):
        await _wait_for_requests(steps, asked + total * share, clock)
        end_requests()
    await _wait_for_requests(steps, asked + total * END_SHARE, clock)


async def _sleep_until(moment: timedelta, clock: Clock) -> None:
    wait = moment - clock.now()
    await asyncio.sleep(max(0, wait.total_seconds()))


async def _wait_for_requests(
    steps: ShutdownSteps, end: timedelta, clock: Clock
) -> None:
    while steps.is_busy() and clock.now() < end:
        await asyncio.sleep(CHECK_INTERVAL.total_seconds())
