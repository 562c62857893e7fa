"""Looks up the routes of a path in the versions of a run."""

import itertools
from collections.abc import Sequence

from almonddock_core.routing import Route
from soak.observations import Call, Evidence, Version
from soak.settings import Promises


def list_routes(versions: Sequence[Version], path: str) -> list[Route]:
    """Returns the routes of a path in all versions that have one."""
    routes = [version.find_route(path) for version in versions]
    return [route for route in routes if route is not None]


def list_versions_in_force(
    versions: Sequence[Version],
    call: Call,
    promises: Promises,
) -> list[Version]:
    """Returns the versions that a host may apply to a request."""
    ends = [version.written for version in versions[1:]]
    return [
        version
        for version, end in itertools.zip_longest(versions, ends)
        if version.written <= call.ended
        and (end is None or call.sent <= end + promises.in_force)
    ]


def is_idempotent(evidence: Evidence, path: str) -> bool:
    """Whether the routes of the path are idempotent in every version."""
    routes = list_routes(evidence.versions, path)
    return all(route.idempotent for route in routes)
