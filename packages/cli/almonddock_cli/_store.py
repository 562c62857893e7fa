"""Runs the core's generators of store calls from the command line."""

import asyncio
import random
from collections.abc import Generator
from datetime import timedelta
from typing import Annotated, TypeVar

import typer

from almonddock_core.store import StoreCall, StoreReply
from almonddock_daemon import MonotonicClock
from almonddock_daemon.adapters import StoreClient, StoreSettings, run_steps

_Result = TypeVar('_Result')

#: Higher than the limit of a host's calls to the store, because a publish
#: writes each changed document.
_CALLS_PER_SECOND = 400
_BURST = 400
_CALL_TIMEOUT = timedelta(seconds=5)

StoreUrls = Annotated[
    list[str],
    typer.Option(
        '--store',
        envvar='ALMONDDOCK_STORE',
        help='Base URL of the store; may be given several times.',
    ),
]

StorePrefix = Annotated[
    str,
    typer.Option('--prefix', help='Prefix of every key in the store.'),
]

DEFAULT_PREFIX = '/almonddock/'


def run_store_steps(
    urls: list[str],
    prefix: str,
    steps: Generator[StoreCall, StoreReply, _Result],
) -> _Result:
    """Performs the store calls of a generator and returns its result."""
    return asyncio.run(_run_store_steps(urls, prefix, steps))


async def _run_store_steps(
    urls: list[str],
    prefix: str,
    steps: Generator[StoreCall, StoreReply, _Result],
) -> _Result:
    settings = StoreSettings(
        tuple(url.rstrip('/') for url in urls),
        prefix,
        call_timeout=_CALL_TIMEOUT,
        calls_per_second=_CALLS_PER_SECOND,
        burst=_BURST,
    )
    store = StoreClient(settings, MonotonicClock(), random.Random())
    try:
        return await run_steps(store, steps)
    finally:
        await store.close()
