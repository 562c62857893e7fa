"""Encodes and decodes claims of idempotency keys, decisions and outcomes."""

from datetime import timedelta
from types import MappingProxyType
from typing import Any

from almonddock_core.idempotency import (
    Claim,
    Decision,
    Finish,
    Grant,
    KeyDigest,
    Recorded,
    Refuse,
    Repeat,
)
from almonddock_core.model import Outcome, RequestId
from almonddock_wire._sub_replies import REASON_CODES, REASONS
from almonddock_wire._times import count_microseconds, make_duration

#: The code of a member on the wire is its position, so new members are added at
#: the end of the enumeration.
OUTCOMES = tuple(Outcome)
OUTCOME_CODES = MappingProxyType(
    {outcome: code for code, outcome in enumerate(OUTCOMES)},
)

#: The code of an absent outcome, for example of a request that did not run.
ABSENT = -1


def write_claim(frame: Any, claim: Claim, now: timedelta) -> None:
    """Fills a frame with a claim."""
    _fill_claim(frame.init('claim'), claim, now)


def read_claim(message: Any, now: timedelta) -> Claim:
    """Returns the claim, with its deadline on the receiver's clock."""
    return Claim(
        key=KeyDigest(message.key),
        request_id=RequestId(message.requestId),
        fingerprint=message.fingerprint,
        deadline=now + make_duration(message.remaining),
    )


def write_finish(frame: Any, finish: Finish, now: timedelta) -> None:
    """Fills a frame with the outcome of a request."""
    message = frame.init('finish')
    message.key = finish.key
    message.requestId = finish.request_id
    if finish.recorded is not None:
        _fill_recorded(message.recorded, finish.recorded)


def read_finish(message: Any, now: timedelta) -> Finish:
    """Returns the outcome of a request."""
    return Finish(
        key=KeyDigest(message.key),
        request_id=RequestId(message.requestId),
        recorded=_read_recorded(message.recorded),
    )


def write_decision(frame: Any, decision: Decision, now: timedelta) -> None:
    """Fills a frame with the decision on a claim."""
    message = frame.init('decision')
    _fill_claim(message.init('claim'), decision.claim, now)
    if isinstance(decision, Refuse):
        message.refused = OUTCOME_CODES[decision.outcome]
        message.reason = REASON_CODES[decision.reason]
    elif isinstance(decision, Repeat):
        _fill_recorded(message.recorded, decision.recorded)


def read_decision(message: Any, now: timedelta) -> Decision:
    """Returns the decision on a claim."""
    claim = read_claim(message.claim, now)
    if message.refused != ABSENT:
        return Refuse(claim, OUTCOMES[message.refused], REASONS[message.reason])
    recorded = _read_recorded(message.recorded)
    return Grant(claim) if recorded is None else Repeat(claim, recorded)


def _fill_claim(message: Any, claim: Claim, now: timedelta) -> None:
    message.key = claim.key
    message.requestId = claim.request_id
    message.fingerprint = claim.fingerprint
    message.remaining = count_microseconds(claim.deadline - now)


def _fill_recorded(message: Any, recorded: Recorded) -> None:
    message.outcome = OUTCOME_CODES[recorded.outcome]
    message.answer = recorded.answer


def _read_recorded(message: Any) -> Recorded | None:
    if message.outcome == ABSENT:
        return None
    return Recorded(OUTCOMES[message.outcome], bytes(message.answer))
