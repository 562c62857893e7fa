"""The life of one host, from start to graceful shutdown."""

import asyncio

from almonddock_core.membership import (
    ShutdownPhase,
    ShutdownPlan,
    ShutdownSettings,
)
from almonddock_daemon._descriptions import describe_services
from almonddock_daemon._entry import QueryEntry
from almonddock_daemon._parts import Parts
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

#: How often a stopping host looks whether accepted queries are done.
DRAIN_POLL_S = 0.02


class Host:
    """Runs the parts of a host until :meth:`stop`."""

    def __init__(self, settings: HostSettings) -> None:
        self._settings = settings
        self._parts = Parts(settings)
        self._stopping = asyncio.Event()
        self._shutdown = ShutdownPlan(ShutdownSettings())
        self._entry = QueryEntry(self._parts, self._refuses_work)

    async def run(self) -> None:
        """Serves until stopped, then finishes the accepted queries."""
        await self._parts.mesh.start()
        tasks = [
            asyncio.create_task(self._parts.configuration.run()),
            asyncio.create_task(self._parts.membership.run()),
            asyncio.create_task(self._parts.snapshots.run()),
            asyncio.create_task(self._parts.targets.run()),
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
        await self._parts.close()
        LOG.info('host_stopped')

    def stop(self) -> None:
        """Begins a graceful shutdown."""
        if self._shutdown.begin(self._parts.clock.now()):
            LOG.info('host_stopping')
            self._parts.membership.leave()
            self._stopping.set()

    async def _drain(self, server: HttpServer) -> None:
        parts = self._parts
        phase = self._shutdown.phase
        while phase is not ShutdownPhase.DONE:
            await asyncio.sleep(DRAIN_POLL_S)
            outstanding = parts.running.count + parts.targets.outstanding
            phase = self._shutdown.advance(outstanding, parts.clock.now())
        server.should_exit = True

    def _refuses_work(self) -> bool:
        return self._shutdown.phase in {
            ShutdownPhase.DRAINING,
            ShutdownPhase.DONE,
        }

    def _build_ports(self) -> HttpPorts:
        parts = self._parts
        return HttpPorts(
            answer_query=self._entry.answer_query,
            explain_unready=self._explain_unready,
            describe_status=lambda: describe_status(
                parts,
                self._explain_unready(),
            ),
            describe_services=lambda: describe_services(
                parts.configuration.view,
            ),
            render_metrics=lambda: render_metrics(parts),
        )

    def _explain_unready(self) -> str:
        return explain_unready(self._parts, stopping=self._stopping.is_set())
