"""Routes, services and targets of the configuration in force.

A :class:`RoutingTable` is one version of the operators' configuration; a
request uses the same one to its end. A :class:`TargetTable` holds what a host
knows of the targets of all services::

    route = table.find_route('parts.example', '/plates/2f')
    usable = targets.list_usable('parts-desk-01', now)
"""

from almonddock_core.routing._callers import (
    Admit,
    Caller,
    Rejected,
    RejectionReason,
)
from almonddock_core.routing._organisations import (
    Organisation,
    OrganisationTable,
    Quota,
    build_organisation_table,
    digest_key,
)
from almonddock_core.routing._reports import CostReports, Costs
from almonddock_core.routing._routes import (
    CallerLimits,
    Route,
    RoutingTable,
    Service,
    WeightedService,
    build_routing_table,
)
from almonddock_core.routing._splits import WeightedRotation
from almonddock_core.routing._targets import (
    KnownTarget,
    TargetChange,
    TargetEntry,
    TargetState,
    TargetTable,
)

__all__ = [
    'Admit',
    'Caller',
    'CallerLimits',
    'CostReports',
    'Costs',
    'KnownTarget',
    'Organisation',
    'OrganisationTable',
    'Quota',
    'Rejected',
    'RejectionReason',
    'Route',
    'RoutingTable',
    'Service',
    'TargetChange',
    'TargetEntry',
    'TargetState',
    'TargetTable',
    'WeightedRotation',
    'WeightedService',
    'build_organisation_table',
    'build_routing_table',
    'digest_key',
]
