"""The orders and records of the store, as one host has read them."""

from collections.abc import Iterable
from datetime import timedelta

from almonddock_core.model import get_era
from almonddock_core.rollouts._records import RolloutOrder, RolloutRecord
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

    def enter_era(self, era: int) -> None:
        """Prepares for what a store holds that was restored from a copy.

        What is known of records stays, also of those that the copy lacks.
        """
        self.era = era
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
        self._table.apply(self._orders, self._records, now)
