"""Serves a stand-in target over HTTP and injects faults."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from random import Random

from pydantic import TypeAdapter, ValidationError

from almonddock_standins._http import Connection, Exchange, HttpServer
from almonddock_standins.target._cold_start import ColdStart
from almonddock_standins.target._counters import Counters
from almonddock_standins.target._faults import Faults
from almonddock_standins.target._history import History, read_time
from almonddock_standins.target._replies import Replies, build_echo
from almonddock_standins.target._rows import build_rows
from almonddock_standins.target._settings import TargetSettings

SUB_QUERY_PATH = '/v1/sub-query'
CANCELLED_STATUS = 499
#: Multiplies the service time of a sub-query above the cold slots.
OVERLOAD_FACTOR = 10

FAULTS = TypeAdapter(Faults)


@dataclass(frozen=True, slots=True)
class _Running:
    exchange: Exchange
    timer: asyncio.TimerHandle


class StandInTarget:
    """Serves one replica on one loopback address."""

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.address = settings.address
        self.versions = settings.versions
        self.counters = Counters()
        self.faults = Faults()
        self._server = HttpServer(self._handle, self._admit)
        self._random = Random(f'{settings.seed}:{settings.name}')
        self._running: dict[str, _Running] = {}
        self._history = History(settings.report_lag)
        self._replies = Replies()
        self._drain_started: float = 0
        self._cold_start = ColdStart(settings.warm_after)

    async def start(self) -> str:
        """Listens and returns the bound address."""
        self.address = await self._server.start(self.settings.address)
        return self.address

    async def stop(self) -> None:
        """Stops listening and breaks every connection."""
        await self._server.stop()

    def switch_faults(self, faults: Faults) -> None:
        """Replaces the faults that are on."""
        if faults.drain and not self.faults.drain:
            self._drain_started = read_time()
        if faults.cold != self.faults.cold:
            self._cold_start.restart()
        self.faults = faults
        if faults.down:
            self._server.abort_connections()
        if faults.stall_open:
            for connection in self._server.connections:
                connection.stalled = True
        self._record_state()

    def _admit(self, connection: Connection) -> float | None:
        open_connections = len(self._server.connections)
        if self.faults.down:
            return None
        if open_connections >= self.settings.connections:
            self.counters.over_connections += 1
            return None
        self.counters.most_connections = max(
            self.counters.most_connections,
            open_connections + 1,
        )
        return self.settings.connect.total_seconds()

    def _handle(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == SUB_QUERY_PATH:
            self._receive(exchange)
        elif path.startswith(SUB_QUERY_PATH):
            self._cancel(exchange)
        elif path == '/fault':
            self._read_faults(exchange)
        else:
            self._send_report(exchange)

    def _receive(self, exchange: Exchange) -> None:
        self.counters.received += 1
        if self.faults.silent:
            return
        refusal = self._find_refusal()
        version = int(exchange.request.headers['x-index-version'])
        if refusal:
            self.counters.refused += 1
            exchange.respond(
                HTTPStatus.SERVICE_UNAVAILABLE,
                headers={
                    'x-not-run': refusal,
                    **build_echo(exchange.request.headers),
                    **self._build_load_headers(),
                },
            )
        elif version not in self.versions:
            self.counters.refused += 1
            exchange.respond(
                HTTPStatus.CONFLICT,
                headers={
                    'x-not-run': 'wrong_version',
                    **build_echo(exchange.request.headers),
                    'x-index-version': str(self.versions[-1]),
                },
            )
        else:
            self._run(exchange)

    def _find_refusal(self) -> str:
        in_flight = len(self._running)
        if self.faults.drain:
            self.counters.after_drain += 1
            self.counters.last_after_drain = read_time() - self._drain_started
            return 'draining'
        if self.faults.shed:
            return 'overloaded'
        if (
            self._cold_start.is_cold(self.faults)
            and in_flight >= self.settings.cold_slots
        ):
            self.counters.over_cold += 1
            return '' if self.faults.cold_unannounced else 'cold'
        if in_flight >= self.settings.slots:
            self.counters.over_slots += 1
            return 'overloaded'
        return ''

    def _run(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        attempt = headers['x-attempt-id']
        # A repeated attempt must not replace the entry of one that still runs.
        while attempt in self._running:
            attempt = f'{attempt}+'
        self.counters.run += 1
        name = '/'.join((headers['x-request-id'], headers['x-shard']))
        self.counters.runs[name] += 1
        seconds = self.settings.service_times.draw(self._random)
        seconds *= self.faults.slow
        if (
            self._cold_start.is_cold(self.faults)
            and len(self._running) >= self.settings.cold_slots
        ):
            seconds *= OVERLOAD_FACTOR
        loop = asyncio.get_running_loop()
        timer = loop.call_later(seconds, self._finish, attempt)
        self._running[attempt] = _Running(exchange, timer)
        self._record_state()

    def _finish(self, attempt: str) -> None:
        exchange = self._running.pop(attempt).exchange
        self._record_state()
        self.counters.answered += 1
        self._cold_start.count_reply()
        reply = self._replies.build(exchange.request.headers, self.faults)
        delay = self.settings.network + self.faults.delay
        body = build_rows(reply['x-shard'], int(reply['x-index-version']))
        asyncio.get_running_loop().call_later(
            delay.total_seconds(),
            exchange.respond,
            HTTPStatus.OK,
            body,
            {**reply, **self._build_load_headers()},
        )

    def _build_load_headers(self) -> dict[str, str]:
        load_headers = {'x-in-flight': str(len(self._running))}
        if (
            self._cold_start.is_cold(self.faults)
            and not self.faults.cold_unannounced
        ):
            load_headers['x-cold'] = '1'
        if self.faults.drain:
            load_headers['x-draining'] = '1'
        return load_headers

    def _cancel(self, exchange: Exchange) -> None:
        attempt = exchange.request.path.removeprefix(f'{SUB_QUERY_PATH}/')
        running = self._running.pop(attempt, None)
        if running is not None:
            running.timer.cancel()
            self.counters.cancelled += 1
            self._record_state()
            running.exchange.respond(
                CANCELLED_STATUS,
                headers={
                    'x-cancelled': '1',
                    **build_echo(running.exchange.request.headers),
                },
            )
        exchange.respond(HTTPStatus.NO_CONTENT)

    def _read_faults(self, exchange: Exchange) -> None:
        try:
            faults = FAULTS.validate_json(exchange.request.body)
        except ValidationError as error:
            exchange.respond(HTTPStatus.BAD_REQUEST, str(error).encode())
            return
        exchange.respond_json({})
        self.switch_faults(faults)

    def _send_report(self, exchange: Exchange) -> None:
        report = self._history.find_lagged()
        contents: dict[str, object] = {
            '/v1/health': {'state': report.state},
            '/v1/load': {
                'in_flight': report.in_flight,
                'slots': self.settings.slots,
            },
            '/v1/versions': {'versions': list(self.versions)},
            '/counters': self.counters.export(),
            '/runs': dict(self.counters.runs),
        }
        found = contents.get(exchange.request.path)
        if found is None:
            exchange.respond_json({'code': 'not_found'}, HTTPStatus.NOT_FOUND)
        elif not self.faults.silent:
            exchange.respond_json(found)

    def _record_state(self) -> None:
        state = 'ok'
        if self.faults.drain:
            state = 'draining'
        elif (
            self._cold_start.is_cold(self.faults)
            and not self.faults.cold_unannounced
        ):
            state = 'cold'
        self._history.record(len(self._running), state)
