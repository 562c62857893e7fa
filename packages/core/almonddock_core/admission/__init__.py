"""Decides which queries an entry host starts, and when.

An entry host is the host that a caller reached. It keeps one
:class:`Admission` for each workload, because workloads share no targets. A
unit of work is one sub-query. Offer each query with its number of units and
carry out the returned actions; report the end of every admitted query::

    actions = admission.offer(query, units, now)
    actions = admission.finish(request_id, now)
    actions = admission.tick(now)  # no later than ``admission.next_wake()``

:class:`Admit` starts a query. :class:`Refuse` answers that it was not run.
"""

from almonddock_core.admission._actions import (
    AdmissionAction,
    Admit,
    Refuse,
)
from almonddock_core.admission._admission import Admission
from almonddock_core.admission._settings import (
    AdmissionSettings,
    compute_unit_limit,
)

__all__ = [
    'Admission',
    'AdmissionAction',
    'AdmissionSettings',
    'Admit',
    'Refuse',
    'compute_unit_limit',
]
