"""Parses documents into a deployment, reusing unchanged services."""

from collections.abc import Mapping

from pydantic import TypeAdapter

from almonddock_core.configuration._changes import DATA_CENTRES
from almonddock_core.configuration._documents import Digest, Snapshot
from almonddock_core.deployment import (
    DataCentresFile,
    Deployment,
    ServiceFile,
    build_deployment,
)
from almonddock_core.model import Revision

_SERVICE = TypeAdapter(ServiceFile)
_DATA_CENTRES = TypeAdapter(DataCentresFile)


class DeploymentBuilder:
    """Builds deployments and caches the parsed services of the last one."""

    def __init__(self) -> None:
        self._parsed: dict[Digest, ServiceFile] = {}

    def build(
        self,
        revision: Revision,
        snapshot: Snapshot,
        documents: Mapping[Digest, bytes],
    ) -> Deployment:
        """Returns the deployment; raises ValueError for an invalid document."""
        if DATA_CENTRES not in snapshot:
            raise ValueError('the configuration has no data centres document')
        centres = _DATA_CENTRES.validate_json(
            documents[snapshot[DATA_CENTRES]],
        )
        parsed = {
            digest: self._parse(digest, documents)
            for name, digest in snapshot.items()
            if name != DATA_CENTRES
        }
        self._parsed = parsed
        return build_deployment(revision, parsed.values(), centres)

    def _parse(
        self,
        digest: Digest,
        documents: Mapping[Digest, bytes],
    ) -> ServiceFile:
        known = self._parsed.get(digest)
        if known is None:
            return _SERVICE.validate_json(documents[digest])
        return known
