"""Follows the store, directly or through a watcher.

A watcher is a host that reads the store for others of its data centre.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.model import Clock, get_era
from almonddock_core.news import (
    Freshness,
    PauseInputs,
    ReadSource,
    choose_pause,
    limit_pause,
)
from almonddock_gateway.controllers import (
    ConfigurationController,
    Follower,
    FollowSettings,
    HostController,
    RolloutController,
    TargetController,
)
from almonddock_gateway.entry import EntryState
from almonddock_gateway.relays import (
    FallbackStore,
    LoanExchange,
    RelayRouter,
    StoreCache,
    StoreServer,
)
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import Store, StoreLostError, StoreView
from almonddock_gateway.telemetry import Telemetry

#: All keys are followed with one watch, because each call to the store has a
#: cost. Targets write so often that their watch returns immediately, and it
#: can carry the other changes too.
ALL_KEYS = ''

#: How long the store holds a watch without a change; the adapter detects an
#: unresponsive connection one second later.
WATCH_WAIT = timedelta(seconds=1)

#: The pause between two lines on what was read last from where.
READ_LOG_INTERVAL = timedelta(seconds=5)

MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class FollowingDependencies:
    """The dependencies of :class:`StoreFollowing`."""

    settings: GatewaySettings
    store: Store
    relays: RelayRouter
    state: EntryState
    configuration: ConfigurationController
    targets: TargetController
    hosts: HostController
    rollouts: RolloutController
    #: Whether changes are wanted soon, because a roll-out runs.
    is_hurried: Callable[[], bool]
    clock: Clock
    telemetry: Telemetry
    #: As of when the configuration in force is known to be the newest.
    freshness: Freshness
    #: The clock of ``freshness``.
    suspended_clock: Clock
    #: Called after the targets, or the drained data centres, were updated.
    targets_updated: Callable[[], None]
    #: For the parts of the retry budget that travel with reads of the store.
    loans: LoanExchange = field(default_factory=LoanExchange)


class StoreFollowing:
    """Passes the store's changes to the controllers and other hosts."""

    def __init__(self, deps: FollowingDependencies) -> None:
        self._deps = deps
        self._controllers = (
            deps.configuration,
            deps.targets,
            deps.hosts,
            deps.rollouts,
        )
        self._store = FallbackStore(
            deps.store,
            deps.relays,
            deps.settings.keys.host_prefix,
            deps.telemetry,
            deps.suspended_clock,
            deps.loans,
        )
        #: As of when all entries are known, unlike the configuration alone.
        self.freshness = Freshness()
        self._store.age_bound = deps.settings.revocation_bound
        self._cache = StoreCache(ALL_KEYS, self._is_reading_directly)
        # The source and time of the last line on a read.
        self._logged_read: tuple[ReadSource, timedelta] | None = None
        self._follower = Follower(
            FollowSettings(
                prefix=ALL_KEYS,
                wait=WATCH_WAIT,
                choose_pause=self._choose_pause,
                apply_snapshot=self._apply_snapshot,
                apply_changes=self._apply_changes,
                store_back=deps.targets.record_store_recovery,
            ),
            self._store,
            deps.clock,
            deps.telemetry,
        )
        #: Answers the store queries of other hosts.
        self.server = StoreServer(
            deps.store,
            self._cache,
            deps.suspended_clock,
            deps.relays.costs,
            deps.loans,
        )

    @property
    def news_time(self) -> timedelta | None:
        """When the store's entries were last read; None before."""
        return self._follower.fresh_at

    @property
    def store_era(self) -> int:
        """The era of the store that was read last; it rises by restores."""
        return get_era(self._follower.newest)

    @property
    def fault(self) -> str:
        """Why the last read of the store failed; empty if it did not."""
        return self._follower.fault

    async def run(self) -> None:
        """Follows the store until cancelled."""
        await self._follower.run()

    async def check_configuration(self) -> None:
        """Reads the configuration that is in force now, and applies it.

        Raises:
            StoreLostError: neither the store nor a host that reads it answers.
        """
        view = await self._store.read_prefix(
            self._deps.settings.keys.configuration
        )
        if get_era(view.revision) < self.store_era:
            raise StoreLostError('the configuration is of an earlier era')
        self._deps.configuration.apply_changes(view)
        self._note_applied(view)

    def _apply_snapshot(self, view: StoreView) -> None:
        deps = self._deps
        for controller in self._controllers:
            controller.apply_snapshot(view)
        deps.targets_updated()
        self._cache.apply_snapshot(view)
        self._note_read(view)

    def _apply_changes(self, view: StoreView) -> None:
        deps = self._deps
        for controller in self._controllers:
            controller.apply_changes(view)
        deps.targets_updated()
        self._cache.apply_changes(view, deps.targets.confirmed)
        self._note_read(view)

    def _note_read(self, view: StoreView) -> None:
        """Records as of when all entries are known."""
        if not view.has_more:
            self.freshness.note(view.as_of)
        self._note_applied(view)
        self._log_read(view)

    def _note_applied(self, view: StoreView) -> None:
        """Records as of when the configuration in force is the newest."""
        if self._deps.configuration.is_newest(view):
            self._deps.freshness.note(view.as_of)

    def _log_read(self, view: StoreView) -> None:
        """Logs what this host believes and from where, now and then."""
        deps = self._deps
        source = self._store.source
        now = deps.clock.now()
        if self._logged_read is not None:
            logged_source, logged_at = self._logged_read
            is_recent = now - logged_at < READ_LOG_INTERVAL
            if source is logged_source and is_recent:
                return
        self._logged_read = (source, now)
        age = deps.freshness.get_age(deps.suspended_clock.now())
        table = deps.state.table
        deps.telemetry.log_event(
            'store_read',
            source=source.value,
            store_revision=view.revision,
            configuration=table.version if table else None,
            configuration_age_ms=None if age is None else age // MILLISECOND,
        )

    def _is_reading_directly(self) -> bool:
        """Whether this host reads the store itself and successfully."""
        is_direct = self._store.source is ReadSource.STORE
        return is_direct and self._follower.is_fresh

    def _choose_pause(self, is_recovering: bool) -> timedelta:
        """Returns the pause between two reads of changes.

        ``is_recovering`` says whether expired keys may be written again now.
        """
        table = self._deps.state.table
        services = table.services.values() if table else ()
        pause = choose_pause(
            PauseInputs(
                max_delay=self._deps.settings.max_propagation_time,
                hosts=self._deps.hosts.count,
                has_followers=self._deps.hosts.has_followers,
                needs_soon=self._deps.is_hurried()
                or any(
                    service.cold_requests_per_second for service in services
                ),
                is_recovering=is_recovering,
                source=self._store.source,
            ),
        )
        bound = self._deps.settings.revocation_bound
        if bound is None:
            return pause
        now = self._deps.suspended_clock.now()
        return limit_pause(pause, self._deps.freshness.get_age(now), bound)
