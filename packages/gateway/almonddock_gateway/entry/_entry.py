"""Accepts requests from callers and starts their dispatch."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from almonddock_core.access import UNPROVEN
from almonddock_core.dispatch import (
    Answer,
    Dispatch,
    DispatchContext,
    DispatchedRequest,
    Refusal,
)
from almonddock_core.routing import (
    Caller,
    Rejected,
    Route,
    RoutingTable,
    WeightedRotation,
)
from almonddock_gateway.entry._access import CallerAccess
from almonddock_gateway.entry._answers import (
    BAD_GATEWAY,
    UNAVAILABLE,
    build_answer,
    build_rejection,
    count_bytes,
    format_retry_after,
)
from almonddock_gateway.entry._exchange import (
    ExchangeSettings,
    OutgoingRequest,
    TargetExchange,
    build_outgoing,
)
from almonddock_gateway.entry._key_checks import KeyChecks
from almonddock_gateway.entry._quota_gate import (
    GatedSteps,
    GiveBack,
    QuotaGate,
)
from almonddock_gateway.entry._requests import (
    Rejection,
    RoutedRequest,
    format_head,
    route_request,
)
from almonddock_gateway.http import CallerConnection, CallerRequest, Exchange
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
TOO_LATE = Unavailability('its deadline is over', STOP_RETRY_AFTER)


@dataclass(frozen=True, slots=True)
class _Arrival:
    """A request, and the connection that it is answered on."""

    request: CallerRequest
    connection: CallerConnection
    #: When the whole request was read.
    arrived: timedelta
    #: When it began to wait for a check of its key, by the clock of knowledge;
    #: None if it didn't.
    checked_since: timedelta | None = None


@dataclass(frozen=True, slots=True)
class _Admitted:
    """A request whose caller is known."""

    arrival: _Arrival
    routed: RoutedRequest
    caller: Caller
    #: The configuration in force when its caller was known.
    table: RoutingTable


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


@dataclass(frozen=True, slots=True)
class Admission:
    """What decides whether a caller's request is let in."""

    access: CallerAccess
    #: Reads the configuration in force again.
    check_configuration: Callable[[], Awaitable[None]]
    #: Holds back, or refuses, what exceeds the quota of its organisation.
    gate: QuotaGate


class Entry:
    """Starts an exchange for each request and sends its answer."""

    def __init__(
        self,
        state: EntryState,
        context: DispatchContext,
        settings: ExchangeSettings,
        admission: Admission,
        telemetry: Telemetry,
    ) -> None:
        """Starts without requests."""
        self._gate = admission.gate
        self._state = state
        self._context = context
        self._settings = settings
        self._access = admission.access
        self._telemetry = telemetry
        self._key_checks = KeyChecks(
            admission.check_configuration, settings.clock, telemetry
        )
        self._exchanges: dict[TargetExchange, CallerConnection] = {}

    @property
    def running(self) -> int:
        """The number of requests in progress."""
        waiting = self._key_checks.waiting + self._gate.waiting
        return len(self._exchanges) + waiting

    @property
    def key_checks(self) -> int:
        """How often the store was read because of unknown keys."""
        return self._key_checks.count

    def give_up(self) -> None:
        """Answers all requests in progress, because the process ends.

        After an unexpected error, whether a request has run is not known.
        """
        self._key_checks.resume_all()
        self._gate.give_up()
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
    ) -> Exchange | None:
        """Returns the started exchange, None if answered at once."""
        return self._handle(_Arrival(request, connection, self._now()))

    def _handle(self, arrival: _Arrival) -> Exchange | None:
        request = arrival.request
        table = self._state.table
        if table is None:
            self._send_unavailable(arrival, NO_CONFIGURATION)
            return None
        if self._state.closing:
            self._send_unavailable(arrival, STOPPING)
            return None
        names = self._settings.names
        routed = route_request(request, table, names)
        if isinstance(routed, Rejection):
            attempt_id = request.find(names.attempt_id) or b''
            self._telemetry.log_rejected(
                attempt_id,
                routed,
                table.version,
                self._access.describe_belief().age,
            )
            arrival.connection.send(routed.status, (), b'')
            return None
        caller = self._access.identify(
            request, routed.route, table, checked_since=arrival.checked_since
        )
        if caller is None:
            return self._wait_for_check(arrival, routed, table)
        if isinstance(caller, Rejected):
            self._reject(arrival, routed, caller, table)
            return None
        return self._admit(_Admitted(arrival, routed, caller, table))

    def _admit(self, admitted: _Admitted) -> Exchange | None:
        """Starts the request, as far as its time and its quota allow."""
        arrival = admitted.arrival
        if self._now() >= arrival.arrived + admitted.routed.timeout:
            self._send_unavailable(arrival, TOO_LATE)
            return None
        steps = GatedSteps(
            start=lambda give_back: self._dispatch(admitted, give_back),
            reject=lambda over: self._reject_over_quota(admitted, over),
            turn_away=lambda: self._send_unavailable(arrival, STOPPING),
            fail=lambda: arrival.connection.send(BAD_GATEWAY, (), b''),
        )
        return self._gate.pass_request(admitted.caller, steps)

    def _dispatch(self, admitted: _Admitted, give_back: GiveBack) -> Exchange:
        names = self._settings.names
        route = admitted.routed.route
        connection = admitted.arrival.connection
        request = self._plan_request(admitted)

        def finish(exchange: TargetExchange, answer: Answer | None) -> None:
            self._exchanges.pop(exchange, None)
            if isinstance(answer, Refusal) and answer.not_run:
                self._context.give_back(request.turn, self._now())
                give_back()
            status = 0
            if answer is not None:
                raw = build_answer(answer, route, names)
                status = raw[0]
                exchange.answer_bytes = count_bytes(raw)
                connection.send(*raw)
            self._telemetry.log_finished(
                exchange,
                status,
                admitted.table.version,
                self._access.describe_belief().age,
            )

        exchange = TargetExchange(
            Dispatch(request, self._context),
            self._build_outgoing(admitted),
            self._settings,
            finish,
        )
        self._exchanges[exchange] = connection
        exchange.start()
        return exchange

    def _plan_request(self, admitted: _Admitted) -> DispatchedRequest:
        """Returns what the dispatch needs, with the request's turn."""
        routed = admitted.routed
        services = self._state.pick_services(routed.route)
        return DispatchedRequest(
            request_id=routed.request_id,
            route=routed.route,
            services=services,
            arrived=admitted.arrival.arrived,
            deadline=admitted.arrival.arrived + routed.timeout,
            organisation=admitted.caller.organisation,
            turn=self._context.take_turn(
                admitted.caller, len(services), self._now()
            ),
            way=admitted.arrival.request.way,
        )

    def _build_outgoing(self, admitted: _Admitted) -> OutgoingRequest:
        request = admitted.arrival.request
        head = format_head(
            request,
            self._settings.names,
            keyed=admitted.table.organisations is not None,
            organisation=admitted.caller.organisation,
        )
        attempt_id = admitted.routed.request_id.encode('latin-1')
        return build_outgoing(request, head, attempt_id)

    def _now(self) -> timedelta:
        return self._settings.clock.now()

    def _wait_for_check(
        self, arrival: _Arrival, routed: RoutedRequest, table: RoutingTable
    ) -> Exchange | None:
        """Decides on the request again once the store has been read."""
        checked = replace(arrival, checked_since=self._access.clock.now())

        def start() -> Exchange | None:
            try:
                return self._handle(checked)
            except Exception:
                arrival.connection.send(BAD_GATEWAY, (), b'')
                raise

        waiting = self._key_checks.add(start)
        if waiting is None:
            self._reject(arrival, routed, UNPROVEN, table)
        return waiting

    def _reject_over_quota(
        self, admitted: _Admitted, rejected: Rejected
    ) -> None:
        organisation = admitted.caller.organisation
        self._telemetry.log_over_quota(
            admitted.routed.request_id,
            '' if organisation is None else organisation.name,
            rejected.retry_after or timedelta(),
            admitted.table.version,
        )
        raw = build_rejection(rejected, self._settings.names)
        admitted.arrival.connection.send(*raw)

    def _reject(
        self,
        arrival: _Arrival,
        routed: RoutedRequest,
        rejected: Rejected,
        table: RoutingTable,
    ) -> None:
        raw = build_rejection(rejected, self._settings.names)
        self._telemetry.log_not_admitted(
            routed,
            rejected,
            raw[0],
            configuration=table.version,
            configuration_age=self._access.describe_belief().age,
        )
        arrival.connection.send(*raw)

    def _send_unavailable(
        self, arrival: _Arrival, unavailability: Unavailability
    ) -> None:
        names = self._settings.names
        attempt_id = arrival.request.find(names.attempt_id) or b''
        self._telemetry.log_unavailable(attempt_id, unavailability.reason)
        retry_after = format_retry_after(unavailability.retry_after)
        arrival.connection.send(UNAVAILABLE, (retry_after,), b'')
