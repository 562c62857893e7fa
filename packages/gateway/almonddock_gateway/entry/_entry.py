"""The entry of callers' requests."""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch import (
    Answer,
    Dispatch,
    DispatchContext,
    DispatchedRequest,
)
from almonddock_core.routing import Route, RoutingTable, WeightedRotation
from almonddock_gateway.entry._answers import UNAVAILABLE, build_answer
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

#: When a caller may come back to a host that knows no configuration yet. The
#: store is away then, so later is better; callers shorten what is too long.
START_RETRY_AFTER_MS = 1000
START_RETRY_AFTER = timedelta(milliseconds=START_RETRY_AFTER_MS)

#: When a caller may come back after a host that is stopping sent it away.
STOP_RETRY_AFTER = timedelta(milliseconds=10)


@dataclass(frozen=True, slots=True)
class Unavailability:
    """Why a host takes no request now."""

    reason: str
    retry_after: timedelta


NO_CONFIGURATION = Unavailability('no configuration yet', START_RETRY_AFTER)
STOPPING = Unavailability('the host stops', STOP_RETRY_AFTER)


@dataclass(slots=True)
class EntryState:
    """What the controllers publish for requests."""

    #: The configuration in force; None until the first one was read.
    table: RoutingTable | None = None
    #: Whether requests are turned away because the process is about to end.
    closing: bool = False
    rotations: dict[str, WeightedRotation] = field(default_factory=dict)

    def pick_services(self, route: Route) -> tuple[str, ...]:
        """Returns all shards, or the one service that is next in turn."""
        if route.shards:
            return route.shards
        if len(route.services) == 1:
            return (route.services[0].service,)
        rotation = self.rotations.get(route.name)
        if rotation is None or rotation.parts != route.services:
            rotation = WeightedRotation(route.services)
            self.rotations[route.name] = rotation
        return (rotation.take(),)


class Entry:
    """Starts an exchange for each request and writes its answer."""

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
        #: Requests that are being worked on.
        self.running = 0

    def handle(
        self,
        request: CallerRequest,
        connection: CallerConnection,
    ) -> TargetExchange | None:
        """Starts work on a request; returns what can be abandoned."""
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
            self._telemetry.note_rejected(attempt_id, routed, table.version)
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
            self.running -= 1
            version = table.version
            status = 0
            if answer is not None:
                raw = build_answer(answer, routed.route, names)
                status = raw[0]
                connection.send(*raw)
            self._telemetry.note_finished(exchange, status, version)

        exchange = TargetExchange(dispatch, outgoing, self._settings, finish)
        self.running += 1
        exchange.start()
        return exchange

    def _send_unavailable(
        self,
        request: CallerRequest,
        connection: CallerConnection,
        unavailability: Unavailability,
    ) -> None:
        attempt_id = request.find(self._settings.names.attempt_id) or b''
        self._telemetry.note_turned_away(attempt_id, unavailability.reason)
        seconds = f'{unavailability.retry_after.total_seconds():.3f}'.encode()
        connection.send(UNAVAILABLE, ((b'retry-after', seconds),), b'')
