"""Actions that a scatter returns for its host to carry out."""

from dataclasses import dataclass

from almonddock_core.model import (
    AttemptId,
    HostId,
    ScatterResult,
    SubQuery,
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a sub-query to the host that owns its target."""

    sub: SubQuery
    owner: HostId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tell an owner that the reply to a try is no longer needed."""

    attempt_id: AttemptId
    owner: HostId


@dataclass(frozen=True, slots=True)
class Finish:
    """Merge the result; no reply is counted after this."""

    result: ScatterResult


ScatterAction = Send | Cancel | Finish
