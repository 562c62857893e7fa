"""Builds the components of one host and connects them."""

import random
import secrets
import time

from almonddock_core.admission import AdmissionSettings
from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    MembershipView,
)
from almonddock_core.owners import OwnerSettings
from almonddock_core.scatter import ScatterSettings
from almonddock_daemon._clock import MonotonicClock
from almonddock_daemon._routing import Router
from almonddock_daemon._state_routing import StateRouter
from almonddock_daemon.adapters import StoreClient
from almonddock_daemon.adapters import StoreSettings as StoreLimits
from almonddock_daemon.controllers import (
    AdmissionController,
    ConfigurationController,
    IdempotencyController,
    MembershipController,
    OwnershipController,
    OwnershipPorts,
    PeerPorts,
    PeerSender,
    ScatterController,
    SnapshotController,
    TargetController,
)
from almonddock_daemon.filters import RunningQueries
from almonddock_daemon.links import LinkMesh
from almonddock_daemon.settings import HostSettings
from almonddock_daemon.telemetry import Metrics, Tracing
from almonddock_wire import Hello

SEED_BITS = 64

#: Store calls a second of the idempotency log, which has its own client.
LOG_CALLS_PER_SECOND = 200


class HostComponents:  # noqa: WPS230  one attribute a part
    """The controllers, adapters, metrics and tracing of a host, built once."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.clock = MonotonicClock()
        source = random.Random(_choose_seed(settings))
        self.metrics = Metrics()
        self.tracing = Tracing(settings.traces, settings.host)
        self.running = RunningQueries()
        self.admission = AdmissionController(
            AdmissionSettings(),
            self.clock,
        )
        own = _describe_self(settings)
        self.own = own
        self.snapshots = SnapshotController(self.clock)
        self.mesh = LinkMesh(_build_hello(own), self.clock)
        self.targets = TargetController(
            OwnerSettings(),
            self.clock,
            self.tracing,
        )
        router = Router(
            own.host,
            self.mesh,
            self.targets,
            self.tracing,
        )
        self.scatters = ScatterController(
            ScatterSettings(),
            self.clock,
            source,
            router.send,
            router.connect,
            self.snapshots.observe,
        )
        self.ownership = OwnershipController(
            own,
            self.clock,
            source,
            self.targets,
            OwnershipPorts(
                router.send_lease_message,
                lambda: self.membership.validated,
            ),
        )
        router.attach(self.scatters, self.ownership)
        self.store = StoreClient(
            StoreLimits(
                endpoints=settings.store.endpoints,
                prefix=settings.store.prefix,
                call_timeout=settings.store.timeout,
            ),
            self.clock,
            source,
        )
        peers = PeerSender(self.mesh)
        self.configuration = ConfigurationController(
            own,
            self.store,
            self.clock,
            source,
            peers,
            self._apply_deployment,
        )
        self.membership = MembershipController(
            settings.host_list,
            own,
            self.clock,
            source,
            peers,
            self.configuration.describe_head,
        )
        self.log_store = StoreClient(
            StoreLimits(
                endpoints=settings.store.endpoints,
                prefix=settings.store.prefix,
                call_timeout=settings.store.timeout,
                calls_per_second=LOG_CALLS_PER_SECOND,
                burst=LOG_CALLS_PER_SECOND,
            ),
            self.clock,
            source,
        )
        self.idempotency = IdempotencyController(
            own.host,
            f'{own.host}.{own.incarnation}',
            self.log_store,
            self.clock,
            PeerPorts(self.mesh.send, self.mesh.connect),
        )
        self.mesh.subscribe(
            self.idempotency.receive,
            self.idempotency.handle_lost_owner,
        )
        self.membership.subscribe(self.configuration.update_members)
        self.membership.subscribe(self._apply_membership)
        StateRouter(self.mesh, self.membership, self.configuration)

    async def close(self) -> None:
        """Closes every component before those that it depends on."""
        self.ownership.close()
        self.targets.close()
        await self.idempotency.close()
        await self.mesh.stop()
        await self.log_store.close()
        await self.store.close()
        self.tracing.stop()

    def _apply_deployment(self, deployment: Deployment) -> None:
        self._update_controllers(deployment, self.membership.view)

    def _apply_membership(self, view: MembershipView) -> None:
        self.idempotency.update_hosts(
            member.host for member in view.list_owners()
        )
        self._update_controllers(self.configuration.view, view)

    def _update_controllers(
        self, deployment: Deployment, view: MembershipView
    ) -> None:
        self.admission.update(deployment, len(view.list_owners()))
        self.ownership.update(deployment, view)


def _choose_seed(settings: HostSettings) -> int:
    if settings.seed is None:
        return secrets.randbits(SEED_BITS)
    return settings.seed


def _describe_self(settings: HostSettings) -> Member:
    # The incarnation must grow with each restart, without storage on disk.
    return Member(
        host=HostId(settings.host),
        data_centre=DataCentreId(settings.data_centre),
        address=settings.listen.link,
        incarnation=Incarnation(time.time_ns()),
    )


def _build_hello(own: Member) -> Hello:
    return Hello(own.host, own.data_centre, own.incarnation, own.address)
