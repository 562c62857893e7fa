"""Writes and reads the costs of targets in messages between hosts."""

from typing import Any

from almonddock_core.routing import Costs
from almonddock_gateway.links._columns import read_column

#: Costs are sent as tenths of typical latencies, up to this many.
COST_UNITS = 10
MAX_COST = 0xFF


def write_costs(message: Any, costs: Costs) -> None:
    """Writes the costs to a message that has fields for them."""
    if not costs:
        return
    message.costlyTargets = [target_id for target_id, _ in costs]
    message.costs = [
        min(MAX_COST, round(cost * COST_UNITS)) for _, cost in costs
    ]


def read_costs(message: Any) -> Costs:
    """Returns the costs; raises ValueError if list lengths differ."""
    columns = zip(
        read_column(message.costlyTargets),
        read_column(message.costs),
        strict=True,
    )
    return tuple(
        (target_id, units / COST_UNITS) for target_id, units in columns
    )
