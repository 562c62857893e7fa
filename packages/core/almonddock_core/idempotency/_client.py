"""The client side of claims, on the entry host."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._entries import Recorded
from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.idempotency._messages import (
    Claim,
    Decision,
    Finish,
    Grant,
    Refuse,
)
from almonddock_core.model import HostId, Outcome, Reason, RequestId

#: Claims are kept this long; a grant that arrives later is ignored.
CLAIM_RETENTION = timedelta(minutes=2)

#: Returns the owner of a key's partition, None if there is no host.
FindOwner = Callable[[KeyDigest], HostId | None]


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Send the claim to the owner of its partition."""

    claim: Claim
    owner: HostId


@dataclass(frozen=True, slots=True)
class SendFinish:
    """Send the outcome report to the owner of its partition."""

    finish: Finish
    owner: HostId


@dataclass(frozen=True, slots=True)
class FinalDecision:
    """The final decision on a claim, issued once.

    After a :class:`Grant`, run the request and then call
    :meth:`ClaimClient.finish`; otherwise answer the caller.
    """

    decision: Decision


ClientAction = SendClaim | SendFinish | FinalDecision


class _State(enum.Enum):
    """The progress of a claim."""

    WAITING = 'waiting'
    #: Granted; the request may have run.
    USED = 'used'
    #: Not granted, timed out or reported as not run; the request never runs.
    UNUSED = 'unused'


@dataclass(slots=True)
class _OpenClaim:
    claim: Claim
    since: timedelta
    owner: HostId | None
    state: _State = _State.WAITING


class ClaimClient:
    """Produces one decision per claim, even if owners fail or change.

    Each request uses at most one grant. A grant that arrives after its claim
    was given up is released, so that the key is free again; a second grant of
    a request that ran is ignored.
    """

    def __init__(self, find_owner: FindOwner) -> None:
        self._find_owner = find_owner
        #: Claims by request id, in order of arrival.
        self._open: dict[RequestId, _OpenClaim] = {}
        self._waiting: dict[RequestId, _OpenClaim] = {}

    def claim(self, claim: Claim, now: timedelta) -> list[ClientAction]:
        """Sends a new claim; call it once for each request."""
        opened = _OpenClaim(claim, now, owner=None)
        self._open[claim.request_id] = opened
        self._waiting[claim.request_id] = opened
        return self._send(opened)

    def receive(
        self,
        decision: Decision,
        now: timedelta,
    ) -> list[ClientAction]:
        """Handles a decision from an owner."""
        opened = self._open.get(decision.claim.request_id)
        if opened is None:
            return []
        if opened.state is _State.WAITING and now >= opened.claim.deadline:
            # A host that was paused must not use an outdated grant.
            return self._give_up(opened)
        if opened.state is _State.WAITING:
            granted = isinstance(decision, Grant)
            opened.state = _State.USED if granted else _State.UNUSED
            self._waiting.pop(decision.claim.request_id)
            return [FinalDecision(decision)]
        if opened.state is _State.UNUSED and isinstance(decision, Grant):
            return self._report(opened.claim, recorded=None)
        return []

    def finish(
        self,
        request_id: RequestId,
        recorded: Recorded | None,
    ) -> list[ClientAction]:
        """Reports the outcome of a granted request, None if it did not run."""
        opened = self._open[request_id]
        if recorded is None:
            opened.state = _State.UNUSED
        return self._report(opened.claim, recorded)

    def handle_lost_owner(self, host: HostId) -> list[ClientAction]:
        """Resends the claims that were waiting at a lost host."""
        return [
            action
            for opened in self._waiting.values()
            if opened.owner == host
            for action in self._send(opened)
        ]

    def tick(self, now: timedelta) -> list[ClientAction]:
        """Refuses claims past their deadline and drops old ones."""
        self._drop_old(now)
        overdue = [
            opened
            for opened in self._waiting.values()
            if now >= opened.claim.deadline
        ]
        return [
            action for opened in overdue for action in self._give_up(opened)
        ]

    def _drop_old(self, now: timedelta) -> None:
        while self._open:
            request_id, opened = next(iter(self._open.items()))
            if now - opened.since < CLAIM_RETENTION:
                return
            self._open.pop(request_id)
            self._waiting.pop(request_id, None)

    def _send(self, opened: _OpenClaim) -> list[ClientAction]:
        opened.owner = self._find_owner(opened.claim.key)
        if opened.owner is None:
            return []
        return [SendClaim(opened.claim, opened.owner)]

    def _give_up(self, opened: _OpenClaim) -> list[ClientAction]:
        opened.state = _State.UNUSED
        claim = opened.claim
        self._waiting.pop(claim.request_id)
        refusal = Refuse(claim, Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE)
        return [FinalDecision(refusal), *self._report(claim, recorded=None)]

    def _report(
        self,
        claim: Claim,
        recorded: Recorded | None,
    ) -> list[ClientAction]:
        owner = self._find_owner(claim.key)
        if owner is None:
            return []
        finish = Finish(claim.key, claim.request_id, recorded)
        return [SendFinish(finish, owner)]
