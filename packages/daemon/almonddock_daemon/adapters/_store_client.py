"""The client of the platform's key-value store."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Sequence
from typing import Any

import httpx
import orjson

from almonddock_core.model import Clock, StoreUnavailableError
from almonddock_core.store import (
    Guard,
    StoredValue,
    SwapResult,
    SwapValue,
    Unknown,
)
from almonddock_daemon.adapters import _store_codec as codec
from almonddock_daemon.adapters._store_batches import (
    READS_PER_CALL,
    build_reads,
    parse_reads,
)
from almonddock_daemon.adapters._store_limits import (
    CallLimiter,
    choose_backoff,
)
from almonddock_daemon.adapters._store_values import (
    StoreSettings,
    WatchEvent,
)
from almonddock_daemon.adapters._store_watch import StoreWatch

# Errors raised before any byte of the request is sent.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
# Errors after which a write may have taken effect.
_LOST_REPLY_ERRORS = (httpx.HTTPError, TimeoutError, LookupError, ValueError)
_WATCH_ERRORS = (*_LOST_REPLY_ERRORS, StoreUnavailableError)
_RANGE = '/v3/kv/range'
_TRANSACTION = '/v3/kv/txn'


class StoreClient:
    """Reads, swaps and watches keys with bounded rate and concurrency.

    Reads are retried; a swap or delete is sent once, because one whose reply
    is lost may have taken effect. It then returns :class:`Unknown`; to
    find out, put a token of your own into the value and read the key again.
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
            timeout=settings.call_timeout.total_seconds(),
            transport=transport,
            trust_env=False,
        )
        self._endpoints = itertools.cycle(settings.endpoints)
        self._endpoint = next(self._endpoints)
        self._clock = clock
        #: When the store last answered; at first, when this was created.
        self.answered_at = clock.now()
        #: Calls sent since the start, watches included.
        self.calls = 0

    async def read(self, key: str) -> StoredValue | None:
        """Returns the key's value, None when it does not exist."""
        return await self._read_key(self._settings.prefix + key)

    async def read_many(self, keys: Sequence[str]) -> dict[str, StoredValue]:
        """Returns the values of the keys that exist, in few calls."""
        prefix = self._settings.prefix
        found: dict[str, StoredValue] = {}
        for first in range(0, len(keys), READS_PER_CALL):
            part = keys[first : first + READS_PER_CALL]
            request = build_reads(prefix + key for key in part)
            found.update(
                parse_reads(
                    await self._call_with_retries(_TRANSACTION, request)
                ),
            )
        return {key.removeprefix(prefix): one for key, one in found.items()}

    async def list_keys(self, prefix: str) -> dict[str, int]:
        """Returns all keys with the prefix and their revisions."""
        request = {
            'key': self._encode(prefix),
            'range_end': codec.find_prefix_end(self._settings.prefix + prefix),
            'keys_only': True,
        }
        found = codec.parse_entries(
            await self._call_with_retries(_RANGE, request)
        )
        return {
            key.removeprefix(self._settings.prefix): stored.revision
            for key, stored in found.items()
        }

    async def read_all(self, prefix: str) -> dict[str, StoredValue]:
        """Returns all keys with the prefix and what they hold."""
        full = self._settings.prefix + prefix
        request = {
            'key': codec.encode_text(full),
            'range_end': codec.find_prefix_end(full),
        }
        found = codec.parse_entries(
            await self._call_with_retries(_RANGE, request)
        )
        return {
            key.removeprefix(self._settings.prefix): stored
            for key, stored in found.items()
        }

    async def put(self, key: str, content: bytes) -> None:
        """Writes a key unconditionally; retries if the reply is lost.

        Only for content that may be written twice, such as a document under
        its digest.
        """
        request = codec.build_put(self._settings.prefix + key, content)
        await self._call_with_retries('/v3/kv/put', request)

    async def swap(
        self,
        key: str,
        content: bytes,
        expected_revision: int | None,
        guard: Guard | None = None,
    ) -> SwapResult:
        """Writes only if the key is at the expected revision.

        ``None`` expects that the key does not exist; a guard is a second
        key that must be at its revision. Raises
        :class:`~almonddock_core.model.StoreUnavailableError` only when
        nothing was written.
        """
        prefix = self._settings.prefix
        if guard is not None:
            guard = Guard(prefix + guard.key, guard.revision)
        call = SwapValue(prefix + key, content, expected_revision, guard)
        return await self._write(codec.build_swap(call))

    async def delete(self, key: str, expected_revision: int) -> SwapResult:
        """Deletes the key only if it is at the expected revision."""
        return await self._write(
            codec.build_delete(self._settings.prefix + key, expected_revision),
        )

    async def watch(
        self,
        key: str,
        from_revision: int,
    ) -> AsyncIterator[WatchEvent]:
        """Yields every change from a revision on, indefinitely.

        A broken, ended or silent watch is reopened after the last change
        that was received, so none is lost. Changes that the store itself has
        compacted are replaced by a fresh read, marked as ``reset``.
        """
        watch = StoreWatch(self._settings.prefix + key, from_revision)
        failures = 0
        while True:
            try:
                async for event in self._watch_once(watch):
                    failures = 0
                    yield event
            except _WATCH_ERRORS:
                failures += 1
                self._endpoint = next(self._endpoints)
                pause = choose_backoff(self._settings, failures, self._random)
                await asyncio.sleep(pause.total_seconds())

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    def _encode(self, key: str) -> str:
        return codec.encode_text(self._settings.prefix + key)

    async def _read_key(self, key: str) -> StoredValue | None:
        reply = await self._call_with_retries(
            _RANGE, {'key': codec.encode_text(key)}
        )
        return next(codec.parse_values(reply), None)

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
            f'{self._endpoint}/v3/watch',
            content=orjson.dumps(watch.build_request()),
            timeout=limits,
        ) as response:
            response.raise_for_status()
            async for line in _read_lines(response):
                reply = codec.parse_watch(orjson.loads(line))
                self.answered_at = self._clock.now()
                if watch.needs_reset(reply):
                    current = await self._read_key(watch.key)
                    yield watch.reset(reply, current)
                    return
                for event in watch.receive(reply):
                    yield event

    async def _call_with_retries(
        self, path: str, request: object
    ) -> codec.JsonObject:
        failure = ''
        for attempt in range(self._settings.read_attempts):
            if attempt:
                pause = choose_backoff(self._settings, attempt, self._random)
                await asyncio.sleep(pause.total_seconds())
            try:
                return await self._post(path, request)
            except _LOST_REPLY_ERRORS as error:
                failure = repr(error)
        raise StoreUnavailableError(f'the store did not answer: {failure}')

    async def _write(self, request: object) -> SwapResult:
        try:
            return codec.parse_swap(await self._post(_TRANSACTION, request))
        except _NOT_SENT_ERRORS as refused:
            raise StoreUnavailableError(
                f'the store could not be reached: {refused!r}',
            ) from refused
        except httpx.HTTPStatusError as failed:
            if failed.response.is_client_error:
                raise StoreUnavailableError(
                    f'the store refused the write: {failed!r}',
                ) from failed
            return Unknown(repr(failed))
        except _LOST_REPLY_ERRORS as lost:
            return Unknown(repr(lost))

    async def _post(self, path: str, request: object) -> dict[str, Any]:
        async with self._limiter.admit():
            self.calls += 1
            try:
                response = await self._send(path, orjson.dumps(request))
            except _LOST_REPLY_ERRORS:
                self._endpoint = next(self._endpoints)
                raise
            self.answered_at = self._clock.now()
            return _parse_object(response.content)

    async def _send(self, path: str, content: bytes) -> httpx.Response:
        # The timeouts of httpx bound each phase, this one the whole call.
        limit = self._settings.call_timeout.total_seconds()
        async with asyncio.timeout(limit):
            url = f'{self._endpoint}{path}'
            response = await self._http.post(url, content=content)
        return response.raise_for_status()


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
        # No event within the idle timeout: the caller reopens the watch.
        return
    raise StoreUnavailableError('the store ended the watch')
