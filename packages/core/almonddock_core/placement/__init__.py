"""Which target of a service gets a request.

Targets may pause, turn slow, fail part of their requests or stop answering,
and a query waits for the slowest of all its shards. What a host knows of a
target's health comes from the replies to its own requests, and from what
other hosts report::

    target = choose_target(candidates, 'kyushu-a', now)
"""

from almonddock_core.placement._choice import (
    Candidate,
    choose_near,
    choose_target,
)
from almonddock_core.placement._cold import ColdStartLimiter
from almonddock_core.placement._health import TargetHealth, UnrepeatableRequest
from almonddock_core.placement._homes import (
    HOMES_PER_GROUP,
    assign_groups,
    choose_homes,
    count_groups,
)
from almonddock_core.placement._isolation import Reachability, is_isolated
from almonddock_core.placement._latency import TypicalLatency
from almonddock_core.placement._query import QueryPlacement

__all__ = [
    'HOMES_PER_GROUP',
    'Candidate',
    'ColdStartLimiter',
    'QueryPlacement',
    'Reachability',
    'TargetHealth',
    'TypicalLatency',
    'UnrepeatableRequest',
    'assign_groups',
    'choose_homes',
    'choose_near',
    'choose_target',
    'count_groups',
    'is_isolated',
]
