"""The orders and records of the store, as one host has read them."""

from collections.abc import Iterable
from datetime import timedelta

from almonddock_core.model import get_era
from almonddock_core.rollouts._records import RolloutOrder, RolloutRecord
from almonddock_core.rollouts._service import ServiceRollout
from almonddock_core.rollouts._table import RolloutTable


class StoredRollouts:
    """Keeps the newest record of each service, also against a late read.

    A host applies what it has written itself before it reads it again.
    """

    def __init__(self, table: RolloutTable) -> None:
        """Takes the table that acts on the orders and records."""
        #: The revision at which the store holds the record of each service.
        self.revisions: dict[str, int] = {}
        #: The era of the store.
        self.era = 0
        self._table = table
        self._orders: dict[str, RolloutOrder] = {}
        self._records: dict[str, RolloutRecord] = {}
        # The records of the era before, as far as this one has none that is as
        # far: a restored store may have lost them.
        self._carried: dict[str, RolloutRecord] = {}

    def enter_era(self, era: int) -> None:
        """Prepares for what a store holds that was restored from a copy.

        What is known of records stays, also of those that the copy lacks.
        """
        self.era = era
        self._carried = {
            service: record.place_in_era(era)
            for service, record in (self._records | self._carried).items()
        }
        self._records = {}
        self.revisions = {}

    def replace_orders(self, orders: Iterable[RolloutOrder]) -> None:
        """Replaces all orders."""
        self._orders = {order.service: order for order in orders}

    def put_order(self, order: RolloutOrder) -> None:
        """Adds or replaces an order."""
        self._orders[order.service] = order

    def remove_order(self, service: str) -> None:
        """Records that an order was withdrawn."""
        self._orders.pop(service, None)

    def put_record(self, record: RolloutRecord, revision: int) -> None:
        """Takes in a record unless a newer one is known."""
        if get_era(revision) < self.era:
            return
        if revision > self.revisions.get(record.service, 0):
            self.revisions[record.service] = revision
            self._records[record.service] = record

    def apply(self, now: timedelta) -> None:
        """Lets the table act on what is known."""
        self._drop_carried()
        records = self._records | self._carried
        self._table.apply(self._orders, records, now)

    def list_lost(self) -> list[ServiceRollout]:
        """Returns the roll-outs whose record the store has lost."""
        rollouts = map(self._table.find, self._carried)
        return [
            rollout
            for rollout in rollouts
            if rollout is not None
            and rollout.record is self._carried[rollout.order.service]
        ]

    def _drop_carried(self) -> None:
        """Keeps what an earlier era has decided until this one is as far."""
        self._carried = {
            service: carried
            for service, carried in self._carried.items()
            if self._is_ahead(carried)
        }

    def _is_ahead(self, carried: RolloutRecord) -> bool:
        record = self._records.get(carried.service)
        if record is None:
            return True
        order = self._orders.get(carried.service)
        if order is not None and carried.version != order.version:
            return record.version != order.version
        return carried.is_ahead_of(record)
