"""Asks targets whether they are cold while the store does not tell.

A target may turn cold at any moment, and fails under its usual load then. Its
entry in the store says so; while the store is away only its health check does.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch import DispatchContext
from almonddock_core.model import Clock
from almonddock_core.routing import KnownTarget, Service
from almonddock_gateway.http import HttpReply, ReplyMatch
from almonddock_gateway.settings import HeaderNames
from almonddock_gateway.targets import TargetAttempt, TargetPools
from almonddock_gateway.telemetry import Telemetry

#: The pause between two health checks of a target.
CHECK_INTERVAL_MS = 50
CHECK_INTERVAL = timedelta(milliseconds=CHECK_INTERVAL_MS)

#: The pause while the configuration limits no cold target.
IDLE_INTERVAL_MS = 500
IDLE_INTERVAL = timedelta(milliseconds=IDLE_INTERVAL_MS)

#: Entries that were read longer ago than this do not show in time that a target
#: has turned cold: hosts read them four times a second then.
MAX_NEWS_AGE_MS = 300
MAX_NEWS_AGE = timedelta(milliseconds=MAX_NEWS_AGE_MS)

#: A health check without a reply is cancelled after this time.
CHECK_TIMEOUT_MS = 500
CHECK_TIMEOUT = timedelta(milliseconds=CHECK_TIMEOUT_MS)

MS = timedelta(milliseconds=1)

#: The priority of a health check among requests that wait for a connection.
CHECK_PRIORITY = 0


@dataclass(frozen=True, slots=True)
class WarmthDependencies:
    """The dependencies of :class:`WarmthController`."""

    context: DispatchContext
    pools: TargetPools
    names: HeaderNames
    clock: Clock
    telemetry: Telemetry
    #: Returns when the store's entries were last read; None before.
    get_news_time: Callable[[], timedelta | None]


@dataclass(frozen=True, slots=True)
class _Check:
    target: KnownTarget
    attempt: TargetAttempt
    started: timedelta


class WarmthController:
    """Checks the targets in use that have a limit while they are cold."""

    def __init__(self, deps: WarmthDependencies) -> None:
        self._deps = deps
        self._checks: dict[str, _Check] = {}
        # When each target was last checked.
        self._checked: dict[str, timedelta] = {}

    async def run(self) -> None:
        """Checks targets until cancelled."""
        while True:
            limited = self._list_limited_services()
            if limited:
                self.check(limited)
            pause = CHECK_INTERVAL if limited else IDLE_INTERVAL
            await asyncio.sleep(pause.total_seconds())

    def check(self, services: list[Service]) -> None:
        """Starts a check of each target in use, if the news is too old."""
        self._cancel_overdue()
        deps = self._deps
        now = deps.clock.now()
        read = deps.get_news_time()
        if read is None or now - read <= MAX_NEWS_AGE:
            self._checked = {}
            return
        for service in services:
            for target in deps.context.targets.list_usable(service.name, now):
                if self._is_due(target, now):
                    self._start(target, service, now)

    def _list_limited_services(self) -> list[Service]:
        table = self._deps.context.table
        services = table.services.values() if table else ()
        return [
            service
            for service in services
            if service.cold_requests_per_second and service.health_path
        ]

    def _is_due(self, target: KnownTarget, now: timedelta) -> bool:
        """Whether the target is taken as warm and was used since its check."""
        target_id = target.entry.target_id
        health = target.health
        unknown = target_id in self._checks or health.unreachable
        if unknown or target.cold_until > now:
            return False
        if health.in_flight:
            return True
        checked = self._checked.get(target_id, timedelta())
        return health.reached is not None and health.reached > checked

    def _start(
        self, target: KnownTarget, service: Service, now: timedelta
    ) -> None:
        entry = target.entry
        encoded = (
            f'GET {service.health_path} HTTP/1.1\r\n'
            f'host: {entry.host}:{entry.port}\r\n\r\n'
        ).encode()
        attempt = TargetAttempt(
            encode=lambda: encoded,
            receive=lambda reply: self._receive(target, reply),
            fail=lambda _: self._forget(target),
            fresh_only=False,
            priority=CHECK_PRIORITY,
        )
        self._checks[entry.target_id] = _Check(target, attempt, now)
        self._deps.pools.get(target).submit(attempt)

    def _receive(self, target: KnownTarget, reply: HttpReply) -> ReplyMatch:
        names = self._deps.names
        if reply.find(names.attempt_id) is not None:
            # An extra reply to an earlier request on this connection.
            return ReplyMatch.FOREIGN
        self._forget(target)
        now = self._deps.clock.now()
        target_id = target.entry.target_id
        self._checked[target_id] = now
        if reply.find(names.health_target) not in {None, target_id.encode()}:
            target.replaced = True
            return ReplyMatch.ACCEPTED
        cold_for = reply.find(names.cold_for) or b''
        if cold_for.isdigit() and int(cold_for[:9]):
            target.extend_cold(int(cold_for[:9]) * MS, now)
            self._deps.telemetry.log_event(
                'target_cold',
                target=target_id,
                service=target.entry.service,
                cold_for_ms=int(cold_for[:9]),
                news_read=self._deps.get_news_time(),
            )
        return ReplyMatch.ACCEPTED

    def _forget(self, target: KnownTarget) -> None:
        self._checks.pop(target.entry.target_id, None)

    def _cancel_overdue(self) -> None:
        now = self._deps.clock.now()
        for check in tuple(self._checks.values()):
            if now - check.started > CHECK_TIMEOUT:
                self._forget(check.target)
                self._deps.pools.get(check.target).cancel(check.attempt)
