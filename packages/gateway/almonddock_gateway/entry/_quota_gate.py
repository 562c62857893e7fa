"""Lets requests in as far as the quotas of their organisations allow."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from almonddock_core.quotas import CreditSource, LetIn, TurnAway
from almonddock_core.routing import (
    Caller,
    Organisation,
    Rejected,
    RejectionReason,
)
from almonddock_gateway.http import Exchange

GiveBack = Callable[[], None]


class QuotaDecisions(Protocol):
    """Decides on requests of organisations with quotas."""

    def admit(
        self,
        organisation: Organisation,
        decide: Callable[[LetIn | TurnAway], None],
    ) -> int:
        """Decides on a request, at once or later; returns its ticket."""
        ...

    def cancel(self, organisation: Organisation, ticket: int) -> None:
        """Forgets a request that waits, because its caller left."""
        ...

    def keep_for_return(
        self, organisation: Organisation, source: CreditSource
    ) -> 'GiveBack':
        """Returns what gives back what a request has taken now."""
        ...

    def count_refused(self, organisation: Organisation) -> None:
        """Counts a request over the quota."""
        ...


def keep_credit() -> None:
    """Gives nothing back, for a request that took nothing."""


@dataclass(frozen=True, slots=True)
class GatedSteps:
    """What becomes of a request; one of them is called once."""

    #: Starts it; the argument returns its credit if it does not run.
    start: Callable[[GiveBack], Exchange | None]
    #: Refuses it.
    reject: Callable[[Rejected], None]
    #: Answers it because the process ends.
    turn_away: Callable[[], None]
    #: Answers it after an unexpected error in its start.
    fail: Callable[[], None]


class QuotaGate:
    """The requests that wait for a decision on their quota."""

    def __init__(self, quotas: QuotaDecisions | None) -> None:
        """Lets everything in if ``quotas`` is None."""
        self._quotas = quotas
        self._waiting: set[_GatedRequest] = set()

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return len(self._waiting)

    def give_up(self) -> None:
        """Turns all requests that wait away, because the process ends."""
        for request in tuple(self._waiting):
            request.give_up()

    def pass_request(
        self, caller: Caller, steps: GatedSteps
    ) -> Exchange | None:
        """Returns the request, None if it was answered at once."""
        organisation = caller.organisation
        quotas = self._quotas
        if quotas is None or organisation is None or not organisation.quota:
            return steps.start(keep_credit)
        request = _GatedRequest(
            organisation, quotas, steps, self._waiting.discard
        )
        request.ticket = quotas.admit(organisation, request.decide)
        if request.is_decided:
            return request.exchange
        request.is_waiting = True
        self._waiting.add(request)
        return request


class _GatedRequest:
    """A request between its arrival and its start."""

    def __init__(
        self,
        organisation: Organisation,
        quotas: QuotaDecisions,
        steps: GatedSteps,
        leave: 'Callable[[_GatedRequest], None]',
    ) -> None:
        self.ticket = 0
        self.is_waiting = False
        self.is_decided = False
        self.exchange: Exchange | None = None
        self._organisation = organisation
        self._quotas = quotas
        self._steps = steps
        self._leave = leave

    def decide(self, decision: LetIn | TurnAway) -> None:
        """Starts or refuses the request."""
        if self.is_decided:
            return
        self.is_decided = True
        self._leave(self)
        if isinstance(decision, TurnAway):
            self._quotas.count_refused(self._organisation)
            over = RejectionReason.OVER_QUOTA
            self._steps.reject(Rejected(over, decision.retry_after))
            return
        give_back = self._quotas.keep_for_return(
            self._organisation, decision.source
        )
        try:
            self.exchange = self._steps.start(give_back)
        except Exception:
            if self.is_waiting:
                self._steps.fail()
            raise

    def give_up(self) -> None:
        """Turns the request away, which has used nothing of its quota."""
        if not self.is_decided:
            self._forget()
            self._steps.turn_away()

    def abandon(self) -> None:
        """Drops the request, because the caller has disconnected."""
        if self.exchange is not None:
            self.exchange.abandon()
        elif not self.is_decided:
            self._forget()

    def _forget(self) -> None:
        self.is_decided = True
        self._leave(self)
        self._quotas.cancel(self._organisation, self.ticket)
