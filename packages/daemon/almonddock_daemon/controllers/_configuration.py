"""Keeps the configuration in force."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta
from typing import Any

from almonddock_core.configuration import (
    HEAD_KEY,
    Announce,
    ConfigurationAction,
    ConfigurationHead,
    ConfigurationSettings,
    ConfigurationState,
    ConfigurationStatus,
    DocumentReply,
    DocumentRequest,
    Fetch,
    Install,
    RaiseAlarm,
    RepairStore,
    build_document_key,
    choose_watchers,
    repair,
)
from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    Clock,
    HostId,
    Member,
    MembershipView,
    Revision,
    StoreUnavailableError,
)
from almonddock_core.store import ReadValues, Values
from almonddock_daemon.adapters import StoreClient, perform_call, run_steps
from almonddock_daemon.controllers._peers import PeerSender
from almonddock_daemon.links import Link
from almonddock_daemon.telemetry import LOG

#: How often the state machine is woken.
TICK = timedelta(milliseconds=100)

#: The pause after the store did not answer, in seconds.
RETRY_S = 1.0


class ConfigurationController:
    """Follows the store or the peers and publishes deployments."""

    def __init__(
        self,
        own: Member,
        store: StoreClient,
        clock: Clock,
        source: random.Random,
        peers: PeerSender,
        publish: Callable[[Deployment], None],
    ) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._peers = peers
        self._publish = publish
        self._state = ConfigurationState(
            ConfigurationSettings(own.host, own.data_centre),
            source,
            clock.now(),
        )
        # The revision that the store had when it was last read.
        self._stored = Revision(0)
        self._heard_at = clock.now()
        self._watch: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def view(self) -> Deployment:
        """The configuration in force; revision 0 before the first one."""
        return self._state.deployment

    def describe_head(self, now: timedelta) -> ConfigurationHead:
        """Returns what messages to other hosts carry."""
        return self._state.describe_head(now)

    def measure(self) -> ConfigurationStatus:
        """Returns the state for operators, and whether the host is ready."""
        return self._state.measure(self._clock.now())

    async def run(self) -> None:
        """Keeps the configuration until cancelled."""
        try:
            while True:
                self._carry_out(self._state.tick(self._clock.now()))
                self._note_answers()
                await asyncio.sleep(TICK.total_seconds())
        finally:
            self._stop()

    def see_members(self, view: MembershipView) -> None:
        """Watches the store if this host is one of those that should."""
        self._state.see_members(view)
        chosen = choose_watchers(view, self._own.data_centre)
        watching = self._watch is not None
        if (self._own.host in chosen) == watching:
            return
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
            return
        self._watch = asyncio.create_task(self._follow())

    def hear_peer(
        self,
        host: HostId,
        head: ConfigurationHead,
        link: Link | None = None,
    ) -> None:
        """Takes what another host has in force."""
        now = self._clock.now()
        self._carry_out(self._state.hear_peer(host, head, now), link)

    def receive(
        self,
        link: Link,
        message: ConfigurationHead | DocumentRequest | DocumentReply,
    ) -> None:
        """Takes a message of another host; answers go back on its link."""
        if link.peer is None:
            return
        host = link.peer.host
        match message:
            case ConfigurationHead():
                self.hear_peer(host, message, link)
            case DocumentRequest():
                self._peers.send(host, self._state.answer(message), link)
            case DocumentReply():
                now = self._clock.now()
                self._carry_out(self._state.receive(host, message, now), link)

    async def _follow(self) -> None:
        while True:
            try:
                first = await self._store.read(HEAD_KEY)
            except StoreUnavailableError as error:
                LOG.warning('store_unavailable', message=error.message)
                await asyncio.sleep(RETRY_S)
                continue
            self._hear_store(None if first is None else first.value)
            start = 1 if first is None else first.revision + 1
            async for event in self._store.watch(HEAD_KEY, start):
                stored = event.value
                self._hear_store(None if stored is None else stored.value)

    def _hear_store(self, content: bytes | None) -> None:
        now = self._clock.now()
        self._carry_out(self._state.hear_store(content, now))
        self._heard_at = now
        self._stored = self._state.measure(now).stored

    def _note_answers(self) -> None:
        # A watch that the store answered without a change confirms the head.
        answered = self._store.answered_at
        if self._watch is None or answered <= self._heard_at:
            return
        self._heard_at = answered
        if self._stored == self._state.deployment.revision:
            self._state.hear_nothing_new(answered)

    def _carry_out(
        self,
        actions: Iterable[ConfigurationAction],
        link: Link | None = None,
    ) -> None:
        for action in actions:
            match action:
                case Fetch(None):
                    self._start(self._read_documents(action))
                case Fetch(host, digests) if host is not None:
                    self._peers.send(host, DocumentRequest(digests), link)
                case Announce():
                    self._announce(action)
                case _:
                    self._settle(action)

    def _announce(self, announcement: Announce) -> None:
        for host in announcement.hosts:
            self._peers.send(host, announcement.head)

    def _settle(self, action: ConfigurationAction) -> None:
        match action:
            case Install(deployment):
                LOG.info('configuration_in_force', revision=deployment.revision)
                self._publish(deployment)
            case RaiseAlarm(code, message):
                LOG.error(f'configuration_{code}', message=message)
            case RepairStore():
                self._start(self._repair())

    async def _read_documents(self, fetch: Fetch) -> None:
        keys = tuple(build_document_key(one) for one in fetch.digests)
        found = await perform_call(self._store, ReadValues(keys))
        if isinstance(found, Values):
            reply = DocumentReply(
                tuple(one.value for one in found.found.values()),
            )
            now = self._clock.now()
            self._carry_out(self._state.receive(None, reply, now))

    async def _repair(self) -> None:
        digest = self._state.describe_head(self._clock.now()).digest
        steps = repair(digest, self._state.list_documents())
        if await run_steps(self._store, steps):
            LOG.warning('store_repaired', digest=digest)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _stop(self) -> None:
        for task in (*self._tasks, self._watch):
            if task is not None:
                task.cancel()
