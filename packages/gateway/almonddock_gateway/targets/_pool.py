"""The pool of connections from this host to one target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch import Failure
from almonddock_core.routing import KnownTarget
from almonddock_gateway.http import (
    ClientConnection,
    HttpReply,
    ReplyMatch,
    ReplyMemory,
)
from almonddock_gateway.targets._attempts import TargetAttempt
from almonddock_gateway.targets._waiting import WaitingAttempts, fail_unsent

#: The timeout for opening a connection, in seconds. Targets accept within a
#: few milliseconds; a machine that is down never answers.
DIAL_TIMEOUT_S = 0.5

#: The bounds of the pause between dials to an unreachable target, in seconds;
#: each failed dial doubles it.
MIN_REDIAL_PAUSE_S = 0.2
MAX_REDIAL_PAUSE_S = 0.8

#: Idle connections are closed this long before the target would, in seconds.
KEEP_ALIVE_MARGIN_S = 0.4

#: The idle timeout if the target sends no Keep-Alive header, in seconds.
DEFAULT_IDLE_S = 4.0

#: The longest idle time of a connection that may carry requests which must
#: not be sent twice, in seconds.
MAX_FRESH_IDLE_S = 0.3


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """The target, limit and callback of one pool."""

    target: KnownTarget
    #: Returns the most connections that may be open or opening at once; called
    #: each time because the limit changes with the number of hosts.
    get_limit: Callable[[], int]
    #: Called when the target becomes reachable or unreachable.
    report_reachability: Callable[[KnownTarget], None]
    #: Whether attempts may wait for a connection: the target may leave, or the
    #: host may stop, before one is free.
    may_wait: Callable[[], bool] = lambda: True
    #: Records what a reply says of the target.
    observe: Callable[[HttpReply], None] = lambda reply: None
    #: Bounds the incomplete replies of all targets.
    memory: ReplyMemory = field(default_factory=ReplyMemory)


class TargetPool:
    """Sends attempts over pooled connections and queues by priority."""

    def __init__(self, settings: PoolSettings) -> None:
        self.dials = 0
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._open: set[ClientConnection] = set()
        self._dialling: set[asyncio.Task[None]] = set()
        self._waiting = WaitingAttempts()
        self._redial: asyncio.TimerHandle | None = None
        self._redial_wait_s = MIN_REDIAL_PAUSE_S

    @property
    def unused(self) -> bool:
        """Whether the pool holds neither connections nor attempts."""
        busy = self._open or self._dialling or self._waiting
        return not busy and self._redial is None

    def submit(self, attempt: TargetAttempt) -> None:
        """Sends the attempt, or queues it until a connection is free."""
        connection = self._take_idle(fresh_only=attempt.fresh_only)
        if connection is not None:
            self._send(connection, attempt)
            return
        if not self._settings.may_wait():
            # The caller expects no outcome before it returns.
            self._loop.call_soon(fail_unsent, attempt, Failure.WITHDRAWN)
            return
        self._waiting.push(attempt)
        self._dial_if_needed()

    def cancel(self, attempt: TargetAttempt) -> None:
        """Cancels an attempt; closes its connection to stop work on it."""
        attempt.ended = True
        if attempt.connection is not None:
            attempt.connection.close()

    def check_waiting(self) -> None:
        """Withdraws the attempts that wait, once they may not any more."""
        if self._waiting and not self._settings.may_wait():
            self._waiting.fail_all(Failure.WITHDRAWN)

    def close_idle(self) -> None:
        """Closes connections that have exceeded their idle timeout."""
        now = self._loop.time()
        keep = [
            connection
            for connection in self._idle
            if not _is_stale(connection, now)
        ]
        stale = [
            connection for connection in self._idle if connection not in keep
        ]
        self._idle = keep
        for connection in stale:
            connection.close()

    def close(self) -> None:
        """Closes all idle connections; busy ones stay open."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            connection.close()

    def _take_idle(self, *, fresh_only: bool) -> ClientConnection | None:
        now = self._loop.time()
        while self._idle:
            connection = self._idle[-1]
            if fresh_only and now - connection.idle_since > MAX_FRESH_IDLE_S:
                return None
            self._idle.pop()
            if connection.usable and not _is_stale(connection, now):
                return connection
            connection.close()
        return None

    def _send(
        self,
        connection: ClientConnection,
        attempt: TargetAttempt,
    ) -> None:
        attempt.connection = connection

        def finish(reply: HttpReply | None) -> ReplyMatch:
            if attempt.ended:
                return ReplyMatch.ACCEPTED
            if reply is None:
                attempt.ended = True
                attempt.fail(Failure.LOST)
                return ReplyMatch.ACCEPTED
            match = attempt.receive(reply)
            attempt.ended = match is ReplyMatch.ACCEPTED
            if attempt.ended:
                self._settings.observe(reply)
            return match

        connection.request(
            attempt.encode(),
            finish,
            without_body=attempt.without_body,
        )

    def _release(self, connection: ClientConnection) -> None:
        """Reuses a connection whose reply is complete."""
        connection.idle_since = self._loop.time()
        self.check_waiting()
        attempt = self._waiting.pop()
        if attempt is None:
            self._idle.append(connection)
        else:
            self._send(connection, attempt)

    def _forget(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._dial_if_needed()

    def _dial_if_needed(self) -> None:
        wanted = len(self._waiting) - len(self._dialling)
        used = len(self._open) + len(self._dialling)
        if wanted > 0 and used >= self._settings.get_limit() and self._idle:
            # Makes room for a new connection: this one was idle for too long
            # to carry the waiting attempts.
            self._idle.pop(0).close()
            return
        room = self._settings.get_limit() - used
        for _ in range(min(wanted, room)):
            self._start_dial()

    async def _dial(self) -> None:
        entry = self._settings.target.entry
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(
                        self._release, self._forget, self._settings.memory
                    ),
                    entry.host,
                    entry.port,
                )
        except TimeoutError:
            # The machine does not answer, so idle connections are unusable.
            self.close()
            self._note_unreachable()
            return
        except OSError:
            # One that counts as unreachable already needs the next redial.
            if not self._open or self._settings.target.health.unreachable:
                self._note_unreachable()
            return
        self._note_reachable()
        self._open.add(connection)
        if connection.usable:
            self._release(connection)
        else:
            self._forget(connection)

    def _note_reachable(self) -> None:
        target = self._settings.target
        health = target.health
        health.reached = timedelta(seconds=self._loop.time())
        if health.unreachable:
            health.unreachable = False
            self._settings.report_reachability(target)
        self._redial_wait_s = MIN_REDIAL_PAUSE_S

    def _note_unreachable(self) -> None:
        """Fails the queued attempts and schedules another dial."""
        target = self._settings.target
        if not target.health.unreachable:
            target.health.unreachable = True
            self._settings.report_reachability(target)
        self._waiting.fail_all(Failure.UNSENT)
        if self._redial is None and not target.dropped:
            self._redial = self._loop.call_later(
                self._redial_wait_s,
                self._dial_again,
            )
            self._redial_wait_s = min(
                self._redial_wait_s * 2, MAX_REDIAL_PAUSE_S
            )

    def _dial_again(self) -> None:
        """Dials without a request, to detect that the target is back."""
        self._redial = None
        if self._settings.target.dropped or self._dialling:
            return
        self._start_dial()

    def _start_dial(self) -> None:
        self.dials += 1
        task = self._loop.create_task(self._dial())
        self._dialling.add(task)
        task.add_done_callback(self._dialling.discard)


def _is_stale(connection: ClientConnection, now: float) -> bool:
    kept = connection.keep_alive or DEFAULT_IDLE_S
    return now - connection.idle_since > kept - KEEP_ALIVE_MARGIN_S
