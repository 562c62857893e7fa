"""The lifecycle of one host, from start to graceful shutdown."""

import asyncio

from almonddock_core.membership import (
    ShutdownPhase,
    ShutdownPlan,
    ShutdownSettings,
)
from almonddock_daemon._components import HostComponents
from almonddock_daemon._descriptions import describe_services
from almonddock_daemon._entry import QueryEntry
from almonddock_daemon._status import (
    describe_status,
    explain_unready,
    render_metrics,
)
from almonddock_daemon.http import (
    HttpPorts,
    HttpServer,
    build_application,
    build_server,
)
from almonddock_daemon.settings import HostSettings
from almonddock_daemon.telemetry import LOG

#: How often a stopping host checks for unfinished work, in seconds.
DRAIN_POLL_S = 0.02


class Host:
    """Runs the components of a host until :meth:`stop`."""

    def __init__(self, settings: HostSettings) -> None:
        self._settings = settings
        self._components = HostComponents(settings)
        self._stopping = asyncio.Event()
        self._shutdown = ShutdownPlan(ShutdownSettings())
        self._entry = QueryEntry(self._components, self._refuses_work)

    async def run(self) -> None:
        """Serves until stopped, then completes the accepted queries."""
        await self._components.mesh.start()
        tasks = [
            asyncio.create_task(self._components.configuration.run()),
            asyncio.create_task(self._components.membership.run()),
            asyncio.create_task(self._components.snapshots.run()),
            asyncio.create_task(self._components.targets.run()),
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
        await self._components.close()
        LOG.info('host_stopped')

    def stop(self) -> None:
        """Begins a graceful shutdown."""
        if self._shutdown.begin(self._components.clock.now()):
            LOG.info('host_stopping')
            self._components.membership.leave()
            self._stopping.set()

    async def _drain(self, server: HttpServer) -> None:
        components = self._components
        phase = self._shutdown.phase
        while phase is not ShutdownPhase.DONE:
            await asyncio.sleep(DRAIN_POLL_S)
            outstanding = (
                components.running.count + components.targets.outstanding
            )
            phase = self._shutdown.advance(outstanding, components.clock.now())
        server.should_exit = True

    def _refuses_work(self) -> bool:
        return self._shutdown.phase in {
            ShutdownPhase.DRAINING,
            ShutdownPhase.DONE,
        }

    def _build_ports(self) -> HttpPorts:
        components = self._components
        return HttpPorts(
            answer_query=self._entry.answer_query,
            explain_unready=self._explain_unready,
            describe_status=lambda: describe_status(
                components,
                self._explain_unready(),
            ),
            describe_services=lambda: describe_services(
                components.configuration.view,
            ),
            render_metrics=lambda: render_metrics(components),
        )

    def _explain_unready(self) -> str:
        return explain_unready(
            self._components, stopping=self._stopping.is_set()
        )
