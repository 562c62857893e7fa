"""Serves partitions of the idempotency log and claims keys in them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from almonddock_core.idempotency import (
    Claim,
    ClaimClient,
    ClientAction,
    Decision,
    Finish,
    Grant,
    KeyDigest,
    LogSettings,
    PartitionId,
    PartitionLog,
    Recorded,
    Refuse,
    Repeat,
    SendClaim,
    SendFinish,
    find_log_owner,
    find_partition,
)
from almonddock_core.model import Clock, HostId, RequestId
from almonddock_daemon.adapters import StoreClient
from almonddock_daemon.controllers._log_server import LogServer
from almonddock_daemon.links import Link
from almonddock_wire import Message


@dataclass(frozen=True, slots=True)
class PeerPorts:
    """The functions that send to other hosts."""

    #: Sends to a host; returns False when no link is open.
    send: Callable[[HostId, Claim | Finish], bool]
    #: Opens a link; returns whether one is open.
    connect: Callable[[HostId], Awaitable[bool]]


#: Sends a decision back to the host that claimed.
SendDecision = Callable[[Decision], None]

#: How often a claim past its deadline is polled for its decision.
TICK_S = 0.01

#: How long a host whose link closed is skipped as an owner.
AVOID_PERIOD = timedelta(seconds=2)

#: How long a stopping host waits for unwritten outcomes to be stored.
CLOSE_TIMEOUT = timedelta(seconds=1)


class IdempotencyController:
    """Owns the logs served here and the claims of this entry host.

    A host serves any partition it is asked for: while hosts disagree on
    the owner, the store's compare-and-swap lets only one of them write.
    ``writer`` names this run of the host in the tokens of its writes.
    """

    def __init__(
        self,
        own: HostId,
        writer: str,
        store: StoreClient,
        clock: Clock,
        peers: PeerPorts,
    ) -> None:
        self._own = own
        self._writer = writer
        self._store = store
        self._clock = clock
        self._peers = peers
        self._settings = LogSettings()
        self._hosts: tuple[HostId, ...] = (own,)
        self._client = ClaimClient(self._find_owner)
        self._pending: dict[RequestId, asyncio.Future[Decision]] = {}
        self._decision_senders: dict[RequestId, SendDecision] = {}
        self._logs: dict[PartitionId, LogServer] = {}
        #: Until when a host whose link closed is skipped as an owner.
        self._avoided: dict[HostId, timedelta] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def update_hosts(self, hosts: Iterable[HostId]) -> None:
        """Replaces the hosts among which partitions are placed."""
        self._hosts = tuple(hosts) or (self._own,)

    async def claim(self, claim: Claim) -> Decision:
        """Returns the decision, at the latest at the claim's deadline."""
        decided = asyncio.get_running_loop().create_future()
        self._pending[claim.request_id] = decided
        try:
            self._carry_out(self._client.claim(claim, self._clock.now()))
            return await self._wait(claim, decided)
        finally:
            self._pending.pop(claim.request_id, None)

    def finish(self, request_id: RequestId, recorded: Recorded | None) -> None:
        """Reports the outcome of a granted request; None if it did not run."""
        self._carry_out(self._client.finish(request_id, recorded))

    def receive(self, link: Link, message: Message) -> None:
        """Handles the claims, outcomes and decisions of other hosts."""
        if isinstance(message, (Claim, Finish)):
            self._serve(message, partial(_send_decision, link))
        elif isinstance(message, (Grant, Refuse, Repeat)):
            self.receive_decision(message)

    def receive_decision(self, decision: Decision) -> None:
        """Handles a decision from the owner of a partition."""
        now = self._clock.now()
        self._carry_out(self._client.receive(decision, now))

    def handle_lost_owner(self, host: HostId) -> None:
        """Claims again the keys that were pending at a host that was lost."""
        self._avoided[host] = self._clock.now() + AVOID_PERIOD
        self._carry_out(self._client.handle_lost_owner(host))

    async def close(self) -> None:
        """Writes the outcomes that are not stored yet."""
        for log in self._logs.values():
            await log.close(CLOSE_TIMEOUT)

    async def _wait(
        self,
        claim: Claim,
        decided: asyncio.Future[Decision],
    ) -> Decision:
        left = claim.deadline - self._clock.now()
        await asyncio.wait((decided,), timeout=max(left.total_seconds(), 0))
        while not decided.done():
            self._carry_out(self._client.tick(self._clock.now()))
            if not decided.done():
                await asyncio.sleep(TICK_S)
        return decided.result()

    def _carry_out(self, actions: Iterable[ClientAction]) -> None:
        for action in actions:
            if isinstance(action, SendClaim):
                self._dispatch(action.owner, action.claim)
            elif isinstance(action, SendFinish):
                self._dispatch(action.owner, action.finish)
            else:
                self._resolve(action.decision)

    def _resolve(self, decision: Decision) -> None:
        decided = self._pending.get(decision.claim.request_id)
        if decided is not None and not decided.done():
            decided.set_result(decision)

    def _dispatch(self, owner: HostId, message: Claim | Finish) -> None:
        if owner == self._own:
            self._serve(message, self.receive_decision)
        elif not self._peers.send(owner, message):
            task = asyncio.create_task(self._connect_and_send(owner, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(
        self,
        owner: HostId,
        message: Claim | Finish,
    ) -> None:
        connected = await self._peers.connect(owner)
        if not connected or not self._peers.send(owner, message):
            self.handle_lost_owner(owner)

    def _serve(self, message: Claim | Finish, send: SendDecision) -> None:
        log = self._find_log(self._find_partition(message.key))
        if isinstance(message, Claim):
            self._decision_senders[message.request_id] = send
            log.claim(message)
        else:
            log.finish(message)

    def _find_partition(self, key: KeyDigest) -> PartitionId:
        return find_partition(key, self._settings.partitions)

    def _find_owner(self, key: KeyDigest) -> HostId | None:
        now = self._clock.now()
        usable = [
            host for host in self._hosts if self._avoided.get(host, now) <= now
        ]
        return find_log_owner(self._find_partition(key), usable or [self._own])

    def _find_log(self, partition: PartitionId) -> LogServer:
        server = self._logs.get(partition)
        if server is None:
            log = PartitionLog(partition, self._writer, self._settings)
            handle_decision = self._forward_decision
            server = LogServer(log, self._store, self._clock, handle_decision)
            self._logs[partition] = server
        return server

    def _forward_decision(self, decision: Decision) -> None:
        send = self._decision_senders.pop(decision.claim.request_id, None)
        if send is not None:
            send(decision)


def _send_decision(link: Link, decision: Decision) -> None:
    link.send(decision)
