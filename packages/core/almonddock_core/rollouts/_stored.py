"""The orders and records of the store, as one host has read them."""

from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from almonddock_core.model import get_era
from almonddock_core.rollouts._records import RolloutOrder, RolloutRecord
from almonddock_core.rollouts._service import ServiceRollout
from almonddock_core.rollouts._table import RolloutTable

#: How long an order that a restored store lacks stays in force, unless its
#: removal is written: longer than operators take to repeat what was lost.
REPEAT_PERIOD_S = 60
REPEAT_PERIOD = timedelta(seconds=REPEAT_PERIOD_S)

#: How many orders of each service are remembered, in order not to take one
#: that a copy of the store brings back for a new one.
MAX_HISTORY = 8


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
        # The orders of the era before that this one lacks, and until when the
        # operator is waited for to repeat them.
        self._held: dict[str, tuple[RolloutOrder, timedelta]] = {}
        # Orders that this era has again though later ones had replaced them.
        self._outdated: dict[str, RolloutOrder] = {}
        # The last orders of each service.
        self._history: dict[str, deque[RolloutOrder]] = {}
        # The records of the era before, as far as this one has none that is as
        # far: a restored store may have lost them.
        self._carried: dict[str, RolloutRecord] = {}

    def enter_era(self, era: int, now: timedelta) -> None:
        """Prepares for what a store holds that was restored from a copy.

        What is known of records stays, also of those that the copy lacks.
        Orders stay as long as operators take to repeat them.
        """
        until = now + REPEAT_PERIOD
        self._held = {
            service: (order.place_in_era(era), until)
            for service, order in self._list_orders().items()
        }
        for history in self._history.values():
            placed = [order.place_in_era(era) for order in history]
            history.clear()
            history.extend(placed)
        self.era = era
        self._carried = {
            service: record.place_in_era(era)
            for service, record in (self._records | self._carried).items()
        }
        self._records = {}
        self.revisions = {}

    def replace_orders(self, orders: Iterable[RolloutOrder]) -> None:
        """Replaces all orders."""
        self._orders = {}
        self._outdated = {}
        for order in orders:
            self.put_order(order)

    def put_order(self, order: RolloutOrder) -> None:
        """Adds or replaces an order."""
        service = order.service
        history = self._history.setdefault(service, deque(maxlen=MAX_HISTORY))
        held, _ = self._held.get(service, (None, None))
        is_repeated = held is not None and held.is_repeated_by(order)
        if held is not None and not is_repeated and order in history:
            self._outdated[service] = order
            return
        if order not in history:
            history.append(order)
        self._orders[service] = order
        self._outdated.pop(service, None)
        self._held.pop(service, None)
        if held is not None and is_repeated:
            self._answer(order, held)

    def remove_order(self, service: str) -> None:
        """Records that an order was withdrawn."""
        self._orders.pop(service, None)
        self._outdated.pop(service, None)
        self._held.pop(service, None)

    def is_held(self, service: str) -> bool:
        """Whether the order in force is one that the store has lost."""
        return service in self._held

    def find_order_revision(self, service: str) -> int:
        """Returns the revision of an order in the store, 0 without one."""
        order = self._orders.get(service) or self._outdated.get(service)
        return 0 if order is None else order.revision

    def put_record(self, record: RolloutRecord, revision: int) -> None:
        """Takes in a record unless a newer one is known."""
        if get_era(revision) < self.era:
            return
        if revision > self.revisions.get(record.service, 0):
            self.revisions[record.service] = revision
            self._records[record.service] = record

    def apply(self, now: timedelta) -> None:
        """Lets the table act on what is known."""
        self._held = {
            service: (order, until)
            for service, (order, until) in self._held.items()
            if now < until
        }
        for service in self._outdated.keys() - self._held.keys():
            self._orders[service] = self._outdated.pop(service)
        self._drop_carried()
        records = self._records | self._carried
        self._table.apply(self._list_orders(), records, now)

    def list_lost(self) -> list[ServiceRollout]:
        """Returns the roll-outs whose record the store has lost."""
        rollouts = map(self._table.find, self._carried)
        return [
            rollout
            for rollout in rollouts
            if rollout is not None
            and rollout.record is self._carried[rollout.order.service]
        ]

    def _list_orders(self) -> dict[str, RolloutOrder]:
        held = {service: order for service, (order, _) in self._held.items()}
        return held | self._orders

    def _answer(self, order: RolloutOrder, lost: RolloutOrder) -> None:
        """Lets the record that answers a lost order answer its repetition."""
        service = order.service
        record = self._carried.get(service) or self._records.get(service)
        if record is None or not record.answers(lost):
            return
        # Numbers of the lost order may be above those of this era.
        self._carried[service] = replace(
            record, answered_revision=order.revision
        )

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
