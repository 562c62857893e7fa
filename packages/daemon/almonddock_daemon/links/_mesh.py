"""The links between one host and its peers."""

import asyncio
from collections.abc import Callable

from almonddock_core.model import Clock, HostId
from almonddock_daemon.links._link import PING_PERIOD, Link
from almonddock_daemon.telemetry import LOG
from almonddock_wire import Hello, Message

#: The timeout of a connection attempt, in seconds.
DIAL_TIMEOUT_S = 1.0

IDLE_REASON = 'idle'

HandleMessage = Callable[[Link, Message], None]
#: Receives a host when the link dialled to it closes, unless it was idle.
HandleLostHost = Callable[[HostId], None]


class LinkMesh:
    """Dials other hosts on demand and accepts their links.

    Messages to a host go over the link that this host dialled; replies go
    back over the link on which the request came.
    """

    def __init__(self, own: Hello, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._dialled: dict[HostId, Link] = {}
        self._accepted: set[Link] = set()
        self._dialling: dict[HostId, asyncio.Task[Link | None]] = {}
        self._addresses: dict[HostId, str] = {}
        self._message_handlers: list[HandleMessage] = []
        self._lost_host_handlers: list[HandleLostHost] = []
        self._server: asyncio.Server | None = None
        self._check_task: asyncio.Task[None] | None = None

    def subscribe(
        self, receive: HandleMessage, handle_lost: HandleLostHost
    ) -> None:
        """Adds handlers for received messages and for lost hosts."""
        self._message_handlers.append(receive)
        self._lost_host_handlers.append(handle_lost)

    async def start(self) -> None:
        """Listens for links and starts the periodic link checks."""
        address, _, port = self._own.address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            address.strip('[]'),
            int(port),
        )
        self._check_task = asyncio.create_task(self._run_checks())

    async def stop(self) -> None:
        """Closes the listener and all links."""
        if self._server is not None:
            self._server.close()
        if self._check_task is not None:
            self._check_task.cancel()
        for link in self._list_links():
            link.abort('this host is stopping')

    def update_addresses(self, addresses: dict[HostId, str]) -> None:
        """Replaces the addresses under which hosts are dialled."""
        self._addresses = dict(addresses)

    def send(self, host: HostId, message: Message) -> bool:
        """Sends at once if a link is open; otherwise returns False."""
        link = self._dialled.get(host)
        return link is not None and link.send(message)

    async def connect(self, host: HostId) -> bool:
        """Opens a link unless one is open; returns whether one is open."""
        link = self._dialled.get(host)
        if link is not None and link.open:
            return True
        task = self._dialling.get(host)
        if task is None:
            task = asyncio.create_task(self._dial(host))
            self._dialling[host] = task
            task.add_done_callback(lambda _: self._dialling.pop(host, None))
        return await asyncio.shield(task) is not None

    def check_links(self) -> None:
        """Pings the links in use and closes dialled ones that are idle."""
        for link in tuple(self._dialled.values()):
            if link.idle:
                link.abort(IDLE_REASON)
        for each in self._list_links():
            each.check_liveness()

    def list_linked(self) -> tuple[HostId, ...]:
        """Returns the hosts with an open dialled link, sorted."""
        return tuple(
            sorted(host for host, link in self._dialled.items() if link.open),
        )

    def _list_links(self) -> tuple[Link, ...]:
        return (*self._dialled.values(), *self._accepted)

    async def _dial(self, host: HostId) -> Link | None:
        address, _, port = self._addresses.get(host, '').rpartition(':')
        if not address:
            return None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: self._build_link(host),
                    address.strip('[]'),
                    int(port),
                )
        except (OSError, TimeoutError):
            return None
        self._dialled[host] = link
        return link

    def _build_link(self, host: HostId) -> Link:
        def close(link: Link, reason: str) -> None:
            if self._dialled.get(host) is link:
                self._dialled.pop(host)
            if reason != IDLE_REASON:
                self._report_lost(host, reason)

        return Link(
            self._own,
            self._clock,
            handle_hello=lambda link: self._check_peer(link, host),
            receive=self._publish,
            close=close,
        )

    def _accept(self) -> Link:
        return Link(
            self._own,
            self._clock,
            handle_hello=self._accepted.add,
            receive=self._publish,
            close=lambda link, reason: self._accepted.discard(link),
        )

    def _check_peer(self, link: Link, host: HostId) -> None:
        if link.peer is not None and link.peer.host != host:
            link.abort('another host answers at this address')

    def _publish(self, link: Link, message: Message) -> None:
        for receive in self._message_handlers:
            receive(link, message)

    def _report_lost(self, host: HostId, reason: str) -> None:
        LOG.info('link_lost', peer=host, reason=reason)
        for handle_lost in self._lost_host_handlers:
            handle_lost(host)

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(PING_PERIOD.total_seconds())
            self.check_links()
