"""Simulated callers, and the load balancer that assigns them to hosts."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

import httptools

from almonddock_gateway.settings import Address
from almonddock_platform.tests.standins import (
    READINESS_PATH,
    CallerAnswer,
    RequestDraft,
    digest_request,
    encode_request,
    read_answer,
)
from soak.observations import Call, ReadinessSample

#: The pause between two readiness checks of a host, in seconds.
READINESS_PAUSE_S = 0.5

#: Consecutive failed readiness checks that remove a host from rotation.
READINESS_MISSES = 2

#: The timeout of one readiness check, in seconds.
READINESS_TIMEOUT_S = 0.5

#: The longest time that a round of readiness checks takes unless the soak
#: itself is delayed.
MAX_ROUND = timedelta(seconds=READINESS_TIMEOUT_S + 0.1)

#: The timeout for opening a connection, in seconds.
DIAL_TIMEOUT_S = 1.0

#: The mean think time of a caller between two requests, in seconds.
MEAN_THINK_S = 0.15

#: The share of requests that are sent on a new connection.
NEW_CONNECTION_SHARE = 0.2

#: The share of requests whose callers disconnect early, and the longest time
#: after sending at which they do, in seconds.
LEAVE_SHARE = 0.03
LEAVE_S = 0.03


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that callers send."""

    path: str
    #: Its frequency relative to the other kinds.
    share: float
    deadline_ms: int
    method: str = 'GET'
    body: bytes = b''


#: The kinds of requests; their paths match the routes of the installation.
REQUEST_KINDS = (
    RequestKind('/all/search', share=5, deadline_ms=2000),
    RequestKind('/few/check', share=2, deadline_ms=800),
    RequestKind('/one/fetch', share=2, deadline_ms=4000),
    RequestKind('/split/fetch', share=1, deadline_ms=4000),
    RequestKind(
        '/order/new', share=2, deadline_ms=4000, method='POST', body=b'ab'
    ),
)

#: The wait before a retry if the answer states none, in seconds.
DEFAULT_RETRY_WAIT_S = 0.05

#: The longest wait before a retry, as a share of the time left until the
#: deadline, from the users' requirements.
MAX_RETRY_WAIT_SHARE = 1 / 3

MS_PER_S = 1000

#: Requests to paths with this prefix must not run twice.
NON_IDEMPOTENT_PREFIX = '/order/'

OK = 200
TOO_MANY = 429
UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; its HTTP code is not the code under test."""

    def __init__(self) -> None:
        #: Whether bytes arrived that belong to no answer.
        self.surplus = False
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._pending_answer: asyncio.Future[CallerAnswer | None] | None = None
        self._start()

    async def send(self, encoded: bytes) -> CallerAnswer | None:
        """Sends a request; returns None if the connection ended instead."""
        self._pending_answer = asyncio.get_running_loop().create_future()
        if self._transport is None:
            return None
        self._transport.write(encoded)
        return await self._pending_answer

    def close(self) -> None:
        """Ends the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Parses an answer; closes the connection on any other bytes."""
        pending_answer = self._pending_answer
        if pending_answer is None or pending_answer.done():
            self.surplus = True
            self.close()
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError:
            self.surplus = True
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Completes a pending request without an answer."""
        self.closed = True
        self._transport = None
        if self._pending_answer is not None and not self._pending_answer.done():
            self._pending_answer.set_result(None)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Stores a header; called by the parser."""
        self._headers[name.lower()] = content

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body; called by the parser."""
        self._body += part

    def on_message_complete(self) -> None:
        """Completes the pending request; called by the parser."""
        pending_answer = self._pending_answer
        if pending_answer is None or pending_answer.done():
            self.surplus = True
            return
        answer = read_answer(
            self._parser.get_status_code(),
            self._headers,
            self._body,
        )
        closing = self._headers.get(b'connection', b'').lower() == b'close'
        self.closed = self.closed or closing
        self._start()
        pending_answer.set_result(answer)

    def _start(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._body = b''


@dataclass(slots=True)
class HostEndpoint:
    """The addresses of a host, and its state in the balancer."""

    number: int
    #: The address of the proxy on the path from callers.
    caller_address: Address
    readiness_address: Address
    #: Returns the incarnation of the host's current process.
    get_incarnation: Callable[[], int]
    #: Consecutive failed readiness checks; initially, no host is in rotation.
    misses: int = READINESS_MISSES


class Balancer:
    """Assigns callers to hosts that pass readiness checks."""

    def __init__(
        self,
        endpoints: list[HostEndpoint],
        now: Callable[[], timedelta],
    ) -> None:
        #: The hosts that are checked.
        self.endpoints = endpoints
        #: What the readiness checks have found, ordered by time.
        self.samples: list[ReadinessSample] = []
        self._now = now

    @property
    def ready_count(self) -> int:
        """The number of hosts in rotation."""
        return sum(
            endpoint.misses < READINESS_MISSES for endpoint in self.endpoints
        )

    def choose(self, rng: random.Random) -> HostEndpoint:
        """Draws a host in rotation, or any host if there is none."""
        ready = [one for one in self.endpoints if one.misses < READINESS_MISSES]
        return rng.choice(ready or list(self.endpoints))

    async def run(self) -> None:
        """Checks the readiness of all hosts until cancelled."""
        while True:
            await self.check_all()
            await asyncio.sleep(READINESS_PAUSE_S)

    async def check_all(self) -> None:
        """Checks the readiness of all hosts once.

        A round that took longer than its checks can take shows a delay of the
        soak itself, and is no sample.
        """
        start = self._now()
        await asyncio.gather(
            *(self._check_readiness(endpoint) for endpoint in self.endpoints)
        )
        now = self._now()
        if now - start > MAX_ROUND:
            return
        self.samples.extend(
            ReadinessSample(one.number, now, one.misses < READINESS_MISSES)
            for one in self.endpoints
        )

    async def _check_readiness(self, endpoint: HostEndpoint) -> None:
        draft = RequestDraft(READINESS_PATH, 'ready', 1)
        connection: CallerConnection | None = None
        answer = None
        try:
            async with asyncio.timeout(READINESS_TIMEOUT_S):
                connection = await _open_connection(endpoint.readiness_address)
                answer = await connection.send(encode_request(draft))
        except (OSError, TimeoutError):
            # A timeout or connection error counts as a failed check.
            answer = None
        if connection is not None:
            connection.close()
        good = answer is not None and answer.status == OK
        endpoint.misses = 0 if good else endpoint.misses + 1


class Caller:
    """Sends requests in sequence, and records the outcome of each."""

    def __init__(
        self,
        number: int,
        balancer: Balancer,
        rng: random.Random,
        now: Callable[[], timedelta],
        record: Callable[[Call], None],
    ) -> None:
        self._number = number
        self._balancer = balancer
        self._rng = rng
        self._now = now
        self._record = record
        self._sent = 0
        self._connection: CallerConnection | None = None
        self._endpoint: HostEndpoint | None = None

    async def run(self) -> None:
        """Sends requests until cancelled."""
        shares = [kind.share for kind in REQUEST_KINDS]
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_THINK_S))
            kind = self._rng.choices(REQUEST_KINDS, shares)[0]
            call = await self._send(kind, kind.deadline_ms)
            if call is not None and _may_retry(call):
                await self._retry(kind, call)

    async def _retry(self, kind: RequestKind, call: Call) -> None:
        """Retries a failed request once after the wait that the host states."""
        spent = (call.ended - call.sent) / timedelta(milliseconds=1)
        left = kind.deadline_ms - spent
        wait = DEFAULT_RETRY_WAIT_S
        if call.answer is not None and call.answer.retry_after is not None:
            longest = left / MS_PER_S * MAX_RETRY_WAIT_SHARE
            wait = min(call.answer.retry_after, longest)
        left -= wait * MS_PER_S
        if left > 0:
            await asyncio.sleep(max(0, wait))
            await self._send(kind, round(left), fresh=True)

    async def _send(
        self,
        kind: RequestKind,
        deadline_ms: int,
        *,
        fresh: bool = False,
    ) -> Call | None:
        connection = await self._connect(fresh=fresh)
        endpoint = self._endpoint
        if connection is None or endpoint is None:
            return None
        self._sent += 1
        draft = RequestDraft(
            kind.path,
            f'c{self._number}-{self._sent}',
            deadline_ms,
            kind.method,
            kind.body,
        )
        unanswered = Call(
            attempt_id=draft.attempt_id,
            path=draft.path,
            digest=digest_request(
                draft.method.encode(),
                draft.path.encode(),
                draft.body,
            ),
            host=endpoint.number,
            incarnation=endpoint.get_incarnation(),
            sent=self._now(),
            deadline_ms=deadline_ms,
            ended=self._now(),
            answer=None,
        )
        call = replace(unanswered, left=True)
        try:
            call = await self._await_answer(connection, draft, unanswered)
        finally:
            # A request that is cancelled at the end of the run is recorded as
            # left by its caller.
            self._record(replace(call, ended=self._now()))
        return call

    async def _await_answer(
        self,
        connection: CallerConnection,
        draft: RequestDraft,
        unanswered: Call,
    ) -> Call:
        timeout_s = draft.deadline_ms / MS_PER_S
        leaves = self._rng.random() < LEAVE_SHARE
        if leaves:
            timeout_s = min(timeout_s, self._rng.uniform(0, LEAVE_S))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await connection.send(encode_request(draft))
        except TimeoutError:
            connection.close()
            return replace(unanswered, ended=self._now(), left=True)
        return replace(
            unanswered,
            ended=self._now(),
            answer=answer,
            surplus=connection.surplus,
        )

    async def _connect(self, *, fresh: bool) -> CallerConnection | None:
        connection = self._connection
        if connection is not None and not connection.closed:
            if not fresh and self._rng.random() > NEW_CONNECTION_SHARE:
                return connection
            connection.close()
        self._connection = None
        self._endpoint = self._balancer.choose(self._rng)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                self._connection = await _open_connection(
                    self._endpoint.caller_address
                )
        except (OSError, TimeoutError):
            # Nothing was sent, so nothing is recorded; the next request
            # draws a host again.
            return None
        return self._connection


def _may_retry(call: Call) -> bool:
    """Whether a caller may retry a request, by the users' requirements."""
    if call.left:
        return False
    idempotent = not call.path.startswith(NON_IDEMPOTENT_PREFIX)
    if call.answer is None:
        return idempotent
    status = call.answer.status
    if status in {TOO_MANY, UNAVAILABLE}:
        return True
    return idempotent and status >= FIRST_SERVER_ERROR


async def _open_connection(address: Address) -> CallerConnection:
    _, connection = await asyncio.get_running_loop().create_connection(
        CallerConnection,
        address.host,
        address.port,
    )
    return connection
