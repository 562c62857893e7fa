"""The listening sockets of a host, and the accepted connections."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.memory import (
    HostMemory,
    PartLimits,
    count_affordable_connections,
)
from almonddock_core.model import Clock
from almonddock_core.routing import CallerLimits
from almonddock_gateway.http import (
    CallerConnection,
    CallerRequest,
    ConnectionLimit,
    ConnectionSettings,
    Exchange,
    ReplyMemory,
    RequestMemory,
)
from almonddock_gateway.settings import Address
from almonddock_gateway.telemetry import Telemetry

#: The most connections that the kernel queues until they are accepted.
BACKLOG = 1024

#: The most connections that are accepted in one turn of the event loop: each
#: takes a descriptor and memory before the limit on them is checked.
ACCEPTED_AT_ONCE = 64

#: The pause between two tries to listen at an address.
LISTEN_PAUSE_MS = 200
LISTEN_PAUSE = timedelta(milliseconds=LISTEN_PAUSE_MS)

#: The most bytes of the requests of callers, and of the answers that they have
#: not read, on machines whose memory has room for them.
CALLER_REQUEST_BYTES = 0x1800000
CALLER_ANSWER_BYTES = 0x1800000

#: The bytes of memory that an unread byte takes: the buffer of an answer frees
#: the part that was read late.
ANSWER_FACTOR = 2

#: The same for readiness checks and metrics scrapes, which need little and must
#: be answered while callers take all of theirs.
ADMIN_REQUEST_BYTES = 0x100000
ADMIN_ANSWER_BYTES = 0x400000
ADMIN_CONNECTIONS = 64

#: The share of the host's sockets that callers may take; the others are for
#: targets, other hosts and the store.
CALLER_SOCKET_SHARE = 0.75

#: The share of the host's memory that connections without a request may take.
CONNECTION_MEMORY_SHARE = 0.25

#: Common limits of HTTP servers, until the configuration is known.
START_HEADER_BYTES = 16_384
START_BODY_BYTES = 262_144

#: The limits for callers before the first configuration is read.
START_LIMITS = CallerLimits(
    header_bytes=START_HEADER_BYTES,
    body_bytes=START_BODY_BYTES,
    header_timeout=timedelta(seconds=3),
    idle_timeout=timedelta(minutes=1),
)

Handle = Callable[[CallerRequest, CallerConnection], Exchange | None]


@dataclass(frozen=True, slots=True)
class _Bounds:
    """What the connections of one kind take at most, all together."""

    connections: ConnectionLimit
    requests: RequestMemory
    answers: ReplyMemory


class CallerServers:
    """Listens for callers, readiness checks and metrics scrapes."""

    def __init__(
        self,
        get_limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
        clock: Clock,
        telemetry: Telemetry,
        max_sockets: int,
        memory: HostMemory,
    ) -> None:
        """Listens nowhere yet.

        ``max_sockets`` is how many sockets the process may open, for whatever
        purpose; ``memory`` bounds what callers make it hold.
        """
        self._telemetry = telemetry
        self._get_limits = get_limits
        self._is_stopping = is_stopping
        self._clock = clock
        self._for_callers = _Bounds(
            ConnectionLimit(_limit_connections(max_sockets, memory)),
            RequestMemory(clock, CALLER_REQUEST_BYTES, memory),
            _build_answers(memory, 'answers', CALLER_ANSWER_BYTES),
        )
        self._for_admin = _Bounds(
            ConnectionLimit(ADMIN_CONNECTIONS),
            RequestMemory(clock, ADMIN_REQUEST_BYTES, memory, 'admin_requests'),
            _build_answers(memory, 'admin_answers', ADMIN_ANSWER_BYTES),
        )
        #: The refused requests and aborted answers that were logged.
        self._logged = 0, 0
        self._servers: dict[Address, asyncio.Server] = {}
        self._connections: set[CallerConnection] = set()

    @property
    def busy(self) -> bool:
        """Whether a connection has an unfinished request or answer."""
        return any(not connection.idle for connection in self._connections)

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    def is_listening(self, address: Address) -> bool:
        """Whether connections are accepted at an address."""
        return address in self._servers

    def count_held_bytes(self) -> dict[str, float]:
        """Returns the bytes held of callers' requests and unread answers."""
        return {
            'request_bytes_held': self._for_callers.requests.held,
            'answer_bytes_held': self._for_callers.answers.held,
        }

    async def listen(
        self, address: Address, handle: Handle, *, admin: bool = False
    ) -> None:
        """Accepts connections at an address; ``handle`` gets requests.

        ``admin`` says that it is not for callers, whose requests may take all
        of the memory for them. Returns once connections are accepted. Another
        process, or a connection, may still hold the port, so it tries again
        until the address is free.
        """
        bounds = self._for_admin if admin else self._for_callers

        def count(connection: CallerConnection) -> None:
            self._connections.add(connection)
            bounds.connections.add(connection)

        def forget(connection: CallerConnection) -> None:
            self._connections.discard(connection)
            bounds.connections.discard(connection)

        shared = ConnectionSettings(
            handle=handle,
            get_limits=self._get_limits,
            is_stopping=self._is_stopping,
            opened=count,
            closed=forget,
            clock=self._clock,
            requests=bounds.requests,
            answers=bounds.answers,
        )
        fault = await self._try_to_listen(address, shared)
        if fault is None:
            return
        self._telemetry.log_event(
            'address_unavailable', address=address, reason=repr(fault)
        )
        while fault is not None:
            await asyncio.sleep(LISTEN_PAUSE.total_seconds())
            fault = await self._try_to_listen(address, shared)
        self._telemetry.log_event('address_available', address=address)

    def enforce_timeouts(self) -> None:
        """Ends connections whose header or idle timeout has passed."""
        for connection in tuple(self._connections):
            connection.enforce_timeouts()
        self._log_refusals()

    def close_idle(self) -> None:
        """Closes connections without a request in progress."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stops listening."""
        for server in self._servers.values():
            server.close()

    def _log_refusals(self) -> None:
        """Logs what was refused or aborted for memory since the last call."""
        kinds = self._for_callers, self._for_admin
        refused = sum(bounds.requests.refused for bounds in kinds)
        aborted = sum(bounds.answers.aborted for bounds in kinds)
        if (refused, aborted) == self._logged:
            return
        logged_refused, logged_aborted = self._logged
        self._logged = refused, aborted
        self._telemetry.log_event(
            'caller_memory_full',
            requests_refused=refused - logged_refused,
            answers_aborted=aborted - logged_aborted,
            connections=len(self._connections),
            **self.count_held_bytes(),
        )

    async def _try_to_listen(
        self, address: Address, shared: ConnectionSettings
    ) -> OSError | None:
        """Returns the error if the address cannot be used now."""
        try:
            listening = socket.create_server((address.host, address.port))
        except OSError as fault:
            return fault
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(shared),
            sock=listening,
            backlog=ACCEPTED_AT_ONCE,
        )
        listening.listen(BACKLOG)
        self._servers[address] = server
        return None


def _limit_connections(max_sockets: int, memory: HostMemory) -> int:
    """Returns how many connections callers may open."""
    affordable = count_affordable_connections(
        memory.machine_bytes, CONNECTION_MEMORY_SHARE
    )
    return max(1, min(round(max_sockets * CALLER_SOCKET_SHARE), affordable))


def _build_answers(
    memory: HostMemory, name: str, max_bytes: int
) -> ReplyMemory:
    limits = PartLimits(name, max_bytes, ANSWER_FACTOR)
    return ReplyMemory(memory=memory, limits=limits)
