"""Builds the JSON documents that operators read about a host."""

from typing import Any

from almonddock_core.deployment import Deployment, ServiceFile
from almonddock_core.model import TargetLoad


def describe_services(deployment: Deployment) -> dict[str, Any]:
    """Returns every service with its counts of shards and targets."""
    return {
        'revision': deployment.revision,
        'services': [
            _describe_service(service)
            for _, service in sorted(deployment.services.items())
        ],
    }


def describe_load(load: TargetLoad) -> dict[str, Any]:
    """Returns the load of one owned target."""
    return {
        'target': load.target,
        'queued': load.queued,
        'in_flight': load.in_flight,
        'allowed': load.allowed,
        'open': load.open,
    }


def _describe_service(service: ServiceFile) -> dict[str, Any]:
    versions = service.index_versions
    newest = max(versions, key=lambda entry: entry.version)
    return {
        'service': service.service,
        'workload': service.workload,
        'versions': sorted(entry.version for entry in versions),
        'shards': len(newest.shards),
        'targets': len(service.targets),
    }
