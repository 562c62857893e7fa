"""Accepts and opens links, the connections between hosts."""

import asyncio
import importlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from almonddock_core.framing import MAX_FRAME_BYTES
from almonddock_core.memory import HostMemory, PartLimits
from almonddock_core.quotas import CreditQuery
from almonddock_core.routing import RoutingTable, Service
from almonddock_gateway.controllers import HostController, QuotaController
from almonddock_gateway.homes import (
    count_groups_with_homes,
    limit_connections,
)
from almonddock_gateway.http import ReplyMemory
from almonddock_gateway.relays import (
    CountExchange,
    Leaving,
    LinkMessage,
    MessageLink,
    RelayServer,
    RelaySettings,
    StoreServer,
)
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.telemetry import Telemetry

if TYPE_CHECKING:
    from almonddock_gateway.links import Link, PeerLinks

#: Imported when links are opened, because the import is slow.
LINKS_MODULE = 'almonddock_gateway.links'

#: The most accepted links: one from each host of the largest installation.
MAX_ACCEPTED = 1600

#: The most bytes that all links hold together: four frames of the greatest
#: length.
MAX_HELD_BYTES = 4 * MAX_FRAME_BYTES

#: The bytes of memory that a held byte takes: a frame is copied to be decoded.
HELD_FACTOR = 2

#: The pause between two checks of the links, in seconds.
CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class LinkServers:
    """What answers the queries of other hosts, besides relayed ones."""

    store: StoreServer
    counts: CountExchange
    #: Answers queries for credits; None where quotas are not enforced.
    quotas: QuotaController | None = None
    #: Returns the configuration in force; None before the first one.
    get_table: Callable[[], RoutingTable | None] = lambda: None


class HostLinks:
    """Serves the links of other hosts, and creates this host's own."""

    def __init__(
        self,
        settings: GatewaySettings,
        relay_settings: RelaySettings,
        servers: LinkServers,
        hosts: HostController,
        telemetry: Telemetry,
        memory: HostMemory,
    ) -> None:
        self._quotas = servers.quotas
        self._counts = servers.counts
        self._get_table = servers.get_table
        self._settings = settings
        self._hosts = hosts
        self._telemetry = telemetry
        self._relay_server = RelayServer(relay_settings, memory)
        self._store_server = servers.store
        self._memory = ReplyMemory(
            memory=memory,
            limits=PartLimits('links', MAX_HELD_BYTES, HELD_FACTOR),
        )
        self._accepted: set[Link] = set()
        self._server: asyncio.Server | None = None
        self._peers: PeerLinks | None = None

    @property
    def busy(self) -> bool:
        """Whether a query of another host is in progress."""
        return self._relay_server.busy

    @property
    def are_urgent(self) -> bool:
        """Whether requests may need credits that other hosts grant by now.

        None grants in the first window after a first start.
        """
        if self._quotas is None or self._settings.is_first_start:
            return False
        return bool(self._quotas.list_grantors())

    def limit_connections(self, service: Service) -> int:
        """Returns the most connections of this host to a target."""
        is_home = self._peers is not None and self._peers.homes.include_own
        return limit_connections(service, self._hosts.count, is_home=is_home)

    async def open(self) -> 'PeerLinks':
        """Listens for links; returns this host's own, which :meth:`run` keeps.

        Further calls return the same.
        """
        if self._peers is not None:
            return self._peers
        links = importlib.import_module(LINKS_MODULE)

        def accept() -> asyncio.BaseProtocol:
            if len(self._accepted) >= MAX_ACCEPTED:
                return _Refusal()
            link: Link = links.Link(
                self._receive, self._forget, self._memory, self._counts
            )
            self._accepted.add(link)
            return link

        address = self._settings.links
        self._server = await asyncio.get_running_loop().create_server(
            accept,
            address.host,
            address.port,
            reuse_address=True,
        )
        peers: PeerLinks = links.PeerLinks(
            self._settings.host,
            self._settings.data_centre,
            lambda: self._hosts.peers,
            self._telemetry,
            links.PeerLinkSettings(
                self._memory,
                tuple if self._quotas is None else self._quotas.list_grantors,
                self._counts,
                lambda: count_groups_with_homes(
                    self._get_table(), self._hosts.count
                ),
            ),
        )
        self._peers = peers
        return peers

    async def run(self) -> None:
        """Keeps this host's links open until cancelled."""
        while self._peers is not None:
            self._peers.check()
            for link in self._accepted:
                link.close_if_silent()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def record_alive(self) -> None:
        """Records that this host runs, for queries that waited meanwhile."""
        self._relay_server.record_alive()

    def announce_stop(self) -> None:
        """Tells other hosts to send no new queries."""
        for link in self._accepted:
            link.send(Leaving())

    def close(self) -> None:
        """Stops accepting links."""
        if self._server is not None:
            self._server.close()

    def _receive(self, link: MessageLink, message: LinkMessage) -> None:
        self._relay_server.receive(link, message)
        self._store_server.receive(link, message)
        if isinstance(message, CreditQuery) and self._quotas is not None:
            link.send(self._quotas.answer(message))

    def _forget(self, link: 'Link') -> None:
        self._accepted.discard(link)
        self._relay_server.forget(link)
        self._store_server.forget(link)
        if link.fault:
            self._telemetry.log_event('link_refused', fault=link.fault)


class _Refusal(asyncio.Protocol):
    """Closes a connection that exceeds the limit on links."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Closes the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()
