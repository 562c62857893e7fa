"""Keeps the configuration in force up to date.

The head of a configuration is its root document; hosts send each other the
revision and the digest of it.
"""

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

#: The period at which the state machine is ticked.
TICK = timedelta(milliseconds=100)

#: The delay before a failed read of the head is retried, in seconds.
RETRY_S = 1.0


class ConfigurationController:
    """Takes configurations from the store or peers and passes them on."""

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
        # The revision of the head that was last read from the store.
        self._stored_revision = Revision(0)
        self._confirmed_at = clock.now()
        self._watch: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def view(self) -> Deployment:
        """The configuration in force; revision 0 before the first one."""
        return self._state.deployment

    def describe_head(self, now: timedelta) -> ConfigurationHead:
        """Returns the head that messages to other hosts carry."""
        return self._state.describe_head(now)

    def report_status(self) -> ConfigurationStatus:
        """Returns the status for operators and the readiness check."""
        return self._state.report_status(self._clock.now())

    async def run(self) -> None:
        """Ticks the state machine until cancelled."""
        try:
            while True:
                self._carry_out(self._state.tick(self._clock.now()))
                self._confirm_head()
                await asyncio.sleep(TICK.total_seconds())
        finally:
            self._cancel_tasks()

    def update_members(self, view: MembershipView) -> None:
        """Watches the store while the view makes this host a watcher of it."""
        self._state.update_members(view)
        chosen = choose_watchers(view, self._own.data_centre)
        watching = self._watch is not None
        if (self._own.host in chosen) == watching:
            return
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
            return
        self._watch = asyncio.create_task(self._watch_store())

    def receive_head(
        self,
        host: HostId,
        head: ConfigurationHead,
        link: Link | None = None,
    ) -> None:
        """Handles the head of the configuration that a peer has in force."""
        now = self._clock.now()
        self._carry_out(self._state.receive_head(host, head, now), link)

    def receive(
        self,
        link: Link,
        message: ConfigurationHead | DocumentRequest | DocumentReply,
    ) -> None:
        """Handles a message of a peer; replies go back on its link."""
        if link.peer is None:
            return
        host = link.peer.host
        match message:
            case ConfigurationHead():
                self.receive_head(host, message, link)
            case DocumentRequest():
                self._peers.send(host, self._state.answer(message), link)
            case DocumentReply():
                now = self._clock.now()
                self._carry_out(self._state.receive(host, message, now), link)

    async def _watch_store(self) -> None:
        while True:
            try:
                first = await self._store.read(HEAD_KEY)
            except StoreUnavailableError as error:
                LOG.warning('store_unavailable', message=error.message)
                await asyncio.sleep(RETRY_S)
                continue
            self._receive_stored_head(None if first is None else first.value)
            start = 1 if first is None else first.revision + 1
            async for event in self._store.watch(HEAD_KEY, start):
                stored = event.value
                self._receive_stored_head(
                    None if stored is None else stored.value
                )

    def _receive_stored_head(self, content: bytes | None) -> None:
        now = self._clock.now()
        self._carry_out(self._state.receive_stored_head(content, now))
        self._confirmed_at = now
        self._stored_revision = self._state.report_status(now).store_revision

    def _confirm_head(self) -> None:
        # While this host watches, a store reply confirms the last head read.
        answered = self._store.answered_at
        if self._watch is None or answered <= self._confirmed_at:
            return
        self._confirmed_at = answered
        if self._stored_revision == self._state.deployment.revision:
            self._state.confirm_head(answered)

    def _carry_out(
        self,
        actions: Iterable[ConfigurationAction],
        link: Link | None = None,
    ) -> None:
        for action in actions:
            match action:
                case Fetch(None):
                    self._spawn(self._read_documents(action))
                case Fetch(host, digests) if host is not None:
                    self._peers.send(host, DocumentRequest(digests), link)
                case Announce():
                    self._announce(action)
                case _:
                    self._apply(action)

    def _announce(self, announcement: Announce) -> None:
        for host in announcement.hosts:
            self._peers.send(host, announcement.head)

    def _apply(self, action: ConfigurationAction) -> None:
        match action:
            case Install(deployment):
                LOG.info('configuration_in_force', revision=deployment.revision)
                self._publish(deployment)
            case RaiseAlarm(code, message):
                LOG.error(f'configuration_{code}', message=message)
            case RepairStore():
                self._spawn(self._repair())

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

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cancel_tasks(self) -> None:
        for task in (*self._tasks, self._watch):
            if task is not None:
                task.cancel()
