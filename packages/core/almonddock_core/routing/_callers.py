"""Whom a request is from, and why it is not let in."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.routing._organisations import Organisation
from almonddock_core.routing._routes import Route


@dataclass(frozen=True, slots=True)
class Caller:
    """Whom a request is from and where it goes; never holds a key."""

    route: Route
    #: None where the configuration has no organisations, or the route is open
    #: to all.
    organisation: Organisation | None = None

    @property
    def priority(self) -> int:
        """The rank of its requests; 0 is the most urgent."""
        found = self.organisation
        if found is None or found.priority is None:
            return self.route.priority
        return found.priority


class RejectionReason(enum.Enum):
    """Why a caller is not let in."""

    #: No configuration that may be in force holds the key.
    UNKNOWN_KEY = 'unknown_key'
    #: This host cannot know now whether the key holds.
    UNPROVEN_KEY = 'unproven_key'
    #: The organisation has used up its quota.
    OVER_QUOTA = 'over_quota'


@dataclass(frozen=True, slots=True)
class Rejected:
    """A request that is answered before anything was done for it."""

    reason: RejectionReason
    #: When a retry may be let in; None if none will be.
    retry_after: timedelta | None = None


#: Decides whether a caller's request is let in at a time; None lets it in.
Admit = Callable[[Caller, timedelta], Rejected | None]
