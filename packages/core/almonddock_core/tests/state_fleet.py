"""Hosts in virtual time: the real state machines over fake links and store.

Links deliver late when a segment is lost, as TCP does, and not at all when
hosts are cut off from each other.
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
    """One host with its state machines and faults."""

    own: Member
    membership: Membership
    configuration: ConfigurationState
    #: Revisions in force, in the order and time they came.
    history: list[tuple[timedelta, Revision]] = field(default_factory=list)
    up: bool = True
    paused: bool = False
    watching: bool = False
    #: The view that the watchers were last chosen from.
    seen: MembershipView | None = None
    #: What arrived while the host was paused.
    inbox: list[Callable[[], None]] = field(default_factory=list)


class Fleet:
    """Runs hosts against one store; ``now`` moves with :meth:`run`."""

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
        """Starts a host, or replaces one of the same name."""
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
        one = FleetHost(own, membership, configuration)
        self.hosts[own.host] = one
        self.after(TICK * self.random.random(), lambda: self._tick(one))
        self.after(timedelta(), lambda: self._read_list(one))

    def after(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Calls a function later."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, call))

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        end = self.now + timedelta(seconds=seconds)
        while self._queue and self._queue[0][0] <= end:
            self._step(heapq.heappop(self._queue))
        self.now = end

    def _step(self, event: tuple[timedelta, int, Callable[[], None]]) -> None:
        self.now = event[0]
        event[2]()

    def pause(self, host: HostId, seconds: float) -> None:
        """Stops a host; it then reads what waited, in order."""
        one = self.hosts[host]
        one.paused = True

        def resume() -> None:
            one.paused = False
            waiting = one.inbox
            one.inbox = []
            for call in waiting:
                call()

        self.after(timedelta(seconds=seconds), resume)

    def kill(self, hosts: Sequence[HostId]) -> None:
        """Stops hosts for good; peers with links to them notice at once."""
        for host in hosts:
            self.hosts.pop(host).up = False

    def act(
        self,
        one: FleetHost,
        actions: Sequence[MembershipAction | ConfigurationAction],
    ) -> None:
        """Carries out what a host's state machines ask for."""
        for action in actions:
            match action:
                case Send():
                    self._send(one, action.host, action.message)
                case ViewChanged():
                    one.configuration.see_members(action.view)
                case Fetch(source=None):
                    self._read_documents(one, action)
                case Fetch():
                    request = DocumentRequest(action.digests)
                    assert action.source is not None
                    self._send(one, action.source, request)
                case Install():
                    revision = action.deployment.revision
                    one.history.append((self.now, revision))
                case Announce():
                    for host in action.hosts:
                        self._send(one, host, action.head)
                case RepairStore():
                    self._repair(one)

    def tell_watchers(self) -> None:
        """Sends the store's head to every host that watches it."""
        for one in self.hosts.values():
            if one.watching:
                self.after(
                    STORE_DELAY, functools.partial(self._hear_store, one)
                )

    def _send(self, one: FleetHost, host: HostId, message: Any) -> None:
        self.observe(one.own.host, message)
        other = self.hosts.get(host)
        if other is None or not self.reachable(one.own, other.own):
            return
        delay = self._delay(one.own.data_centre, other.own.data_centre)
        if self.random.random() < self._loss:
            delay += RETRANSMIT
        self.after(
            delay,
            lambda: self._deliver(other, one.own.host, message),
        )

    def _deliver(self, one: FleetHost, sender: HostId, message: Any) -> None:
        if one.paused:
            one.inbox.append(lambda: self._deliver(one, sender, message))
        elif one.up:
            self._receive(one, sender, message)

    def _receive(self, one: FleetHost, sender: HostId, message: Any) -> None:
        state = one.configuration
        match message:
            case Probe() | ProbeReply() | ProbeRequest():
                heard = state.hear_peer(sender, message.head, self.now)
                self.act(one, heard)
                self.act(one, one.membership.receive(message, self.now))
            case ConfigurationHead():
                self.act(one, state.hear_peer(sender, message, self.now))
            case DocumentRequest():
                self._send(one, sender, state.answer(message))
            case DocumentReply():
                self.act(one, state.receive(sender, message, self.now))

    def _tick(self, one: FleetHost) -> None:
        if not one.up:
            return
        self.after(TICK, lambda: self._tick(one))
        if one.paused:
            return
        self.act(one, one.membership.tick(self.now))
        self.act(one, one.configuration.tick(self.now))
        if one.membership.view is one.seen:
            return
        one.seen = one.membership.view
        watchers = choose_watchers(one.seen, one.own.data_centre)
        wanted = one.own.host in watchers
        if wanted and not one.watching:
            self._open_watch(one)
        one.watching = wanted

    def _open_watch(self, one: FleetHost) -> None:
        if not one.up:
            return
        self.store_calls += 1
        self.after(STORE_DELAY, lambda: self._hear_store(one))
        self.after(REOPEN_WATCH, lambda: self._reopen(one))

    def _reopen(self, one: FleetHost) -> None:
        if one.watching:
            self._open_watch(one)

    def _hear_store(self, one: FleetHost) -> None:
        if not self.store_up or one.paused or not one.up:
            return
        stored = self.store.values.get(HEAD_KEY)
        content = None if stored is None else stored.value
        self.act(one, one.configuration.hear_store(content, self.now))

    def _read_documents(self, one: FleetHost, fetch: Fetch) -> None:
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
                one,
                one.configuration.receive(None, reply, self.now),
            ),
        )

    def _repair(self, one: FleetHost) -> None:
        stored = self.store.values.get(HEAD_KEY)
        documents = one.configuration.list_documents()
        digest = one.configuration.describe_head(self.now).digest
        swap = SwapValue(
            HEAD_KEY,
            documents[digest],
            None if stored is None else stored.revision,
        )
        for key, content in documents.items():
            self.store.put_document(build_document_key(key), content)
        if isinstance(self.store.perform(swap), Swapped):
            self.tell_watchers()

    def _read_list(self, one: FleetHost) -> None:
        if not one.up:
            return
        self.after(timedelta(seconds=1), lambda: self._read_list(one))
        if not one.paused:
            listed = one.membership.read_host_list(self.host_list, self.now)
            self.act(one, listed)
