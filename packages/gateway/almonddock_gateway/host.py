"""One gateway process, from start to shutdown."""

import asyncio
import gc
import signal
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.dispatch import (
    AnswerSending,
    DispatchContext,
    Lending,
    RetryBudget,
)
from almonddock_core.memory import ProcessSize
from almonddock_core.model import AlmonddockError
from almonddock_core.placement import ColdStartLimiter
from almonddock_core.routing import (
    CallerLimits,
    CostReports,
    KnownTarget,
    TargetTable,
)
from almonddock_gateway.adapter import HostAdapter
from almonddock_gateway.admin import build_admin_handler
from almonddock_gateway.controllers import (
    ConfigurationController,
    HostController,
    IsolationController,
    QuotaDependencies,
    TargetController,
    WarmthController,
    WarmthDependencies,
    build_quota_controller,
)
from almonddock_gateway.entry import (
    Admission,
    CallerAccess,
    Entry,
    EntryState,
    ExchangeSettings,
    QuotaGate,
)
from almonddock_gateway.following import FollowingDependencies, StoreFollowing
from almonddock_gateway.linking import HostLinks, LinkServers
from almonddock_gateway.readiness import Readiness
from almonddock_gateway.relays import (
    Borrower,
    CostExchange,
    RelayRouter,
    RelaySettings,
    build_loan_exchange,
)
from almonddock_gateway.rolling import (
    HostRollouts,
    RolloutSupport,
    create_rollout_table,
)
from almonddock_gateway.serving import START_LIMITS, CallerServers, Handle
from almonddock_gateway.settings import Address, GatewaySettings
from almonddock_gateway.shutdown import ShutdownSteps, finish_requests
from almonddock_gateway.supervision import (
    guard,
    keep_running,
    log_unexpected_errors,
    run_once,
    run_until_done,
)
from almonddock_gateway.targets import TargetPools, build_observer
from almonddock_gateway.telemetry import (
    GatewayMetrics,
    LineWriter,
    MemoryReport,
    Telemetry,
)

#: The signals that a host handles from the start of :meth:`GatewayHost.run`.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)

#: How long a host serves callers before it opens links: the import of pycapnp
#: for them blocks the event loop for about a tenth of a second.
LINK_DELAY = timedelta(seconds=2)

#: The pause between two checks whether links are needed sooner: a request whose
#: organisation has a quota is refused if no host can be asked for credits.
LINK_CHECK_MS = 50
LINK_CHECK = timedelta(milliseconds=LINK_CHECK_MS)

#: The pause between sweeps of idle connections and expired entries.
SWEEP_MS = 500
SWEEP = timedelta(milliseconds=SWEEP_MS)

#: The pause between writes of log lines.
LOG_FLUSH = timedelta(milliseconds=100)

BITS_PER_BYTE = 8

#: The allocations after which the youngest generation is collected.
GC_THRESHOLD = 50_000


class GatewayHost:
    """Creates the components of a gateway and runs them."""

    def __init__(self, settings: GatewaySettings, adapter: HostAdapter) -> None:
        """Creates all components."""
        #: The settings in force.
        self.settings = settings
        self._reload = adapter.reload
        self._callers = settings.callers
        self._clock = adapter.memory.clock
        self.telemetry = Telemetry(
            LineWriter(
                adapter.output,
                {'host': settings.host, 'data_centre': settings.data_centre},
            ),
            GatewayMetrics(),
            self._clock,
        )
        self._memory = adapter.memory
        self._memory_report = MemoryReport(self._memory, self.telemetry)
        self._state = EntryState()
        self._budget = RetryBudget(settings.budget)
        self._lending = Lending(
            self._budget,
            settings.budget.window,
            self._clock.now(),
        )
        self._targets = TargetTable()
        self._cold_limiter = ColdStartLimiter(settings.host)
        self._context = DispatchContext(
            settings.data_centre,
            self._targets,
            self._budget,
            self._cold_limiter,
            rollouts=create_rollout_table(settings),
            sending=AnswerSending(_compute_link_time(settings)),
        )
        self._pools = TargetPools(
            self._get_connection_limit,
            self._report_reachability,
            lambda target: self._targets.is_usable(target, self._clock.now()),
            build_observer(settings.headers, self._clock, self.telemetry),
            self._memory,
        )
        self._relays = RelayRouter(
            settings.data_centre,
            self._build_cost_exchange(),
        )
        self._access = CallerAccess(
            settings.headers,
            adapter.suspended_clock,
            settings.revocation_bound,
        )
        self._hosts = HostController(
            settings,
            adapter.store,
            self._clock,
            self.telemetry,
        )
        self._quotas = build_quota_controller(
            QuotaDependencies(
                settings=settings,
                hosts=self._hosts,
                get_table=lambda: self._state.table,
                get_links=lambda: self._relays.links,
                get_news=lambda: self._following.freshness.as_of,
                clock=adapter.suspended_clock,
                telemetry=self.telemetry,
            ),
        )
        self._entry = Entry(
            self._state,
            self._context,
            ExchangeSettings(
                settings.headers,
                self._pools,
                self._clock,
                self._relays,
                Borrower(
                    self._lending, lambda: self._relays.links, self._clock
                ).ask,
            ),
            Admission(
                self._access,
                lambda: self._following.check_configuration(),
                QuotaGate(self._quotas),
            ),
            self.telemetry,
        )
        self._isolation = IsolationController(
            self._context,
            self._clock,
            self.telemetry,
        )
        configuration = ConfigurationController(
            settings.keys,
            adapter.decoders.table,
            self._state,
            self._context,
            self._clock,
            self.telemetry,
        )
        self._target_controller = TargetController(
            settings.keys,
            adapter.decoders.target,
            self._targets,
            self._clock,
            self.telemetry,
        )
        loans = build_loan_exchange(self._lending, self._clock)
        self._rollouts = HostRollouts(
            settings,
            adapter.store,
            self._context,
            self._hosts,
            adapter.decoders,
            RolloutSupport(
                self._clock,
                self.telemetry,
                lambda: self._following.news_time,
            ),
        )
        self._following = StoreFollowing(
            FollowingDependencies(
                settings=settings,
                store=adapter.store,
                relays=self._relays,
                state=self._state,
                configuration=configuration,
                targets=self._target_controller,
                hosts=self._hosts,
                rollouts=self._rollouts.controller,
                is_hurried=self._rollouts.is_running,
                clock=self._clock,
                telemetry=self.telemetry,
                freshness=self._access.freshness,
                suspended_clock=self._access.clock,
                targets_updated=self._pools.check_waiting,
                loans=loans,
            ),
        )
        self._warmth = WarmthController(
            WarmthDependencies(
                context=self._context,
                pools=self._pools,
                names=settings.headers,
                clock=self._clock,
                telemetry=self.telemetry,
                get_news_time=lambda: self._following.news_time,
            ),
        )
        self._stopping = asyncio.Event()
        self._servers = CallerServers(
            self._get_limits,
            self._stopping.is_set,
            self._clock,
            self.telemetry,
            settings.max_sockets,
            self._memory,
        )
        self._memory.measure_process = lambda: ProcessSize(
            targets=len(self._targets),
            connections=self._servers.open_connections,
        )
        self._readiness = self._build_readiness()
        self._links = HostLinks(
            settings,
            RelaySettings(
                settings.headers,
                self._targets,
                self._pools,
                self._clock,
                self._relays.costs,
                loans,
            ),
            LinkServers(
                self._following.server,
                self._rollouts.exchange,
                self._quotas,
                lambda: self._state.table,
            ),
            self._hosts,
            self.telemetry,
            self._memory,
        )

    @property
    def drained(self) -> frozenset[str]:
        """The data centres that get no new requests."""
        return self._targets.drained

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers to this host."""
        return self._readiness.is_ready

    async def run(self, started: timedelta | None = None) -> None:
        """Serves until SIGTERM, then shuts down gracefully.

        ``started`` is when the process started, by the monotonic clock.
        """
        if started is not None:
            self._readiness.started = started
        gc.set_threshold(GC_THRESHOLD)
        loop = asyncio.get_running_loop()
        log_unexpected_errors(loop, self.telemetry)
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        # Delivers the signals that a program has held back until here.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        settings = self.settings
        self.telemetry.log_event('started', callers=settings.callers)
        tasks = self._start_tasks()
        await self._stopping.wait()
        await self._stop()
        await self._shut_down(tasks)

    async def _shut_down(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._servers.close()
        self._links.close()
        self.telemetry.log_event('stopped', running=self._entry.running)
        self.telemetry.flush()

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        loop = asyncio.get_running_loop()
        answer_admin = build_admin_handler(
            self.settings,
            lambda: self.is_ready,
            self._count_state,
            self.telemetry.metrics,
        )

        async def listen(
            address: Address, handle: Handle, *, admin: bool = False
        ) -> None:
            await run_until_done(
                f'listening at {address.host}:{address.port}',
                lambda: self._servers.listen(address, handle, admin=admin),
                self.telemetry,
            )

        listening = [
            listen(self._callers, self._entry.handle),
            *(
                listen(address, answer_admin, admin=True)
                for address in (self.settings.readiness, self.settings.metrics)
            ),
        ]
        running = [
            keep_running(name, run, self.telemetry)
            for name, run in (
                ('following', self._following.run),
                ('registration', self._hosts.run),
                ('rollouts', self._rollouts.controller.run),
                ('links', self._run_links),
                ('warmth', self._warmth.run),
                ('sweep', self._sweep),
                ('log', self._flush_logs),
            )
        ]
        return [loop.create_task(work) for work in (*listening, *running)]

    def _build_readiness(self) -> Readiness:
        conditions: dict[str, Callable[[], bool]] = {
            'configuration': lambda: self._state.table is not None,
            'targets': lambda: self._target_controller.has_snapshot,
            'address': lambda: self._servers.is_listening(self._callers),
            'end_of_stop': lambda: not self._stopping.is_set(),
            'end_of_isolation': lambda: not self._isolation.isolated,
            'proof_of_keys': lambda: self._access.can_serve(self._state.table),
        }
        return Readiness(
            conditions,
            lambda: self._following.fault,
            self._clock,
            self.telemetry,
        )

    def _build_cost_exchange(self) -> CostExchange:
        reports = CostReports(self._targets, self.settings.data_centre)
        clock = self._clock
        return CostExchange(
            record=lambda costs: reports.record(costs, clock.now()),
            list_observed=lambda: reports.list_observed(clock.now()),
            list_known=lambda: reports.list_known(clock.now()),
            list_near=lambda: reports.list_near(clock.now()),
        )

    def _get_limits(self) -> CallerLimits:
        table = self._state.table
        return START_LIMITS if table is None else table.limits

    def _get_connection_limit(self, service: str) -> int:
        """Returns this host's share of a target's connection limit."""
        table = self._state.table
        known = table.services.get(service) if table else None
        if known is None:
            return 1
        return self._links.limit_connections(known)

    def _report_reachability(self, target: KnownTarget) -> None:
        """Logs that a target became reachable or unreachable.

        One that is reachable again may have restarted: it counts as cold, if
        its service limits the request rate of cold targets.
        """
        entry = target.entry
        health = target.health
        assumed_cold = not health.unreachable and self._context.assume_cold(
            target,
            self._clock.now(),
        )
        self.telemetry.log_event(
            'target_unreachable' if health.unreachable else 'target_reachable',
            target=entry.target_id,
            service=entry.service,
            address=f'{entry.host}:{entry.port}',
            reached=health.reached,
            taken_as_cold=assumed_cold,
        )

    def _count_state(self) -> dict[str, float]:
        """Returns the state of the host for the metrics."""
        table = self._state.table
        return {
            'configuration_version': table.version if table else 0,
            'store_era': self._following.store_era,
            'targets': len(self._targets),
            'hosts': self._hosts.count,
            'connections_opened': self._pools.count_dials(),
            'requests_running': self._entry.running,
            'key_checks': self._entry.key_checks,
            **self._access.count_state(),
            **self._rollouts.count_state(),
            'reply_bytes_held': self._pools.held_bytes,
            **self._servers.count_held_bytes(),
            **self._memory_report.count_state(),
            **(self._quotas.count_state() if self._quotas else {}),
        }

    def _reload_settings(self) -> None:
        """Reads the settings again and applies the retry budget."""
        try:
            settings = self._reload()
        except (OSError, AlmonddockError) as fault:
            self.telemetry.log_event('settings_unreadable', reason=str(fault))
            return
        self.settings = settings
        self._budget.update_limits(settings.budget)
        self._memory.machine_bytes = settings.memory_bytes
        self.telemetry.log_event('settings_reloaded', budget=settings.budget)

    async def _run_links(self) -> None:
        """Opens links to other hosts once this host serves callers."""
        pause = SWEEP if self._quotas is None else LINK_CHECK
        while not self.is_ready:
            await asyncio.sleep(pause.total_seconds())
        due = self._clock.now() + LINK_DELAY
        while self._clock.now() < due and not self._links.are_urgent:
            await asyncio.sleep(LINK_CHECK.total_seconds())
        self._relays.links = await self._links.open()
        await self._links.run()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP.total_seconds())
            self._budget.hosts = self._hosts.count
            self._cold_limiter.update_peers(
                [peer.name for peer in self._hosts.peers]
            )
            now = self._clock.now()
            self._lending.drop_idle(now)
            self._cold_limiter.drop_warm(
                [
                    target.entry.target_id
                    for target in self._targets.list_all()
                    if target.cold_until > now
                ],
            )
            self._context.drop_idle(now)
            self._target_controller.drop_lapsed()
            if self._quotas is not None:
                self._quotas.update()
            self._isolation.check()
            self._pools.check_waiting()
            self._pools.close_idle()
            self._servers.enforce_timeouts()
            self._memory_report.log_shortage()

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(LOG_FLUSH.total_seconds())
            self._links.record_alive()
            self._readiness.log_change()
            self.telemetry.flush()

    def _is_busy(self) -> bool:
        """Whether requests run, or are read or answered on a connection."""
        if self._entry.running:
            return True
        return self._servers.busy or self._links.busy

    async def _stop(self) -> None:
        """Waits until the balancer detects the stop and requests have ended."""
        self.telemetry.log_event('stopping', running=self._entry.running)
        self.telemetry.flush()

        async def announce() -> None:
            self._links.announce_stop()

        await run_once('announcing the stop', announce, self.telemetry)
        telemetry = self.telemetry
        steps = ShutdownSteps(
            close_idle=guard(
                'closing idle connections',
                self._servers.close_idle,
                telemetry,
            ),
            refuse_new=self._state.refuse_new,
            withdraw_waiting=guard(
                'withdrawing waiting attempts',
                self._pools.withdraw_waiting,
                telemetry,
            ),
            give_up=guard('giving requests up', self._entry.give_up, telemetry),
            is_busy=self._is_busy,
        )
        await run_once(
            'finishing requests',
            lambda: finish_requests(
                steps, self.settings.shutdown_time, self._clock
            ),
            self.telemetry,
        )
        await run_once('deregistration', self._hosts.deregister, self.telemetry)


def _compute_link_time(settings: GatewaySettings) -> timedelta:
    """Returns the time that a byte takes on this host's link."""
    if not settings.link_rate:
        return timedelta()
    return timedelta(seconds=BITS_PER_BYTE / settings.link_rate)
