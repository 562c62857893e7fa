"""Sends the sub-queries of one query and collects their replies.

A try, ``attempt`` in names, is one sub-query sent to one target; a hedge or
a retry is a further try of the same shard. A host keeps one
:class:`ScatterContext` for all its queries. For each query, build a
:class:`Scatter`, call ``start``, and carry out the actions that it and every
later call return::

    scatter = Scatter(query, plan, settings, context)
    actions = scatter.start(now)
    actions = scatter.receive(reply, now)
    actions = scatter.tick(now)  # no later than ``scatter.next_wake()``

:class:`Send` and :class:`Cancel` go to owner hosts; :class:`Finish` is
returned exactly once, as the last action.
"""

from almonddock_core.scatter._actions import (
    Cancel,
    Finish,
    ScatterAction,
    Send,
)
from almonddock_core.scatter._budget import AttemptBudget, BudgetSettings
from almonddock_core.scatter._latency import LatencyTable
from almonddock_core.scatter._scatter import Scatter
from almonddock_core.scatter._settings import (
    ScatterContext,
    ScatterSettings,
)
from almonddock_core.scatter._shard import DropReason

__all__ = [
    'AttemptBudget',
    'BudgetSettings',
    'Cancel',
    'DropReason',
    'Finish',
    'LatencyTable',
    'Scatter',
    'ScatterAction',
    'ScatterContext',
    'ScatterSettings',
    'Send',
]
