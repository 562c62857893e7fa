"""A stand-in for the platform's host list, which may be late or wrong."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from almonddock_standins._http import Exchange, HttpServer


@dataclass(frozen=True, slots=True, config=ConfigDict(extra='forbid'))
class HostEntry:
    """One host as the list states it."""

    host: str
    data_centre: str
    #: Where the host accepts links from other hosts: ``address:port``.
    address: str
    state: str = 'live'


@dataclass(frozen=True, slots=True, config=ConfigDict(extra='forbid'))
class HostListFaults:
    """All faults that are on; ``POST /fault`` replaces the whole set."""

    #: Breaks every connection and refuses new ones.
    outage: bool = False
    #: Seconds until a change of the list becomes visible.
    lag: float = 0
    #: Entries that are listed although no such host runs.
    wrong: tuple[HostEntry, ...] = ()
    #: Names of hosts that the list leaves out.
    omitted: tuple[str, ...] = ()


FAULTS = TypeAdapter(HostListFaults)
ENTRIES = TypeAdapter(tuple[HostEntry, ...])


class StandInHostList:
    """Serves the host list on one loopback address.

    ``PUT /v1/hosts`` with an array of entries replaces the list.
    """

    def __init__(
        self,
        hosts: Iterable[HostEntry] = (),
        address: str = '127.0.0.1:0',
    ) -> None:
        self.address = address
        self.faults = HostListFaults()
        self.calls = 0
        self._hosts = tuple(hosts)
        self._server = HttpServer(self._handle, self._admit)

    async def start(self) -> str:
        """Listens and returns the bound address."""
        self.address = await self._server.start(self.address)
        return self.address

    async def stop(self) -> None:
        """Stops listening and breaks every connection."""
        await self._server.stop()

    def replace_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Replaces the list once the lag has passed."""
        changed = tuple(hosts)
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.lag, setattr, self, '_hosts', changed)

    def switch_faults(self, faults: HostListFaults) -> None:
        """Replaces the faults that are on."""
        self.faults = faults
        if faults.outage:
            self._server.abort_connections()

    def _admit(self, connection: object) -> float | None:
        return None if self.faults.outage else 0

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        try:
            self._route(request.method, request.path, exchange)
        except ValidationError as error:
            exchange.respond(HTTPStatus.BAD_REQUEST, str(error).encode())

    def _route(self, method: str, path: str, exchange: Exchange) -> None:
        body = exchange.request.body
        if path == '/fault':
            self.switch_faults(FAULTS.validate_json(body))
            exchange.respond_json({})
        elif path == '/v1/hosts' and method == 'PUT':
            self.replace_hosts(ENTRIES.validate_json(body))
            exchange.respond_json({})
        elif path == '/v1/hosts':
            self.calls += 1
            exchange.respond_json({'hosts': self._list_hosts()})
        else:
            exchange.respond_json({'code': 'not_found'}, HTTPStatus.NOT_FOUND)

    def _list_hosts(self) -> object:
        listed = [
            host for host in self._hosts if host.host not in self.faults.omitted
        ]
        return ENTRIES.dump_python((*listed, *self.faults.wrong))
