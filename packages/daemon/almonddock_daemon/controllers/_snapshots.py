"""Tracks the index versions of targets and pins snapshots for queries.

A snapshot is an index version with its partition map; a plan holds it.
"""

import asyncio
from collections.abc import Mapping

from almonddock_core.deployment import Deployment
from almonddock_core.model import (
    Clock,
    HostId,
    IndexVersion,
    Plan,
    Reason,
    ReplyStatus,
    SubReply,
    TargetId,
    WorkloadId,
)
from almonddock_core.truth import SnapshotCache, VersionTable

#: How often old observations are expired, in seconds.
TICK_S = 1


class SnapshotController:
    """Owns the table of index versions and the cached plans."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._versions = VersionTable()
        self._cache = SnapshotCache(self._versions)

    async def run(self) -> None:
        """Expires old observations until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._versions.tick(self._clock.now())

    def pin(
        self,
        deployment: Deployment,
        workload: WorkloadId,
        owners: Mapping[TargetId, HostId],
    ) -> Plan:
        """Returns the plan, with its snapshot, for a query that starts now."""
        return self._cache.pin(deployment, workload, owners)

    def observe(self, reply: SubReply, pinned: IndexVersion) -> None:
        """Records which version a target read or refused."""
        now = self._clock.now()
        read = reply.version
        answered = reply.status is ReplyStatus.OK
        if answered and read is not None:
            self._versions.record_held(reply.target, read, now)
        refused = reply.reason is Reason.WRONG_VERSION
        if refused or (answered and read != pinned):
            self._versions.record_missing(reply.target, pinned, now)
