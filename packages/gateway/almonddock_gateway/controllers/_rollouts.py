"""Acts on the operators' orders to move a service to a version."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import AlmonddockError, Clock, get_era
from almonddock_core.rollouts import (
    ClaimView,
    ConditionalWrite,
    Fleet,
    RolloutBounds,
    RolloutDecider,
    RolloutOrder,
    RolloutRecord,
    RolloutTable,
    StoredRollouts,
)
from almonddock_core.routing import KnownTarget, TargetTable
from almonddock_gateway.controllers._hosts import HostController
from almonddock_gateway.rollouts import decode_record, encode_record
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import (
    Store,
    StoreItem,
    StoreLostError,
    StoreView,
)
from almonddock_gateway.telemetry import Telemetry

#: The pause between two looks at the counts.
CHECK_INTERVAL_MS = 250
CHECK_INTERVAL = timedelta(milliseconds=CHECK_INTERVAL_MS)

#: Decodes the order for a service, given the stored bytes and their revision.
DecodeOrder = Callable[[str, bytes, int], RolloutOrder]

#: Encodes what operators read of a roll-out.
EncodeState = Callable[[RolloutRecord], bytes]


@dataclass(frozen=True, slots=True)
class RolloutDependencies:
    """The dependencies of :class:`RolloutController`."""

    settings: GatewaySettings
    store: Store
    table: RolloutTable
    targets: TargetTable
    hosts: HostController
    clock: Clock
    telemetry: Telemetry
    decode_order: DecodeOrder
    encode_state: EncodeState
    #: When the store's entries were last read; None before.
    get_news_time: Callable[[], timedelta | None]


class RolloutController:
    """Reads orders and records, and decides if this host holds the claim.

    Does nothing in a deployment whose settings have no bounds for roll-outs.
    """

    def __init__(self, deps: RolloutDependencies) -> None:
        self._deps = deps
        self._bounds: RolloutBounds | None = deps.settings.rollout
        host = deps.settings.host
        self._claim = ClaimView(host, f'{host} {deps.table.run}')
        self._stored = StoredRollouts(deps.table)
        # What was logged last for each service.
        self._logged: dict[str, tuple[str, ...]] = {}

    def apply_snapshot(self, view: StoreView) -> None:
        """Replaces the known orders, and takes in the records."""
        era = get_era(view.revision)
        if era > self._stored.era:
            now = self._deps.clock.now()
            self._claim.enter_era(era, now)
            self._stored.enter_era(era, now)
        self._stored.replace_orders(())
        self.apply_changes(view)

    def apply_changes(self, view: StoreView) -> None:
        """Takes in orders, records and the claim."""
        if self._bounds is None:
            return
        for item in view.items:
            self._apply_item(item)
        table = self._deps.table
        table.known_at = self._deps.clock.now()
        table.hosts = self._list_hosts()
        self._stored.apply(table.known_at)
        self._log_changes()

    async def run(self) -> None:
        """Looks at the counts until cancelled."""
        deps = self._deps
        if self._bounds is None:
            await asyncio.Event().wait()
            return
        decider = RolloutDecider(
            deps.table, self._claim, self._stored, self._bounds
        )
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            deps.table.known_at = deps.get_news_time()
            deps.table.update(deps.clock.now())
            self._log_changes()
            write = decider.plan_write(self._group_targets(), deps.clock.now())
            if write is not None:
                await self._write(decider, write)

    def _apply_item(self, item: StoreItem) -> None:
        keys = self._deps.settings.keys
        if item.key == keys.claim:
            holder = (item.content or b'').decode(errors='replace')
            now = self._deps.clock.now()
            self._claim.observe(holder, item.revision, now)
        elif item.key.startswith(keys.order_prefix):
            self._apply_order(item, item.key.removeprefix(keys.order_prefix))
        elif item.key.startswith(keys.record_prefix):
            self._apply_record(item)

    def _apply_order(self, item: StoreItem, service: str) -> None:
        if item.content is None:
            self._stored.remove_order(service)
            return
        try:
            order = self._deps.decode_order(
                service, item.content, item.revision
            )
        except AlmonddockError as fault:
            self._log_unreadable(item, fault.message)
            return
        self._stored.put_order(order)

    def _apply_record(self, item: StoreItem) -> None:
        if item.content is None:
            return
        try:
            record = decode_record(item.content, item.revision)
        except (ValueError, TypeError, KeyError) as fault:
            self._log_unreadable(item, repr(fault))
            return
        self._stored.put_record(record, item.revision)

    async def _write(
        self, decider: RolloutDecider, write: ConditionalWrite
    ) -> None:
        deps = self._deps
        try:
            revision = await deps.store.put_if(
                self._list_expected(write), self._list_contents(write)
            )
        except StoreLostError as lost:
            # Whether it was written shows when the claim is read again.
            deps.telemetry.log_event('rollout_lost', reason=lost.message)
            return
        now = deps.clock.now()
        if revision is None:
            decider.record_conflict(now)
        else:
            decider.record_written(write, revision, now)
        self._log_written(write, revision)

    def _list_expected(self, write: ConditionalWrite) -> dict[str, int]:
        """Returns the revisions under which a write holds."""
        keys = self._deps.settings.keys
        expected = {keys.claim: write.claim_revision}
        for record, known, ordered in zip(
            write.records,
            write.record_revisions,
            write.order_revisions,
            strict=True,
        ):
            expected[f'{keys.record_prefix}{record.service}'] = known
            expected[f'{keys.order_prefix}{record.service}'] = ordered
        return expected

    def _list_contents(self, write: ConditionalWrite) -> dict[str, bytes]:
        """Returns the claim, and each record with its state for operators."""
        keys = self._deps.settings.keys
        contents = {keys.claim: self._claim.owner.encode()}
        for record in write.records:
            service = record.service
            state = self._deps.encode_state(record)
            contents[f'{keys.record_prefix}{service}'] = encode_record(record)
            contents[f'{keys.state_prefix}{service}'] = state
        return contents

    def _group_targets(self) -> Callable[[str], Fleet]:
        """Returns a function that finds the targets of a service."""
        deps = self._deps
        now = deps.clock.now()
        by_service: defaultdict[str, list[KnownTarget]] = defaultdict(list)
        if deps.table.list_undecided():
            for target in deps.targets.list_all():
                by_service[target.entry.service].append(target)
        hosts = frozenset(self._list_hosts())

        def find(service: str) -> Fleet:
            targets = by_service[service]
            return Fleet(
                frozenset(target.entry.version for target in targets),
                [
                    target.entry.version
                    for target in targets
                    if target.is_usable(now) and not target.health.unreachable
                ],
                hosts,
            )

        return find

    def _list_hosts(self) -> list[str]:
        deps = self._deps
        return [deps.settings.host, *(peer.name for peer in deps.hosts.peers)]

    def _log_written(
        self, write: ConditionalWrite, revision: int | None
    ) -> None:
        deps = self._deps
        if not write.records and revision is not None:
            return
        deps.telemetry.log_event(
            'rollout_decided' if revision else 'rollout_refused',
            claim_revision=write.claim_revision,
            store_revision=revision,
            decisions=[
                f'{record.service} {record.version} {record.state.value} '
                f'{record.stage.value}: {record.reason}'
                for record in write.records
            ],
        )

    def _log_changes(self) -> None:
        """Logs each stage, verdict and stop that this host acts on."""
        deps = self._deps
        for rollout in deps.table.list_all():
            record = rollout.record
            service = rollout.order.service
            logged = (
                rollout.order.version,
                rollout.state.value,
                rollout.stage.value,
                rollout.stopped,
            )
            if record is None or self._logged.get(service) == logged:
                continue
            self._logged[service] = logged
            counts = deps.table.counts.sum(service, record.order_revision)
            deps.telemetry.log_event(
                'rollout_in_force',
                service=service,
                version=rollout.order.version,
                state=rollout.state.value,
                stage=rollout.stage.value,
                reason=record.reason,
                stopped=rollout.stopped,
                requests=counts.requests,
                exposed=counts.exposed,
                bad=counts.count_bad(),
                order_revision=record.order_revision,
            )

    def _log_unreadable(self, item: StoreItem, reason: str) -> None:
        self._deps.telemetry.log_event(
            'rollout_unreadable',
            key=item.key,
            store_revision=item.revision,
            reason=reason,
        )
