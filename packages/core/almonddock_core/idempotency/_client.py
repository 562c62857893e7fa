"""The entry host's side of a claim."""

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

#: A grant that comes later than this after its claim is left unanswered.
MEMORY = timedelta(minutes=2)

#: Returns the host that owns the partition of a key, None without a host.
FindOwner = Callable[[KeyDigest], HostId | None]


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Send the claim to the owner of its partition."""

    claim: Claim
    owner: HostId


@dataclass(frozen=True, slots=True)
class SendFinish:
    """Send the report to the owner of its partition."""

    finish: Finish
    owner: HostId


@dataclass(frozen=True, slots=True)
class Settle:
    """The one decision that counts for a claim.

    On a :class:`Grant` run the request and then call
    :meth:`ClaimClient.finish`; else answer the caller.
    """

    decision: Decision


ClientAction = SendClaim | SendFinish | Settle


class _State(enum.Enum):
    """How far a claim has come."""

    WAITING = 'waiting'
    #: Granted to the request, which may have run.
    USED = 'used'
    #: Given up; the request never ran and never will.
    UNUSED = 'unused'


@dataclass(slots=True)
class _Open:
    claim: Claim
    since: timedelta
    owner: HostId | None
    state: _State = _State.WAITING


class ClaimClient:
    """Turns claims into one decision each, whatever becomes of owners.

    Each request runs on at most one grant. A grant that comes after its
    request was given up frees the key again; one for a request that ran is
    ignored.
    """

    def __init__(self, find_owner: FindOwner) -> None:
        self._find_owner = find_owner
        #: Claims by request in the order of their arrival.
        self._open: dict[RequestId, _Open] = {}
        self._waiting: dict[RequestId, _Open] = {}

    def claim(self, claim: Claim, now: timedelta) -> list[ClientAction]:
        """Sends a new claim, once for each request."""
        opened = _Open(claim, now, owner=None)
        self._open[claim.request_id] = opened
        self._waiting[claim.request_id] = opened
        return self._send(opened)

    def receive(
        self,
        decision: Decision,
        now: timedelta,
    ) -> list[ClientAction]:
        """Takes a decision from an owner."""
        opened = self._open.get(decision.claim.request_id)
        if opened is None:
            return []
        if opened.state is _State.WAITING and now >= opened.claim.deadline:
            # A host that was paused must not use a grant of long ago.
            return self._give_up(opened)
        if opened.state is _State.WAITING:
            granted = isinstance(decision, Grant)
            opened.state = _State.USED if granted else _State.UNUSED
            self._waiting.pop(decision.claim.request_id)
            return [Settle(decision)]
        if opened.state is _State.UNUSED and isinstance(decision, Grant):
            return self._report(opened.claim, recorded=None)
        return []

    def finish(
        self,
        request_id: RequestId,
        recorded: Recorded | None,
    ) -> list[ClientAction]:
        """Reports a granted request's end; None says that it did not run."""
        opened = self._open[request_id]
        if recorded is None:
            opened.state = _State.UNUSED
        return self._report(opened.claim, recorded)

    def lose_owner(self, host: HostId) -> list[ClientAction]:
        """Sends claims again that were waiting at a host that is gone."""
        return [
            action
            for opened in self._waiting.values()
            if opened.owner == host
            for action in self._send(opened)
        ]

    def tick(self, now: timedelta) -> list[ClientAction]:
        """Refuses claims whose time is up and forgets old ones."""
        self._forget_old(now)
        overdue = [
            opened
            for opened in self._waiting.values()
            if now >= opened.claim.deadline
        ]
        return [action for one in overdue for action in self._give_up(one)]

    def _forget_old(self, now: timedelta) -> None:
        while self._open:
            request_id, opened = next(iter(self._open.items()))
            if now - opened.since < MEMORY:
                return
            self._open.pop(request_id)
            self._waiting.pop(request_id, None)

    def _send(self, opened: _Open) -> list[ClientAction]:
        opened.owner = self._find_owner(opened.claim.key)
        if opened.owner is None:
            return []
        return [SendClaim(opened.claim, opened.owner)]

    def _give_up(self, opened: _Open) -> list[ClientAction]:
        opened.state = _State.UNUSED
        claim = opened.claim
        self._waiting.pop(claim.request_id)
        refusal = Refuse(claim, Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE)
        return [Settle(refusal), *self._report(claim, recorded=None)]

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
