"""The connections to one target from its owner, the host with its lease."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from datetime import timedelta

from almonddock_core.deployment import Target
from almonddock_core.model import (
    AttemptId,
    Clock,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
)
from almonddock_core.owners import (
    ConnectionLimiter,
    ConnectionSettings,
    TargetHealth,
)
from almonddock_daemon.adapters._http_connection import (
    HandleResponse,
    HttpConnection,
    HttpResponse,
)
from almonddock_daemon.adapters._target_messages import (
    build_reply,
    format_cancellation,
    format_health_request,
    format_request,
    parse_health,
    parse_reply,
)

#: How long a reply is awaited after the deadline, in seconds.
REPLY_GRACE_S = 0.05
REPLY_GRACE = timedelta(seconds=REPLY_GRACE_S)

#: How long a new connection may take, in seconds.
DIAL_TIMEOUT_S = 1.0

#: How long a cancellation or a health request may take, in seconds.
AUXILIARY_TIMEOUT_S = 1.0

HandleReply = Callable[[SubReply], None]
HandleHealth = Callable[[TargetHealth], None]


class TargetClient:
    """Sends sub-queries to one target over pooled connections."""

    def __init__(self, target: Target, clock: Clock) -> None:
        #: The target, with its address and limits.
        self.target = target
        self._clock = clock
        self._idle: deque[HttpConnection] = deque()
        self._limiter = ConnectionLimiter(target.entry, ConnectionSettings())
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def idle(self) -> int:
        """Connections in the pool that carry no request."""
        return len(self._idle)

    def send(self, sub: SubQuery, handle: HandleReply) -> None:
        """Sends a sub-query; ``handle`` is called exactly once."""
        connection = self._take_idle()
        if connection is not None:
            self._request(connection, sub, handle)
            return
        dial_at = self._limiter.reserve(self._clock.now())
        if dial_at is None:
            handle(build_reply(sub, ReplyStatus.NOT_RUN, Reason.OVERLOADED))
            return
        self._spawn(self._dial_and_send(dial_at, sub, handle))

    def cancel(self, attempt_id: AttemptId) -> None:
        """Asks the target to stop an attempt; its reply still arrives."""
        encoded = format_cancellation(attempt_id, self.target.entry.address)
        self._send_auxiliary(encoded, _ignore_response)

    def request_health(self, handle: HandleHealth) -> None:
        """Requests the health; ``handle`` gets only a valid reply."""

        def handle_response(response: HttpResponse | None) -> None:
            health = None if response is None else parse_health(response)
            if health is not None:
                handle(health)

        self._send_auxiliary(
            format_health_request(self.target.entry.address),
            handle_response,
        )

    def close(self) -> None:
        """Closes the idle connections; those in use are not interrupted."""
        while self._idle:
            self._idle.pop().abort()

    def _take_idle(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.open:
                return connection
        return None

    def _request(
        self,
        connection: HttpConnection,
        sub: SubQuery,
        handle: HandleReply,
    ) -> None:
        now = self._clock.now()
        if now >= sub.deadline:
            # A paused host must not send after its lease has ended; the owner
            # sets each deadline before the end of the lease.
            self._idle.append(connection)
            late = build_reply(sub, ReplyStatus.NOT_RUN, Reason.TIMED_OUT)
            handle(late)
            return
        wait = sub.deadline - now + REPLY_GRACE
        timer = asyncio.get_running_loop().call_later(
            max(0, wait.total_seconds()),
            connection.abort,
        )

        def finish(response: HttpResponse | None) -> None:
            timer.cancel()
            self._limiter.end(connection, answered=response is not None)
            self._close_unresponsive()
            handle(self._process_response(connection, sub, response))

        self._limiter.begin(connection, now)
        connection.request(
            format_request(sub, self.target.entry.address, now),
            finish,
        )

    def _process_response(
        self,
        connection: HttpConnection,
        sub: SubQuery,
        response: HttpResponse | None,
    ) -> SubReply:
        if response is None:
            late = self._clock.now() >= sub.deadline
            reason = Reason.TIMED_OUT if late else Reason.TARGET_UNREACHABLE
            return build_reply(sub, ReplyStatus.UNKNOWN, reason)
        reply = parse_reply(sub, response)
        if reply.reason is Reason.BAD_REPLY:
            connection.abort()
        elif connection.open:
            self._idle.append(connection)
        return reply

    def _send_auxiliary(self, encoded: bytes, handle: HandleResponse) -> None:
        """Sends a cancellation or a health request."""
        connection = self._take_idle()
        if connection is not None:
            self._request_and_keep(connection, encoded, handle)
            return
        dial_at = self._limiter.reserve(self._clock.now())
        if dial_at is not None:
            self._spawn(self._dial_auxiliary(dial_at, encoded, handle))

    def _request_and_keep(
        self,
        connection: HttpConnection,
        encoded: bytes,
        handle: HandleResponse,
    ) -> None:
        timer = asyncio.get_running_loop().call_later(
            AUXILIARY_TIMEOUT_S,
            connection.abort,
        )

        def keep(response: HttpResponse | None) -> None:
            timer.cancel()
            if response is not None and connection.open:
                self._idle.append(connection)
            handle(response)

        connection.request(encoded, keep)

    def _close_unresponsive(self) -> None:
        """Aborts connections that the network has probably dropped.

        They got no reply while later requests on others were answered.
        """
        for connection in self._limiter.find_unresponsive(self._clock.now()):
            if isinstance(connection, HttpConnection):
                connection.abort()

    async def _dial(self, dial_at: timedelta) -> HttpConnection | None:
        address, _, port = self.target.entry.address.rpartition(':')
        wait = dial_at - self._clock.now()
        if wait > timedelta():
            await asyncio.sleep(wait.total_seconds())
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                (
                    _,
                    connection,
                ) = await asyncio.get_running_loop().create_connection(
                    lambda: HttpConnection(self._handle_close),
                    address.strip('[]'),
                    int(port),
                )
        except (OSError, TimeoutError):
            self._limiter.free()
            return None
        return connection

    async def _dial_and_send(
        self,
        dial_at: timedelta,
        sub: SubQuery,
        handle: HandleReply,
    ) -> None:
        connection = await self._dial(dial_at)
        if connection is None:
            handle(
                build_reply(
                    sub,
                    ReplyStatus.NOT_RUN,
                    Reason.TARGET_UNREACHABLE,
                ),
            )
            return
        self._request(connection, sub, handle)

    async def _dial_auxiliary(
        self,
        dial_at: timedelta,
        encoded: bytes,
        handle: HandleResponse,
    ) -> None:
        connection = await self._dial(dial_at)
        if connection is not None:
            self._request_and_keep(connection, encoded, handle)

    def _handle_close(self, connection: HttpConnection) -> None:
        self._limiter.free()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _ignore_response(response: HttpResponse | None) -> None:
    """Ignores the reply to a cancellation, which carries no result."""
