"""Keeps the tasks of a host running after unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from almonddock_gateway.telemetry import Telemetry

#: The pause before a loop that failed is run again.
RESTART_PAUSE = timedelta(seconds=1)


Run = Callable[[], Awaitable[None]]


async def keep_running(
    name: str,
    run: Run,
    telemetry: Telemetry,
    pause: timedelta = RESTART_PAUSE,
) -> None:
    """Runs a loop until cancelled, and again after each unexpected error.

    A host whose loop has ended would go on with old targets, an old
    configuration or a lapsed registration.
    """
    while True:
        await run_once(name, run, telemetry)
        await asyncio.sleep(pause.total_seconds())


async def run_until_done(
    name: str,
    run: Run,
    telemetry: Telemetry,
    pause: timedelta = RESTART_PAUSE,
) -> None:
    """Runs work that ends, and again after each unexpected error."""
    while not await run_once(name, run, telemetry):
        await asyncio.sleep(pause.total_seconds())


async def run_once(name: str, run: Run, telemetry: Telemetry) -> bool:
    """Returns whether the work ended without an unexpected error.

    A cancellation of something that the work awaits is such an error; the
    errors of a task that is being cancelled itself are raised.
    """
    task = asyncio.current_task()
    try:
        await run()
    except (Exception, asyncio.CancelledError) as fault:
        if task is None or task.cancelling():
            raise
        telemetry.log_event('loop_failed', loop=name, reason=repr(fault))
        return False
    return True


def guard(
    name: str, step: Callable[[], None], telemetry: Telemetry
) -> Callable[[], None]:
    """Returns a step that logs its unexpected errors and raises none."""

    def run_guarded() -> None:
        try:
            step()
        except Exception as fault:
            telemetry.log_event('step_failed', step=name, reason=repr(fault))

    return run_guarded


def log_unexpected_errors(
    loop: asyncio.AbstractEventLoop, telemetry: Telemetry
) -> None:
    """Logs errors of callbacks and of tasks that nothing awaits."""

    def log_error(
        loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        telemetry.log_event(
            'unexpected_error',
            reason=repr(context.get('exception')),
            where=context.get('message'),
        )

    loop.set_exception_handler(log_error)
