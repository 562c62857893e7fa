"""The client of the platform's key-value store."""

import asyncio
import random
from collections.abc import AsyncIterator
from typing import Any

import httpx
import orjson

from almonddock_core.model import Clock, StoreUnavailableError
from almonddock_daemon.adapters import _store_codec as codec
from almonddock_daemon.adapters._store_limits import (
    CallLimiter,
    choose_backoff,
)
from almonddock_daemon.adapters._store_values import (
    StoredValue,
    StoreSettings,
    SwapResult,
    Unknown,
    WatchEvent,
)
from almonddock_daemon.adapters._store_watch import StoreWatch

# Failures before any byte of the request has left.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
# Failures after which a write may have taken effect.
_LOST = (httpx.HTTPError, TimeoutError, ValueError)
_BROKEN = (*_LOST, StoreUnavailableError)
_RANGE = '/v3/kv/range'
_TRANSACTION = '/v3/kv/txn'


class StoreClient:
    """Reads, swaps and watches keys within fixed bounds.

    Reads are repeated; writes are sent once, because a write whose reply is
    lost may have taken effect. Such a write returns :class:`Unknown`, and
    only its caller can find out, by reading the key for a token of its own.
    """

    def __init__(
        self,
        settings: StoreSettings,
        clock: Clock,
        source: random.Random,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._settings = settings
        self._random = source
        self._limiter = CallLimiter(settings, clock)
        self._http = httpx.AsyncClient(
            base_url=settings.endpoint,
            timeout=settings.call_timeout.total_seconds(),
            transport=transport,
            trust_env=False,
        )
        #: Calls sent since the start, watches included.
        self.calls = 0

    async def read(self, key: str) -> StoredValue | None:
        """Returns the key's value, None when it does not exist."""
        reply = await self._read(_RANGE, {'key': codec.encode_text(key)})
        return next(codec.parse_values(reply), None)

    async def list_keys(self, prefix: str) -> tuple[str, ...]:
        """Returns the names of all keys that start with the prefix."""
        request = {
            'key': codec.encode_text(prefix),
            'range_end': codec.find_prefix_end(prefix),
            'keys_only': True,
        }
        return codec.parse_keys(await self._read(_RANGE, request))

    async def swap(
        self,
        key: str,
        content: bytes,
        expected_revision: int | None,
    ) -> SwapResult:
        """Writes only if the key is at the expected revision.

        ``None`` expects that the key does not exist. Raises
        :class:`~almonddock_core.model.StoreUnavailableError` only when
        nothing was written.
        """
        request = codec.build_swap(key, content, expected_revision)
        reply = await self._write(_TRANSACTION, request)
        if isinstance(reply, Unknown):
            return reply
        return codec.parse_swap(reply)

    async def delete(
        self,
        key: str,
        expected_revision: int,
    ) -> bool | Unknown:
        """Deletes the key at a revision; returns whether it was there."""
        request = codec.build_delete(key, expected_revision)
        reply = await self._write(_TRANSACTION, request)
        if isinstance(reply, Unknown):
            return reply
        return bool(reply.get('succeeded'))

    async def watch(
        self,
        key: str,
        from_revision: int,
    ) -> AsyncIterator[WatchEvent]:
        """Yields every change from a revision on, without end.

        A broken, ended or silent watch is opened anew after the last change
        that was seen, so none is lost. Changes that the store itself no
        longer has are replaced by a fresh read, marked as ``reset``.
        """
        watch = StoreWatch(key, from_revision)
        failures = 0
        while True:
            try:
                async for event in self._watch_once(watch):
                    failures = 0
                    yield event
            except _BROKEN:
                failures += 1
                pause = choose_backoff(self._settings, failures, self._random)
                await asyncio.sleep(pause.total_seconds())

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    async def _watch_once(self, watch: StoreWatch) -> AsyncIterator[WatchEvent]:
        idle = self._settings.watch_idle.total_seconds()
        limits = httpx.Timeout(
            self._settings.call_timeout.total_seconds(),
            read=idle,
        )
        async with self._limiter.admit():
            self.calls += 1
        async with self._http.stream(
            'POST',
            '/v3/watch',
            content=orjson.dumps(watch.build_request()),
            timeout=limits,
        ) as response:
            response.raise_for_status()
            async for line in _read_lines(response):
                reply = codec.parse_watch(orjson.loads(line))
                if watch.needs_reset(reply):
                    yield watch.reset(reply, await self.read(watch.key))
                    return
                for event in watch.receive(reply):
                    yield event

    async def _read(self, path: str, request: object) -> codec.JsonObject:
        failure = ''
        for attempt in range(self._settings.read_attempts):
            if attempt:
                pause = choose_backoff(self._settings, attempt, self._random)
                await asyncio.sleep(pause.total_seconds())
            try:
                return await self._post(path, request)
            except _LOST as error:
                failure = repr(error)
        raise StoreUnavailableError(f'the store did not answer: {failure}')

    async def _write(
        self,
        path: str,
        request: object,
    ) -> codec.JsonObject | Unknown:
        try:
            return await self._post(path, request)
        except _NOT_SENT as refused:
            raise StoreUnavailableError(
                f'the store could not be reached: {refused!r}',
            ) from refused
        except httpx.HTTPStatusError as failed:
            if failed.response.is_client_error:
                raise StoreUnavailableError(
                    f'the store refused the write: {failed!r}',
                ) from failed
            return Unknown(repr(failed))
        except _LOST as lost:
            return Unknown(repr(lost))

    async def _post(self, path: str, request: object) -> dict[str, Any]:
        async with self._limiter.admit():
            self.calls += 1
            # The timeouts of httpx bound each step, this one the whole call.
            async with asyncio.timeout(
                self._settings.call_timeout.total_seconds(),
            ):
                response = await self._http.post(
                    path,
                    content=orjson.dumps(request),
                )
            response.raise_for_status()
            return _parse_object(response.content)


def _parse_object(content: bytes) -> dict[str, Any]:
    parsed = orjson.loads(content)
    if not isinstance(parsed, dict):
        raise ValueError('expected a JSON object from the store')
    return parsed


async def _read_lines(response: httpx.Response) -> AsyncIterator[str]:
    try:
        async for line in response.aiter_lines():
            yield line
    except httpx.ReadTimeout:
        # No event within the idle time: the caller opens the watch anew.
        return
    raise StoreUnavailableError('the store ended the watch')
