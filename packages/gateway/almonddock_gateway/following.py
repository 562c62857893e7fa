"""How a host follows the store: itself, or through a watcher."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Clock
from almonddock_core.news import FollowState, NewsSource, choose_pause
from almonddock_gateway.controllers import (
    ConfigurationController,
    Follower,
    FollowSettings,
    HostController,
    TargetController,
)
from almonddock_gateway.entry import EntryState
from almonddock_gateway.relays import (
    RelayBoard,
    SharedStore,
    StoreNews,
    StoreServer,
)
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import Store, StoreView
from almonddock_gateway.telemetry import Telemetry

#: The store's keys are followed as one: every call is paid for, and targets
#: write so often that a watch of them returns at once and may as well carry
#: the rest.
EVERYTHING = ''

#: How long the store holds a watch without a change; a connection that went
#: silent is noticed one second later.
NEWS_WAIT = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class FollowingParts:
    """What following the store needs, and what it feeds."""

    settings: GatewaySettings
    store: Store
    relays: RelayBoard
    state: EntryState
    configuration: ConfigurationController
    targets: TargetController
    hosts: HostController
    clock: Clock
    telemetry: Telemetry


class StoreFollowing:
    """Feeds the controllers with the store's changes, and other hosts."""

    def __init__(self, parts: FollowingParts) -> None:
        self._parts = parts
        self._shared = SharedStore(
            parts.store,
            parts.relays,
            parts.settings.keys.host_prefix,
            parts.telemetry,
        )
        self._news = StoreNews(EVERYTHING, self._is_watching)
        self._follower = Follower(
            FollowSettings(
                prefix=EVERYTHING,
                wait=NEWS_WAIT,
                choose_pause=self._choose_pause,
                take_all=self._take_all,
                take_changes=self._take_changes,
                store_back=parts.targets.note_store_back,
            ),
            self._shared,
            parts.clock,
            parts.telemetry,
        )
        #: Answers hosts that ask this one for the store's changes.
        self.server = StoreServer(parts.store, self._news)

    async def run(self) -> None:
        """Follows the store until cancelled."""
        await self._follower.run()

    def _take_all(self, view: StoreView) -> None:
        parts = self._parts
        for reader in (parts.configuration, parts.targets, parts.hosts):
            reader.take_all(view)
        self._news.take_all(view)

    def _take_changes(self, view: StoreView) -> None:
        parts = self._parts
        for reader in (parts.configuration, parts.targets, parts.hosts):
            reader.take_changes(view)
        self._news.take_changes(view, parts.targets.confirmed)

    def _is_watching(self) -> bool:
        """Whether what this host knows of the store is its own and fresh."""
        is_direct = self._shared.source is NewsSource.STORE
        return is_direct and self._follower.is_fresh

    def _choose_pause(self, is_returning: bool) -> timedelta:
        """Returns the pause between two reads of changes."""
        table = self._parts.state.table
        services = table.services.values() if table else ()
        return choose_pause(
            FollowState(
                bound=self._parts.settings.news_bound,
                hosts=self._parts.hosts.count,
                has_followers=self._parts.hosts.has_followers,
                has_cold_rates=any(
                    service.cold_requests_per_second for service in services
                ),
                is_returning=is_returning,
                source=self._shared.source,
            ),
        )
