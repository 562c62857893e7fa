"""The parts of a host that take part in roll-outs."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch import DispatchContext
from almonddock_core.model import Clock
from almonddock_core.rollouts import RolloutTable
from almonddock_gateway.controllers import (
    Decoders,
    HostController,
    RolloutController,
    RolloutDependencies,
)
from almonddock_gateway.relays import CountExchange
from almonddock_gateway.rollouts import CountTeller
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import Store
from almonddock_gateway.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class RolloutSupport:
    """What the parts share with the rest of the host."""

    clock: Clock
    telemetry: Telemetry
    #: When the store's entries were last read; None before.
    get_news_time: Callable[[], timedelta | None]


def create_rollout_table(settings: GatewaySettings) -> RolloutTable:
    """Returns an empty table of this run of a host.

    Hosts that start again keep their name, and count anew.
    """
    return RolloutTable(settings.host, time.time_ns())


class HostRollouts:
    """Creates the controller and the exchange of counts."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: Store,
        context: DispatchContext,
        hosts: HostController,
        decoders: Decoders,
        support: RolloutSupport,
    ) -> None:
        self._table = context.rollouts
        self.controller = RolloutController(
            RolloutDependencies(
                settings=settings,
                store=store,
                table=context.rollouts,
                targets=context.targets,
                hosts=hosts,
                clock=support.clock,
                telemetry=support.telemetry,
                decode_order=decoders.order,
                encode_state=decoders.state,
                get_news_time=support.get_news_time,
            )
        )

        def report(reason: str) -> None:
            support.telemetry.log_event(
                'rollout_counts_unreadable', reason=reason
            )

        teller = CountTeller(context.rollouts.counts, report)
        #: For the links, which pass counts on with their pings.
        self.exchange = CountExchange(
            is_needed=self.is_running,
            list_new=teller.list_new,
            record=teller.record,
        )

    def is_running(self) -> bool:
        """Whether a roll-out has no verdict yet."""
        return bool(self._table.list_running())

    def count_state(self) -> dict[str, float]:
        """Returns the state for the metrics."""
        running = self._table.list_running()
        return {
            'rollouts_running': len(running),
            'rollouts_stopped_here': sum(bool(one.stopped) for one in running),
            'rollout_requests': sum(one.requests for one in running),
            'rollout_requests_exposed': sum(one.exposed for one in running),
        }
