"""Simulates hosts in virtual time: real state machines, fake links and store.

A link delays a message if a segment is lost, as TCP does, and drops it if the
hosts cannot reach each other.
"""

import functools
import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from almonddock_core.configuration import (
    HEAD_KEY,
    Announce,
    ConfigurationAction,
    ConfigurationHead,
    ConfigurationSettings,
    ConfigurationState,
    DocumentReply,
    DocumentRequest,
    Fetch,
    Install,
    RepairStore,
    build_document_key,
    choose_watchers,
)
from almonddock_core.membership import (
    Membership,
    MembershipAction,
    MembershipSettings,
    Probe,
    ProbeReply,
    ProbeRequest,
    Send,
    ViewChanged,
)
from almonddock_core.model import (
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    MembershipView,
    Revision,
)
from almonddock_core.store import Swapped, SwapValue
from almonddock_core.tests.configuration_store import FakeStore

TICK = timedelta(milliseconds=250)
RETRANSMIT = timedelta(milliseconds=200)
REOPEN_WATCH = timedelta(seconds=4)
STORE_DELAY = timedelta(milliseconds=3)

#: The one-way delay between two data centres.
Delay = Callable[[DataCentreId, DataCentreId], timedelta]


@dataclass
class FleetHost:
    """A simulated host with its state machines and faults."""

    own: Member
    membership: Membership
    configuration: ConfigurationState
    #: The active revisions in order, with the time of each.
    history: list[tuple[timedelta, Revision]] = field(default_factory=list)
    up: bool = True
    paused: bool = False
    watching: bool = False
    #: The view from which the watchers were last chosen.
    seen: MembershipView | None = None
    #: Deliveries that arrived while the host was paused.
    inbox: list[Callable[[], None]] = field(default_factory=list)


class Fleet:
    """Runs hosts against a store; :meth:`run` advances ``now``."""

    def __init__(self, seed: int, delay: Delay, loss: float = 0) -> None:
        self.random = random.Random(seed)
        self.now = timedelta(seconds=1)
        self.store = FakeStore()
        self.store_up = True
        self.store_calls = 0
        self.hosts: dict[HostId, FleetHost] = {}
        self.host_list: list[Member] = []
        #: Whether two hosts can reach each other.
        self.reachable: Callable[[Member, Member], bool] = lambda *_: True
        #: Called with every message that is sent.
        self.observe: Callable[[HostId, Any], None] = lambda *_: None
        self._delay = delay
        self._loss = loss
        self._queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = 0

    def add(self, host: str, data_centre: str, incarnation: int = 1) -> None:
        """Starts a host, or replaces the host of the same name."""
        own = Member(
            HostId(host),
            DataCentreId(data_centre),
            '127.0.0.1:1',
            Incarnation(incarnation),
        )
        configuration = ConfigurationState(
            ConfigurationSettings(own.host, own.data_centre),
            random.Random(self.random.random()),
            self.now,
        )
        membership = Membership(
            own,
            MembershipSettings(),
            random.Random(self.random.random()),
            self.now,
            configuration.describe_head,
        )
        node = FleetHost(own, membership, configuration)
        self.hosts[own.host] = node
        self.after(TICK * self.random.random(), lambda: self._tick(node))
        self.after(timedelta(), lambda: self._read_list(node))

    def after(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, call))

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        end = self.now + timedelta(seconds=seconds)
        while self._queue and self._queue[0][0] <= end:
            self._step(heapq.heappop(self._queue))
        self.now = end

    def _step(self, event: tuple[timedelta, int, Callable[[], None]]) -> None:
        self.now = event[0]
        event[2]()

    def pause(self, host: HostId, seconds: float) -> None:
        """Pauses a host, which afterwards handles queued messages in order."""
        node = self.hosts[host]
        node.paused = True

        def resume() -> None:
            node.paused = False
            waiting = node.inbox
            node.inbox = []
            for call in waiting:
                call()

        self.after(timedelta(seconds=seconds), resume)

    def kill(self, hosts: Sequence[HostId]) -> None:
        """Removes hosts; messages to them are dropped."""
        for host in hosts:
            self.hosts.pop(host).up = False

    def act(
        self,
        node: FleetHost,
        actions: Sequence[MembershipAction | ConfigurationAction],
    ) -> None:
        """Carries out the actions of a host's state machines."""
        for action in actions:
            match action:
                case Send():
                    self._send(node, action.host, action.message)
                case ViewChanged():
                    node.configuration.update_members(action.view)
                case Fetch(source=None):
                    self._read_documents(node, action)
                case Fetch():
                    request = DocumentRequest(action.digests)
                    assert action.source is not None
                    self._send(node, action.source, request)
                case Install():
                    revision = action.deployment.revision
                    node.history.append((self.now, revision))
                case Announce():
                    for host in action.hosts:
                        self._send(node, host, action.head)
                case RepairStore():
                    self._repair(node)

    def notify_watchers(self) -> None:
        """Sends the store's head to every host that watches it."""
        for node in self.hosts.values():
            if node.watching:
                self.after(
                    STORE_DELAY,
                    functools.partial(self._receive_stored_head, node),
                )

    def _send(self, node: FleetHost, host: HostId, message: Any) -> None:
        self.observe(node.own.host, message)
        other = self.hosts.get(host)
        if other is None or not self.reachable(node.own, other.own):
            return
        delay = self._delay(node.own.data_centre, other.own.data_centre)
        if self.random.random() < self._loss:
            delay += RETRANSMIT
        self.after(
            delay,
            lambda: self._deliver(other, node.own.host, message),
        )

    def _deliver(self, node: FleetHost, sender: HostId, message: Any) -> None:
        if node.paused:
            node.inbox.append(lambda: self._deliver(node, sender, message))
        elif node.up:
            self._receive(node, sender, message)

    def _receive(self, node: FleetHost, sender: HostId, message: Any) -> None:
        state = node.configuration
        match message:
            case Probe() | ProbeReply() | ProbeRequest():
                received = state.receive_head(sender, message.head, self.now)
                self.act(node, received)
                self.act(node, node.membership.receive(message, self.now))
            case ConfigurationHead():
                self.act(node, state.receive_head(sender, message, self.now))
            case DocumentRequest():
                self._send(node, sender, state.answer(message))
            case DocumentReply():
                self.act(node, state.receive(sender, message, self.now))

    def _tick(self, node: FleetHost) -> None:
        if not node.up:
            return
        self.after(TICK, lambda: self._tick(node))
        if node.paused:
            return
        self.act(node, node.membership.tick(self.now))
        self.act(node, node.configuration.tick(self.now))
        if node.membership.view is node.seen:
            return
        node.seen = node.membership.view
        watchers = choose_watchers(node.seen, node.own.data_centre)
        wanted = node.own.host in watchers
        if wanted and not node.watching:
            self._open_watch(node)
        node.watching = wanted

    def _open_watch(self, node: FleetHost) -> None:
        if not node.up:
            return
        self.store_calls += 1
        self.after(STORE_DELAY, lambda: self._receive_stored_head(node))
        self.after(REOPEN_WATCH, lambda: self._reopen(node))

    def _reopen(self, node: FleetHost) -> None:
        if node.watching:
            self._open_watch(node)

    def _receive_stored_head(self, node: FleetHost) -> None:
        if not self.store_up or node.paused or not node.up:
            return
        stored = self.store.values.get(HEAD_KEY)
        content = None if stored is None else stored.value
        self.act(
            node, node.configuration.receive_stored_head(content, self.now)
        )

    def _read_documents(self, node: FleetHost, fetch: Fetch) -> None:
        self.store_calls += len(fetch.digests)
        if not self.store_up:
            return
        keys = (build_document_key(digest) for digest in fetch.digests)
        found = [
            self.store.values[key].value
            for key in keys
            if key in self.store.values
        ]
        reply = DocumentReply(tuple(found))
        self.after(
            2 * STORE_DELAY,
            lambda: self.act(
                node,
                node.configuration.receive(None, reply, self.now),
            ),
        )

    def _repair(self, node: FleetHost) -> None:
        stored = self.store.values.get(HEAD_KEY)
        documents = node.configuration.list_documents()
        digest = node.configuration.describe_head(self.now).digest
        swap = SwapValue(
            HEAD_KEY,
            documents[digest],
            None if stored is None else stored.revision,
        )
        for key, content in documents.items():
            self.store.put_document(build_document_key(key), content)
        if isinstance(self.store.perform(swap), Swapped):
            self.notify_watchers()

    def _read_list(self, node: FleetHost) -> None:
        if not node.up:
            return
        self.after(timedelta(seconds=1), lambda: self._read_list(node))
        if not node.paused:
            listed = node.membership.read_host_list(self.host_list, self.now)
            self.act(node, listed)
