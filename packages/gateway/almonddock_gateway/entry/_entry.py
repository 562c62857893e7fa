"""Accepts requests from callers and starts their dispatch."""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch import (
    Answer,
    Dispatch,
    DispatchContext,
    DispatchedRequest,
)
from almonddock_core.routing import Route, RoutingTable, WeightedRotation
from almonddock_gateway.entry._answers import (
    BAD_GATEWAY,
    UNAVAILABLE,
    build_answer,
    count_bytes,
)
from almonddock_gateway.entry._exchange import (
    ExchangeSettings,
    TargetExchange,
    build_outgoing,
)
from almonddock_gateway.entry._requests import (
    Rejection,
    format_head,
    route_request,
)
from almonddock_gateway.http import CallerConnection, CallerRequest
from almonddock_gateway.telemetry import Telemetry

#: The Retry-After of a host that has not read a configuration yet. The store
#: is unavailable then, so the value is high; callers may retry earlier.
START_RETRY_AFTER_MS = 1000
START_RETRY_AFTER = timedelta(milliseconds=START_RETRY_AFTER_MS)

#: The Retry-After of a host that is stopping.
STOP_RETRY_AFTER = timedelta(milliseconds=10)


@dataclass(frozen=True, slots=True)
class Unavailability:
    """Why the host accepts no requests, and when to retry."""

    reason: str
    retry_after: timedelta


NO_CONFIGURATION = Unavailability('no configuration yet', START_RETRY_AFTER)
STOPPING = Unavailability('the host stops', STOP_RETRY_AFTER)


@dataclass(slots=True)
class EntryState:
    """The state that controllers publish and request handling reads."""

    #: The configuration in force; None before the first one is read.
    table: RoutingTable | None = None
    #: Whether new requests get 503 because the process is stopping.
    closing: bool = False
    rotations: dict[str, WeightedRotation] = field(default_factory=dict)

    def refuse_new(self) -> None:
        """Answers new requests with 503 from now on."""
        self.closing = True

    def pick_services(self, route: Route) -> tuple[str, ...]:
        """Returns all shards, or one service by weighted rotation."""
        if route.shards:
            return route.shards
        if len(route.services) == 1:
            return (route.services[0].service,)
        rotation = self.rotations.get(route.name)
        if rotation is None or rotation.parts != route.services:
            rotation = WeightedRotation(route.services)
            self.rotations[route.name] = rotation
        return (rotation.choose_service(),)


class Entry:
    """Starts an exchange for each request and sends its answer."""

    def __init__(
        self,
        state: EntryState,
        context: DispatchContext,
        settings: ExchangeSettings,
        telemetry: Telemetry,
    ) -> None:
        self._state = state
        self._context = context
        self._settings = settings
        self._telemetry = telemetry
        self._exchanges: dict[TargetExchange, CallerConnection] = {}

    @property
    def running(self) -> int:
        """The number of requests in progress."""
        return len(self._exchanges)

    def give_up(self) -> None:
        """Answers all requests in progress, because the process ends.

        After an unexpected error, whether a request has run is not known.
        """
        for exchange, connection in tuple(self._exchanges.items()):
            try:
                exchange.give_up()
            except Exception as fault:
                self._telemetry.log_event(
                    'request_not_given_up', reason=repr(fault)
                )
                self._exchanges.pop(exchange, None)
                connection.send(BAD_GATEWAY, (), b'')

    def handle(
        self,
        request: CallerRequest,
        connection: CallerConnection,
    ) -> TargetExchange | None:
        """Returns the started exchange, None if answered at once."""
        names = self._settings.names
        table = self._state.table
        if table is None:
            self._send_unavailable(request, connection, NO_CONFIGURATION)
            return None
        if self._state.closing:
            self._send_unavailable(request, connection, STOPPING)
            return None
        routed = route_request(request, table, names)
        if isinstance(routed, Rejection):
            attempt_id = request.find(names.attempt_id) or b''
            self._telemetry.log_rejected(attempt_id, routed, table.version)
            connection.send(routed.status, (), b'')
            return None
        now = self._settings.clock.now()
        dispatch = Dispatch(
            DispatchedRequest(
                request_id=routed.request_id,
                route=routed.route,
                services=self._state.pick_services(routed.route),
                arrived=now,
                deadline=now + routed.timeout,
                way=request.way,
            ),
            self._context,
        )
        attempt_id = routed.request_id.encode('latin-1')
        outgoing = build_outgoing(
            request,
            format_head(request, names),
            attempt_id,
        )

        def finish(exchange: TargetExchange, answer: Answer | None) -> None:
            self._exchanges.pop(exchange, None)
            version = table.version
            status = 0
            if answer is not None:
                raw = build_answer(answer, routed.route, names)
                status = raw[0]
                exchange.answer_bytes = count_bytes(raw)
                connection.send(*raw)
            self._telemetry.log_finished(exchange, status, version)

        exchange = TargetExchange(dispatch, outgoing, self._settings, finish)
        self._exchanges[exchange] = connection
        exchange.start()
        return exchange

    def _send_unavailable(
        self,
        request: CallerRequest,
        connection: CallerConnection,
        unavailability: Unavailability,
    ) -> None:
        attempt_id = request.find(self._settings.names.attempt_id) or b''
        self._telemetry.log_unavailable(attempt_id, unavailability.reason)
        seconds = f'{unavailability.retry_after.total_seconds():.3f}'.encode()
        connection.send(UNAVAILABLE, ((b'retry-after', seconds),), b'')
