"""Callers, and the balancer that sends them to hosts."""

import asyncio
import random
from collections.abc import Callable, Sequence
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
from soak.observations import Call

#: The pause between two looks of the balancer at a host, in seconds.
READINESS_PAUSE_S = 0.5

#: The looks in a row without a good answer that take a host out.
READINESS_MISSES = 2

#: How long one look may take, in seconds.
READINESS_TIMEOUT_S = 0.5

#: How long a connection may take to open, in seconds.
DIAL_TIMEOUT_S = 1.0

#: The mean pause of a caller between two requests, in seconds.
THINK_S = 0.15

#: The share of requests that go over a new connection.
FRESH_SHARE = 0.2

#: The share of requests whose callers leave early, and when at the latest, in
#: seconds.
LEAVE_SHARE = 0.03
LEAVE_S = 0.03


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request."""

    path: str
    #: How often it comes, relative to the others.
    share: float
    deadline_ms: int
    method: str = 'GET'
    body: bytes = b''


#: What callers ask for; the paths are those of the installation's routes.
REQUEST_KINDS = (
    RequestKind('/all/search', share=5, deadline_ms=2000),
    RequestKind('/few/check', share=2, deadline_ms=800),
    RequestKind('/one/fetch', share=2, deadline_ms=4000),
    RequestKind('/split/fetch', share=1, deadline_ms=4000),
    RequestKind(
        '/order/new', share=2, deadline_ms=4000, method='POST', body=b'ab'
    ),
)

#: The wait before a request is sent again after a failure, in seconds.
RETRY_S = 0.05

#: The longest wait that a caller accepts, as a share of its time left (users'
#: pages).
PATIENCE_SHARE = 1 / 3

MS_PER_S = 1000

#: Requests to this path must not run twice.
ORDERS = '/order/'

OK = 200
TOO_MANY = 429
UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500


class CallerLink(asyncio.Protocol):
    """One connection of a caller, independent of the code under test."""

    def __init__(self) -> None:
        #: Whether bytes came that belong to no request.
        self.surplus = False
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._answered: asyncio.Future[CallerAnswer | None] | None = None
        self._start()

    async def ask(self, encoded: bytes) -> CallerAnswer | None:
        """Sends a request; returns None if the connection ended instead."""
        self._answered = asyncio.get_running_loop().create_future()
        if self._transport is None:
            return None
        self._transport.write(encoded)
        return await self._answered

    def close(self) -> None:
        """Ends the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Reads an answer; anything else is surplus."""
        answered = self._answered
        if answered is None or answered.done():
            self.surplus = True
            self.close()
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError:
            self.surplus = True
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the wait for an answer."""
        self.closed = True
        self._transport = None
        if self._answered is not None and not self._answered.done():
            self._answered.set_result(None)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keeps a header; called by the parser."""
        self._headers[name.lower()] = content

    def on_body(self, part: bytes) -> None:
        """Keeps a part of the body; called by the parser."""
        self._body += part

    def on_message_complete(self) -> None:
        """Ends the wait; called by the parser."""
        answered = self._answered
        if answered is None or answered.done():
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
        answered.set_result(answer)

    def _start(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._body = b''


@dataclass(slots=True)
class HostEndpoint:
    """A host as callers reach it."""

    number: int
    #: The way for callers, through a proxy.
    callers: Address
    readiness: Address
    #: The number of the process that serves now.
    get_lifetime: Callable[[], int]
    #: Looks in a row without a good answer.
    misses: int = READINESS_MISSES


class Balancer:
    """Sends callers to hosts that say that they are ready."""

    def __init__(self, endpoints: Sequence[HostEndpoint]) -> None:
        self._endpoints = endpoints

    @property
    def ready(self) -> int:
        """The number of hosts in the rotation."""
        return sum(
            endpoint.misses < READINESS_MISSES for endpoint in self._endpoints
        )

    def choose(self, chance: random.Random) -> HostEndpoint:
        """Draws a host, one in the rotation if there is any."""
        ready = [
            one for one in self._endpoints if one.misses < READINESS_MISSES
        ]
        return chance.choice(ready or list(self._endpoints))

    async def run(self) -> None:
        """Looks at all hosts until cancelled."""
        while True:
            await asyncio.gather(
                *(self._look(endpoint) for endpoint in self._endpoints)
            )
            await asyncio.sleep(READINESS_PAUSE_S)

    async def _look(self, endpoint: HostEndpoint) -> None:
        draft = RequestDraft(READINESS_PATH, 'ready', 1)
        link: CallerLink | None = None
        answer = None
        try:
            async with asyncio.timeout(READINESS_TIMEOUT_S):
                link = await _open(endpoint.readiness)
                answer = await link.ask(encode_request(draft))
        except (OSError, TimeoutError):
            # A miss like any other.
            answer = None
        if link is not None:
            link.close()
        good = answer is not None and answer.status == OK
        endpoint.misses = 0 if good else endpoint.misses + 1


class Caller:
    """Sends one request after the other, and keeps what came of each."""

    def __init__(
        self,
        number: int,
        balancer: Balancer,
        chance: random.Random,
        now: Callable[[], timedelta],
        note: Callable[[Call], None],
    ) -> None:
        self._number = number
        self._balancer = balancer
        self._chance = chance
        self._now = now
        self._note = note
        self._sent = 0
        self._link: CallerLink | None = None
        self._endpoint: HostEndpoint | None = None

    async def run(self) -> None:
        """Sends requests until cancelled."""
        shares = [kind.share for kind in REQUEST_KINDS]
        while True:
            await asyncio.sleep(self._chance.expovariate(1 / THINK_S))
            kind = self._chance.choices(REQUEST_KINDS, shares)[0]
            call = await self._send(kind, kind.deadline_ms)
            if call is not None and _may_repeat(call):
                await self._come_back(kind, call)

    async def _come_back(self, kind: RequestKind, call: Call) -> None:
        """Sends a failed request once more, when the host said to."""
        spent = (call.ended - call.sent) / timedelta(milliseconds=1)
        left = kind.deadline_ms - spent
        wait = RETRY_S
        if call.answer is not None and call.answer.retry_after is not None:
            longest = left / MS_PER_S * PATIENCE_SHARE
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
        link = await self._connect(fresh=fresh)
        endpoint = self._endpoint
        if link is None or endpoint is None:
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
            lifetime=endpoint.get_lifetime(),
            sent=self._now(),
            deadline_ms=deadline_ms,
            ended=self._now(),
            answer=None,
        )
        call = replace(unanswered, left=True)
        try:
            call = await self._wait(link, draft, unanswered)
        finally:
            # The end of the run cuts requests short: these callers leave.
            self._note(replace(call, ended=self._now()))
        return call

    async def _wait(
        self,
        link: CallerLink,
        draft: RequestDraft,
        unanswered: Call,
    ) -> Call:
        patience = draft.deadline_ms / MS_PER_S
        leaves = self._chance.random() < LEAVE_SHARE
        if leaves:
            patience = min(patience, self._chance.uniform(0, LEAVE_S))
        try:
            async with asyncio.timeout(patience):
                answer = await link.ask(encode_request(draft))
        except TimeoutError:
            link.close()
            return replace(unanswered, ended=self._now(), left=True)
        return replace(
            unanswered,
            ended=self._now(),
            answer=answer,
            surplus=link.surplus,
        )

    async def _connect(self, *, fresh: bool) -> CallerLink | None:
        link = self._link
        if link is not None and not link.closed:
            if not fresh and self._chance.random() > FRESH_SHARE:
                return link
            link.close()
        self._link = None
        self._endpoint = self._balancer.choose(self._chance)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                self._link = await _open(self._endpoint.callers)
        except (OSError, TimeoutError):
            # Nothing was sent, so nothing is noted; another host is next.
            return None
        return self._link


def _may_repeat(call: Call) -> bool:
    """Whether a caller sends the request again, as the users' pages say."""
    if call.left:
        return False
    idempotent = not call.path.startswith(ORDERS)
    if call.answer is None:
        return idempotent
    status = call.answer.status
    if status in {TOO_MANY, UNAVAILABLE}:
        return True
    return idempotent and status >= FIRST_SERVER_ERROR


async def _open(address: Address) -> CallerLink:
    _, link = await asyncio.get_running_loop().create_connection(
        CallerLink,
        address.host,
        address.port,
    )
    return link
