"""Which routes the versions of a run give a path."""

from collections.abc import Sequence

from almonddock_core.routing import Route
from soak.observations import Evidence, Version


def list_routes(versions: Sequence[Version], path: str) -> list[Route]:
    """Returns the routes of a path in all versions that have one."""
    routes = [version.find_route(path) for version in versions]
    return [route for route in routes if route is not None]


def is_idempotent(evidence: Evidence, path: str) -> bool:
    """Whether every version lets the request run more than once."""
    routes = list_routes(evidence.versions, path)
    return all(route.idempotent for route in routes)
