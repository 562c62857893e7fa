"""Routes query and lease messages between controllers and hosts.

The owner of a target is the host that holds the lease on it.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from almonddock_core.model import HostId
from almonddock_core.owners import (
    Handover,
    LeaseMessage,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
)
from almonddock_daemon.controllers import (
    OwnershipController,
    ScatterController,
    TargetController,
)
from almonddock_daemon.links import Link, LinkMesh
from almonddock_daemon.telemetry import Tracing
from almonddock_wire import (
    CancelBatch,
    Message,
    SubQueryBatch,
    SubReplyBatch,
)


class Router:
    """Sends to owners of targets: over a link, or directly to this host."""

    def __init__(
        self,
        own: HostId,
        mesh: LinkMesh,
        targets: TargetController,
        tracing: Tracing,
    ) -> None:
        self._own = own
        self._mesh = mesh
        self._targets = targets
        self._tracing = tracing
        self._scatters: ScatterController | None = None
        self._ownership: OwnershipController | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        # One function for each link, because replies are batched by the
        # function that sends them.
        self._reply_senders: dict[Link, Callable[[SubReplyBatch], None]] = {}

    def attach(
        self,
        scatters: ScatterController,
        ownership: OwnershipController,
    ) -> None:
        """Sets the controllers for replies, lost owners and leases."""
        self._scatters = scatters
        self._ownership = ownership
        self._mesh.subscribe(self._receive, scatters.handle_lost_owner)

    def send(self, owner: HostId, message: SubQueryBatch | CancelBatch) -> bool:
        """Sends to an owner; returns False when no link is open."""
        if owner != self._own:
            return self._mesh.send(owner, message)
        if isinstance(message, SubQueryBatch):
            self._targets.receive(message, self._deliver_replies)
        else:
            self._targets.cancel(message)
        return True

    async def connect(self, owner: HostId) -> bool:
        """Opens a link to an owner; returns whether one is open."""
        return owner == self._own or await self._mesh.connect(owner)

    def send_lease_message(self, host: HostId, message: LeaseMessage) -> None:
        """Sends a lease message, over a new link if none is open."""
        if not self._mesh.send(host, message):
            task = asyncio.create_task(self._connect_and_send(host, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(
        self,
        host: HostId,
        message: LeaseMessage,
    ) -> None:
        if await self._mesh.connect(host):
            self._mesh.send(host, message)

    def _receive(self, link: Link, message: Message) -> None:
        match message:
            case SubQueryBatch():
                self._receive_batch(link, message)
            case CancelBatch():
                self._targets.cancel(message)
            case SubReplyBatch():
                self._deliver_replies(message)
            case LeaseRequest() | LeaseReply() | LeaseRelease() | Handover():
                self._receive_lease_message(link, message)

    def _receive_lease_message(self, link: Link, message: LeaseMessage) -> None:
        if self._ownership is not None and link.peer is not None:
            self._ownership.receive(link.peer.host, message)

    def _receive_batch(self, link: Link, batch: SubQueryBatch) -> None:
        send_replies = self._find_reply_sender(link)
        first = batch.sub_queries[0] if batch.sub_queries else None
        if first is None:
            return
        span = self._tracing.start_span(
            'owner',
            first.traceparent,
            {
                'request_id': first.request_id,
                'sub_queries': len(batch.sub_queries),
            },
        )
        if span.traceparent != first.traceparent:
            batch = _continue_trace(batch, span.traceparent)
        self._targets.receive(batch, send_replies)
        span.end()

    def _deliver_replies(self, batch: SubReplyBatch) -> None:
        if self._scatters is not None:
            self._scatters.receive(batch)

    def _find_reply_sender(self, link: Link) -> Callable[[SubReplyBatch], None]:
        self._reply_senders = {
            known: one
            for known, one in self._reply_senders.items()
            if known.open
        }
        send_replies = self._reply_senders.get(link)
        if send_replies is None:
            send_replies = _bind_reply_sender(link)
            self._reply_senders[link] = send_replies
        return send_replies


def _bind_reply_sender(link: Link) -> Callable[[SubReplyBatch], None]:
    def send_replies(batch: SubReplyBatch) -> None:
        link.send(batch)

    return send_replies


def _continue_trace(batch: SubQueryBatch, traceparent: str) -> SubQueryBatch:
    return SubQueryBatch(
        tuple(
            dataclasses.replace(sub, traceparent=traceparent)
            for sub in batch.sub_queries
        ),
    )
