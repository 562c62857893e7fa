"""Sends one request to one target, or to one target of every shard.

A host keeps one :class:`DispatchContext` for all its requests. For each, build
a :class:`Dispatch`, call ``start``, and carry out the actions that it and
every later call return::

    dispatch = Dispatch(request, context)
    actions = dispatch.start(now)
    actions = dispatch.receive(attempt, reply, now)
    actions = dispatch.fail(attempt, Failure.UNSENT, now)
    actions = dispatch.tick(now)  # no later than ``dispatch.wake_at``

:class:`Send`, :class:`Cancel` and :class:`Withdraw` concern one attempt;
:class:`Finish` is returned exactly once, unless the caller leaves first and
``abandon`` is called.
"""

from almonddock_core.dispatch._actions import (
    Action,
    Answer,
    Cancel,
    Failure,
    Finish,
    ForwardedAnswer,
    MergedAnswer,
    Refusal,
    RefusalReason,
    Send,
    Withdraw,
)
from almonddock_core.dispatch._budget import (
    BudgetLimits,
    RetryBudget,
)
from almonddock_core.dispatch._context import DispatchContext
from almonddock_core.dispatch._counter import SlidingWindowCounter
from almonddock_core.dispatch._decision_log import (
    AttemptOutcome,
    AttemptReason,
    AttemptRecord,
    DecisionLog,
    UnavailableService,
)
from almonddock_core.dispatch._dispatch import Dispatch
from almonddock_core.dispatch._hedging import HedgeHistory
from almonddock_core.dispatch._lending import Lending, LoanOffer
from almonddock_core.dispatch._loans import GRANT_TERM
from almonddock_core.dispatch._outcome import count_needed, is_answer_due
from almonddock_core.dispatch._records import (
    RECORD_BYTES,
    find_threshold,
    merge_records,
    merge_replies,
    trim_reply,
)
from almonddock_core.dispatch._requests import (
    DispatchedRequest,
    ReplyGroup,
    ReplyKind,
    TargetReply,
)
from almonddock_core.dispatch._sending import AnswerSending, SendingDelay
from almonddock_core.dispatch._timing import (
    HEDGE_SHARE,
    PARTIAL_SHARE,
    DispatchTiming,
    plan_timing,
)

__all__ = [
    'HEDGE_SHARE',
    'PARTIAL_SHARE',
    'RECORD_BYTES',
    'Action',
    'Answer',
    'AnswerSending',
    'AttemptOutcome',
    'AttemptReason',
    'AttemptRecord',
    'BudgetLimits',
    'Cancel',
    'DecisionLog',
    'Dispatch',
    'DispatchContext',
    'DispatchTiming',
    'DispatchedRequest',
    'Failure',
    'Finish',
    'ForwardedAnswer',
    'GRANT_TERM',
    'HedgeHistory',
    'Lending',
    'LoanOffer',
    'MergedAnswer',
    'Refusal',
    'RefusalReason',
    'ReplyGroup',
    'ReplyKind',
    'RetryBudget',
    'Send',
    'SendingDelay',
    'SlidingWindowCounter',
    'TargetReply',
    'UnavailableService',
    'Withdraw',
    'count_needed',
    'find_threshold',
    'is_answer_due',
    'merge_records',
    'merge_replies',
    'plan_timing',
    'trim_reply',
]
