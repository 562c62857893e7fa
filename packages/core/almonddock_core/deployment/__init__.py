"""The operators' files and the configuration made from them.

:class:`ServiceFile` and :class:`DataCentresFile` are the shapes of the JSON
files; :func:`build_deployment` indexes them into a :class:`Deployment`,
from which queries are planned.
"""

from almonddock_core.deployment._deployment import (
    Deployment,
    Target,
    build_deployment,
    build_shard_id,
)
from almonddock_core.deployment._files import (
    Address,
    DataCentreEntry,
    DataCentresFile,
    MergeRule,
    Name,
    ServiceFile,
    TargetEntry,
    VersionEntry,
)

__all__ = [
    'Address',
    'DataCentreEntry',
    'DataCentresFile',
    'Deployment',
    'MergeRule',
    'Name',
    'ServiceFile',
    'Target',
    'TargetEntry',
    'VersionEntry',
    'build_deployment',
    'build_shard_id',
]
