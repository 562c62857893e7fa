"""One host: its controllers, filter chain, links and HTTP interface."""

import asyncio
import random
import secrets
import time
from typing import Any

from almonddock_core.admission import AdmissionSettings
from almonddock_core.deployment import Deployment, MergeRule
from almonddock_core.membership import (
    ShutdownPhase,
    ShutdownPlan,
    ShutdownSettings,
)
from almonddock_core.model import (
    Answer,
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    MembershipView,
    Plan,
    RequestId,
    WorkloadId,
)
from almonddock_core.owners import OwnerSettings
from almonddock_core.scatter import ScatterSettings
from almonddock_daemon._clock import MonotonicClock
from almonddock_daemon._descriptions import (
    describe_load,
    describe_services,
)
from almonddock_daemon._routing import Router
from almonddock_daemon._state_routing import StateRouter, describe_configuration
from almonddock_daemon.adapters import StoreClient
from almonddock_daemon.adapters import StoreSettings as StoreLimits
from almonddock_daemon.controllers import (
    AdmissionController,
    ConfigurationController,
    IdempotencyController,
    MembershipController,
    OwnershipController,
    OwnershipPorts,
    PeerSender,
    Reach,
    ScatterController,
    SnapshotController,
    TargetController,
)
from almonddock_daemon.filters import (
    AdmissionPorts,
    Exchange,
    Handler,
    RunningQueries,
    build_admission_filter,
    build_at_most_once_filter,
    build_chain,
    build_coverage_handler,
    build_deadline_filter,
    build_scatter_filter,
    build_snapshot_filter,
    build_trace_filter,
)
from almonddock_daemon.http import (
    HttpPorts,
    HttpServer,
    build_application,
    build_query,
    build_server,
    parse_request,
)
from almonddock_daemon.links import LinkMesh
from almonddock_daemon.settings import HostSettings
from almonddock_daemon.telemetry import LOG, Metrics, Tracing
from almonddock_wire import Hello

SEED_BITS = 64
REQUEST_ID_BYTES = 16

#: Store calls a second for the idempotency log, apart from the others.
LOG_CALLS = 200

#: How often a stopping host looks whether accepted queries are done.
DRAIN_POLL_S = 0.02


class Host:
    """Assembles the parts and runs them until :meth:`stop`."""

    def __init__(self, settings: HostSettings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        source = random.Random(_choose_seed(settings))
        self._metrics = Metrics()
        self._tracing = Tracing(settings.traces, settings.host)
        self._running = RunningQueries()
        self._admission = AdmissionController(
            AdmissionSettings(),
            self._clock,
        )
        self._stopping = asyncio.Event()
        own = _describe_self(settings)
        self._own = own
        self._snapshots = SnapshotController(self._clock)
        self._mesh = LinkMesh(_build_hello(own), self._clock)
        self._targets = TargetController(
            OwnerSettings(),
            self._clock,
            self._tracing,
        )
        self._router = Router(
            own.host,
            self._mesh,
            self._targets,
            self._tracing,
        )
        self._scatters = ScatterController(
            ScatterSettings(),
            self._clock,
            source,
            self._router.send,
            self._router.connect,
            self._snapshots.observe,
        )
        self._ownership = OwnershipController(
            own,
            self._clock,
            source,
            self._targets,
            OwnershipPorts(
                self._router.send_guard,
                lambda: self._membership.validated,
            ),
        )
        self._router.attach(self._scatters, self._ownership)
        self._store = StoreClient(
            StoreLimits(
                endpoints=settings.store.endpoints,
                prefix=settings.store.prefix,
                call_timeout=settings.store.timeout,
            ),
            self._clock,
            source,
        )
        peers = PeerSender(self._mesh)
        self._configuration = ConfigurationController(
            own,
            self._store,
            self._clock,
            source,
            peers,
            self._apply_deployment,
        )
        self._membership = MembershipController(
            settings.host_list,
            own,
            self._clock,
            source,
            peers,
            self._configuration.describe_head,
        )
        self._log_store = StoreClient(
            StoreLimits(
                endpoints=settings.store.endpoints,
                prefix=settings.store.prefix,
                call_timeout=settings.store.timeout,
                calls_per_second=LOG_CALLS,
                burst=LOG_CALLS,
            ),
            self._clock,
            source,
        )
        self._idempotency = IdempotencyController(
            own.host,
            f'{own.host}.{own.incarnation}',
            self._log_store,
            self._clock,
            Reach(self._mesh.send, self._mesh.connect),
        )
        self._mesh.subscribe(
            self._idempotency.receive,
            self._idempotency.lose_owner,
        )
        self._membership.subscribe(self._configuration.see_members)
        self._membership.subscribe(self._apply_membership)
        self._shutdown = ShutdownPlan(ShutdownSettings())
        StateRouter(self._mesh, self._membership, self._configuration)
        self._chain = self._build_chain()

    async def run(self) -> None:
        """Serves until stopped, then finishes the accepted queries."""
        await self._mesh.start()
        tasks = [
            asyncio.create_task(self._configuration.run()),
            asyncio.create_task(self._membership.run()),
            asyncio.create_task(self._snapshots.run()),
            asyncio.create_task(self._targets.run()),
        ]
        server = build_server(
            build_application(
                self._build_ports(),
                self._settings.limits.body_bytes,
            ),
            self._settings.listen.http,
        )
        serving = asyncio.create_task(server.serve())
        LOG.info('host_started', http=self._settings.listen.http)
        await self._stopping.wait()
        await self._drain(server)
        await serving
        for task in tasks:
            task.cancel()
        await self._close()
        LOG.info('host_stopped')

    def stop(self) -> None:
        """Begins a graceful shutdown."""
        if self._shutdown.begin(self._clock.now()):
            LOG.info('host_stopping')
            self._membership.leave()
            self._stopping.set()

    async def _close(self) -> None:
        self._ownership.close()
        self._targets.close()
        await self._idempotency.close()
        await self._mesh.stop()
        await self._log_store.close()
        await self._store.close()
        self._tracing.stop()

    async def _drain(self, server: HttpServer) -> None:
        phase = self._shutdown.phase
        while phase is not ShutdownPhase.DONE:
            await asyncio.sleep(DRAIN_POLL_S)
            outstanding = self._running.count + self._targets.outstanding
            phase = self._shutdown.advance(outstanding, self._clock.now())
        server.should_exit = True

    def _refuses_work(self) -> bool:
        return self._shutdown.phase in {
            ShutdownPhase.DRAINING,
            ShutdownPhase.DONE,
        }

    def _build_chain(self) -> Handler:
        clock = self._clock
        return build_chain(
            [
                build_trace_filter(self._tracing),
                build_deadline_filter(clock),
                build_admission_filter(
                    self._settings.limits,
                    self._running,
                    AdmissionPorts(
                        self._admission.enter,
                        self._admission.leave,
                        self._refuses_work,
                    ),
                    clock,
                ),
                build_at_most_once_filter(
                    self._idempotency.claim,
                    self._idempotency.finish,
                    clock,
                ),
                build_snapshot_filter(self._pin),
                build_scatter_filter(self._scatters.run, self._pin, clock),
            ],
            build_coverage_handler(self._find_rule, clock),
        )

    def _build_ports(self) -> HttpPorts:
        return HttpPorts(
            ask=self._ask,
            explain_unready=self._explain_unready,
            describe_status=self._describe_status,
            describe_services=lambda: describe_services(
                self._configuration.view,
            ),
            render_metrics=self._render_metrics,
        )

    async def _ask(self, body: bytes, traceparent: str) -> Answer:
        now = self._clock.now()
        query = build_query(
            parse_request(body),
            self._configuration.view,
            RequestId(secrets.token_hex(REQUEST_ID_BYTES)),
            now,
            traceparent,
        )
        answer = await self._chain(Exchange(query, arrived=now))
        self._count(query.workload, answer)
        return answer

    def _count(self, workload: WorkloadId, answer: Answer) -> None:
        metrics = self._metrics
        labels = {'workload': workload}
        metrics.answers.inc({**labels, 'outcome': answer.outcome.value})
        metrics.shards.add({**labels, 'state': 'total'}, answer.coverage.total)
        metrics.shards.add(
            {**labels, 'state': 'answered'},
            answer.coverage.answered,
        )
        metrics.latency.observe(labels, answer.elapsed.total_seconds())
        metrics.extra_tries.add(labels, answer.extra_tries)

    def _pin(self, workload: WorkloadId) -> Plan:
        return self._snapshots.pin(
            self._configuration.view,
            workload,
            self._ownership.owners,
        )

    def _find_rule(self, workload: WorkloadId) -> MergeRule:
        deployment = self._configuration.view
        name = deployment.workloads[workload][0]
        return deployment.services[name].merge

    def _apply_deployment(self, deployment: Deployment) -> None:
        view = self._membership.view
        self._admission.update(deployment, len(view.list_owners()))
        self._ownership.update(deployment, view)

    def _apply_membership(self, view: MembershipView) -> None:
        self._idempotency.update_hosts(
            member.host for member in view.list_owners()
        )
        deployment = self._configuration.view
        self._admission.update(deployment, len(view.list_owners()))
        self._ownership.update(deployment, view)

    def _explain_unready(self) -> str:
        if self._stopping.is_set():
            return 'shutting_down'
        if not self._membership.validated:
            return 'joining'
        unready = self._configuration.measure().unready
        if unready or self._ownership.settled:
            return unready
        return 'targets_not_acquired'

    def _describe_status(self) -> dict[str, Any]:
        view = self._membership.view
        return {
            'host': self._own.host,
            'data_centre': self._own.data_centre,
            'revision': self._configuration.view.revision,
            'queries_running': self._running.count,
            'hosts': {
                host: member.state.value
                for host, member in sorted(view.members.items())
            },
            'unready': self._explain_unready(),
            'configuration': describe_configuration(
                self._configuration.measure(),
            ),
            'targets': [
                describe_load(load) for load in self._targets.measure_loads()
            ],
        }

    def _render_metrics(self) -> bytes:
        figures = {
            'targets_owned': len(self._targets.owned),
            'queries_running': self._running.count,
            'revision': self._configuration.view.revision,
            'store_calls': self._store.calls,
            'pauses': self._membership.pauses,
            'log_store_calls': self._log_store.calls,
        }
        alarms = self._configuration.measure().alarms
        for code, count in alarms.items():
            figures[f'alarms_{code}'] = count
        for name, figure in figures.items():
            self._metrics.state.set({'name': name}, figure)
        return self._metrics.render()


def _choose_seed(settings: HostSettings) -> int:
    if settings.seed is None:
        return secrets.randbits(SEED_BITS)
    return settings.seed


def _describe_self(settings: HostSettings) -> Member:
    # A restart must draw a larger incarnation without any disk.
    return Member(
        host=HostId(settings.host),
        data_centre=DataCentreId(settings.data_centre),
        address=settings.listen.link,
        incarnation=Incarnation(time.time_ns()),
    )


def _build_hello(own: Member) -> Hello:
    return Hello(own.host, own.data_centre, own.incarnation, own.address)
