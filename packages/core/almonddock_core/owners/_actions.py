"""What the owner of a target asks its host to do."""

from dataclasses import dataclass
from typing import TypeAlias

from almonddock_core.model import AttemptId, SubQuery, SubReply


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the sub-query to the target now."""

    sub: SubQuery


@dataclass(frozen=True, slots=True)
class Reply:
    """Return the reply to the entry host that asked."""

    reply: SubReply


@dataclass(frozen=True, slots=True)
class CancelAtTarget:
    """Ask the target to stop a try that it may be running."""

    attempt_id: AttemptId


OwnerAction: TypeAlias = Dispatch | Reply | CancelAtTarget
