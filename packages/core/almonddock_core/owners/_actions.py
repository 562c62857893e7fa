"""Actions that an owned target returns for its host to carry out."""

from dataclasses import dataclass
from typing import TypeAlias

from almonddock_core.model import AttemptId, SubQuery, SubReply


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the sub-query to the target now."""

    sub: SubQuery


@dataclass(frozen=True, slots=True)
class Reply:
    """Return the reply to the entry host that sent the sub-query."""

    reply: SubReply


@dataclass(frozen=True, slots=True)
class CancelAtTarget:
    """Ask the target to cancel a try that it may be running."""

    attempt_id: AttemptId


OwnerAction: TypeAlias = Dispatch | Reply | CancelAtTarget
