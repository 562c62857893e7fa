"""Keeps the loops of a host running after unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from almonddock_gateway.telemetry import Telemetry

#: The pause before a loop that failed is run again.
RESTART_PAUSE = timedelta(seconds=1)


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    telemetry: Telemetry,
    pause: timedelta = RESTART_PAUSE,
) -> None:
    """Runs a loop until cancelled, and again after each unexpected error.

    A host whose loop has ended would go on with old targets, an old
    configuration or a lapsed registration.
    """
    while True:
        try:
            await run()
        except Exception as fault:
            telemetry.log_event('loop_failed', loop=name, reason=repr(fault))
        await asyncio.sleep(pause.total_seconds())


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
