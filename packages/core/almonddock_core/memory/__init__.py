"""Who may hold how many bytes in the memory of a host.

One :class:`HostMemory` owns what the machine gives to the process. Each part
that holds bytes on behalf of others (callers, targets, other hosts, the store)
registers with it, reports nothing else than what it holds, and asks it to keep
the bound whenever that grows::

    memory = HostMemory(clock, machine_bytes)
    share = memory.register(part, PartLimits('requests', max_bytes))
    share.keep_bound()

While all parts together take too much, the owner ends what has stalled, the
longest stalled first, then what takes the most: ordinary requests are small
and move on, so they are reached last.
"""

from almonddock_core.memory._candidates import (
    Candidate,
    choose_candidate,
    rank_holder,
)
from almonddock_core.memory._memory import (
    DEFAULT_MACHINE_BYTES,
    HoldingPart,
    HostMemory,
    MemoryShare,
    PartLimits,
)
from almonddock_core.memory._process import (
    ProcessSize,
    count_affordable_connections,
    estimate_process,
)

__all__ = [
    'DEFAULT_MACHINE_BYTES',
    'Candidate',
    'HoldingPart',
    'HostMemory',
    'MemoryShare',
    'PartLimits',
    'ProcessSize',
    'choose_candidate',
    'count_affordable_connections',
    'estimate_process',
    'rank_holder',
]
