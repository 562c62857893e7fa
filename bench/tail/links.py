"""Delays between hosts and targets."""

from collections.abc import Mapping
from datetime import timedelta

from almonddock_core.model import DataCentreId, HostId, TargetId
from bench.tail.loop import Call, VirtualLoop
from bench.tail.shape import LOCAL_DELAY


class Links:
    """Makes calls to hosts and targets after the delay of the link."""

    def __init__(
        self,
        loop: VirtualLoop,
        delay: timedelta,
        hosts: Mapping[HostId, DataCentreId],
        targets: Mapping[TargetId, DataCentreId],
    ) -> None:
        self.loop = loop
        self._delay = delay
        self._hosts = hosts
        self._targets = targets

    def call_host(self, one: HostId, other: HostId, call: Call) -> None:
        """Makes a call after the one-way delay between two hosts."""
        delay = timedelta()
        if one != other:
            delay = self._find_delay(self._hosts[one], self._hosts[other])
        self.loop.call_after(delay, call)

    def call_target(self, host: HostId, target: TargetId, call: Call) -> None:
        """Makes a call after the one-way delay between a host and a target."""
        delay = self._find_delay(self._hosts[host], self._targets[target])
        self.loop.call_after(delay, call)

    def _find_delay(self, one: DataCentreId, other: DataCentreId) -> timedelta:
        return LOCAL_DELAY if one == other else self._delay
