"""Sends control messages to other hosts, opening links as needed."""

import asyncio
from collections.abc import Mapping

from almonddock_core.model import HostId
from almonddock_daemon.links import Link, LinkMesh
from almonddock_wire import Message


class PeerSender:
    """Sends without waiting; a message that cannot be sent is dropped.

    Hosts are dialled at the address that they announce, or else at the one
    in the host list.
    """

    def __init__(self, mesh: LinkMesh) -> None:
        self._mesh = mesh
        self._listed: dict[HostId, str] = {}
        self._members: dict[HostId, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def update_listed(self, addresses: Mapping[HostId, str]) -> None:
        """Replaces the addresses in the host list."""
        self._listed = dict(addresses)
        self._mesh.update_addresses({**self._listed, **self._members})

    def update_members(self, addresses: Mapping[HostId, str]) -> None:
        """Replaces the addresses that hosts announce."""
        self._members = dict(addresses)
        self._mesh.update_addresses({**self._listed, **self._members})

    def send(
        self,
        host: HostId,
        message: Message,
        link: Link | None = None,
    ) -> None:
        """Sends over ``link`` if its peer is the host, else over another."""
        if link is not None and link.peer and link.peer.host == host:
            if link.send(message):
                return
        if self._mesh.send(host, message):
            return
        task = asyncio.create_task(self._connect_and_send(host, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(self, host: HostId, message: Message) -> None:
        if await self._mesh.connect(host):
            self._mesh.send(host, message)
