"""Gathers replies for entry hosts into few messages."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

from almonddock_core.model import SubReply, TargetId, TargetLoad
from almonddock_wire import SubReplyBatch

#: Takes the replies for one entry host.
Answer = Callable[[SubReplyBatch], None]

MeasureTargets = Callable[[Iterable[TargetId]], tuple[TargetLoad, ...]]


class ReplyOutbox:
    """Sends the replies of one turn of the event loop in one message."""

    def __init__(self, measure: MeasureTargets) -> None:
        self._measure = measure
        self._outgoing: dict[Answer, list[SubReply]] = defaultdict(list)
        self._flushing = False

    def add(self, answer: Answer, reply: SubReply) -> None:
        """Sends a reply at the end of this turn."""
        self._outgoing[answer].append(reply)
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        outgoing = self._outgoing
        self._outgoing = defaultdict(list)
        for answer, replies in outgoing.items():
            loads = self._measure({reply.target for reply in replies})
            answer(SubReplyBatch(tuple(replies), loads))
