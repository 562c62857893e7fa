"""Runs generators of store calls, defined in the core, on the client."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

from almonddock_core.model import StoreUnavailableError
from almonddock_core.store import (
    DeleteValue,
    ListRevisions,
    PutValues,
    ReadValues,
    Revisions,
    StoreCall,
    StoreReply,
    SwapValue,
    Unavailable,
    Values,
)
from almonddock_daemon.adapters._store_client import StoreClient

_Result = TypeVar('_Result')


async def run_steps(
    store: StoreClient,
    steps: Generator[StoreCall, StoreReply, _Result],
) -> _Result:
    """Performs each call that the generator yields; returns its result."""
    try:
        call = next(steps)
        while True:
            call = steps.send(await perform_call(store, call))
    except StopIteration as stop:
        result: _Result = stop.value
        return result


async def perform_call(store: StoreClient, call: StoreCall) -> StoreReply:
    """Performs one call; an unavailable store is a reply, not an error."""
    try:
        return await _perform(store, call)
    except StoreUnavailableError as error:
        return Unavailable(error.message)


async def _perform(store: StoreClient, call: StoreCall) -> StoreReply:
    match call:
        case ReadValues():
            return Values(await store.read_many(call.keys))
        case ListRevisions():
            return Revisions(await store.list_keys(call.prefix))
        case PutValues():
            await asyncio.gather(
                *(store.put(key, one) for key, one in call.contents.items()),
            )
            return Values({})
        case SwapValue():
            return await store.swap(
                call.key,
                call.content,
                call.expected,
                call.guard,
            )
        case DeleteValue():
            return await store.delete(call.key, call.expected)
