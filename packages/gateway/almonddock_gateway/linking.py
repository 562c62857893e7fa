"""Accepts and opens links, the connections between hosts."""

import asyncio
import importlib
from typing import TYPE_CHECKING, cast

from almonddock_gateway.controllers import HostController
from almonddock_gateway.relays import (
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
    from almonddock_gateway.links import PeerLinks

#: Imported when links are opened, because the import is slow.
LINKS_MODULE = 'almonddock_gateway.links'


class HostLinks:
    """Serves the links of other hosts, and creates this host's own."""

    def __init__(
        self,
        settings: GatewaySettings,
        relay_settings: RelaySettings,
        store_server: StoreServer,
        hosts: HostController,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._hosts = hosts
        self._telemetry = telemetry
        self._relay_server = RelayServer(relay_settings)
        self._store_server = store_server
        self._accepted: set[MessageLink] = set()
        self._server: asyncio.Server | None = None
        self._peers: PeerLinks | None = None

    @property
    def busy(self) -> bool:
        """Whether a query of another host is in progress."""
        return self._relay_server.busy

    async def open(self) -> 'PeerLinks':
        """Listens for links; returns this host's own, which :meth:`run` keeps.

        Further calls return the same.
        """
        if self._peers is not None:
            return self._peers
        links = importlib.import_module(LINKS_MODULE)

        def accept() -> asyncio.BaseProtocol:
            link: asyncio.BaseProtocol = links.Link(self._receive, self._forget)
            self._accepted.add(cast(MessageLink, link))
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
        )
        self._peers = peers
        return peers

    async def run(self) -> None:
        """Keeps this host's links open until cancelled."""
        if self._peers is not None:
            await self._peers.run()

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

    def _forget(self, link: MessageLink) -> None:
        self._accepted.discard(link)
        self._relay_server.forget(link)
