"""Identifies callers by the keys that they present."""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.access import (
    Belief,
    PresentedKey,
    identify_caller,
    is_proven,
    parse_key,
)
from almonddock_core.model import Clock
from almonddock_core.news import Freshness
from almonddock_core.routing import Caller, Rejected, Route, RoutingTable
from almonddock_gateway.http import CallerRequest, Headers
from almonddock_gateway.settings import HeaderNames

#: The field with a caller's credentials (RFC 9110, 11.6.2).
CREDENTIALS = b'authorization'


@dataclass(frozen=True, slots=True)
class CallerAccess:
    """What a host identifies callers with."""

    names: HeaderNames
    #: The clock of ``freshness``; it has to count suspended time.
    clock: Clock
    #: The time after which a withdrawn key lets nobody in; None without one.
    revocation_bound: timedelta | None = None
    #: As of when the configuration in force is known to be the newest.
    freshness: Freshness = field(default_factory=Freshness)

    def describe_belief(self) -> Belief:
        """Returns how well the configuration in force is known now."""
        return Belief(
            self.freshness.as_of, self.clock.now(), self.revocation_bound
        )

    def identify(
        self,
        request: CallerRequest,
        route: Route,
        table: RoutingTable,
        *,
        checked_since: timedelta | None = None,
    ) -> Caller | Rejected | None:
        """Returns the caller, or why it is not let in.

        Returns None if the store has to be read first. ``checked_since`` is
        when the request arrived, if it has waited for that.
        """
        belief = self.describe_belief()
        fields = [
            content for name, content in request.headers if name == CREDENTIALS
        ]
        presented = PresentedKey(
            route,
            parse_key(fields, self.names.key_scheme),
            belief.now if checked_since is None else checked_since,
            checked=checked_since is not None,
        )
        return identify_caller(presented, table, belief)

    def can_serve(self, table: RoutingTable | None) -> bool:
        """Whether callers with known keys are let in now."""
        if table is None or table.organisations is None:
            return True
        belief = self.describe_belief()
        return is_proven(belief.age, belief.revocation_bound)

    def count_state(self) -> dict[str, float]:
        """Returns the age of the configuration for the metrics."""
        age = self.describe_belief().age
        if age is None:
            return {}
        return {'configuration_age_seconds': age.total_seconds()}


def hide_credentials(headers: Headers, names: HeaderNames) -> Headers:
    """Returns the headers without credentials and the organisation's name.

    Some targets read an underscore in a name as a hyphen.
    """
    hidden = (CREDENTIALS, names.organisation)
    return [
        pair for pair in headers if pair[0].replace(b'_', b'-') not in hidden
    ]
