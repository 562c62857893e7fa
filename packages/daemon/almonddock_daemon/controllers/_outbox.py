"""Batches the replies to each entry host."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

from almonddock_core.model import SubReply, TargetId, TargetLoad
from almonddock_wire import SubReplyBatch

#: Sends a batch of replies to one entry host.
SendReplies = Callable[[SubReplyBatch], None]

MeasureTargets = Callable[[Iterable[TargetId]], tuple[TargetLoad, ...]]


class ReplyOutbox:
    """Sends the replies added in one event loop iteration in one message."""

    def __init__(self, measure: MeasureTargets) -> None:
        self._measure = measure
        self._outgoing: dict[SendReplies, list[SubReply]] = defaultdict(list)
        self._flushing = False

    def add(self, send_replies: SendReplies, reply: SubReply) -> None:
        """Sends a reply in the next event loop iteration."""
        self._outgoing[send_replies].append(reply)
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        outgoing = self._outgoing
        self._outgoing = defaultdict(list)
        for send_replies, replies in outgoing.items():
            loads = self._measure({reply.target for reply in replies})
            send_replies(SubReplyBatch(tuple(replies), loads))
