"""The sending side of one relayed query."""

from collections.abc import Callable

from almonddock_core.dispatch import (
    Failure,
    ReplyGroup,
    ReplyKind,
    TargetReply,
)
from almonddock_gateway.relays._messages import (
    LinkMessage,
    MessageLink,
    PartFailure,
    RelayQuery,
    RelayReply,
)
from almonddock_gateway.relays._router import LinkDirectory, RelayRouter

#: The status of every part of a merged reply.
OK = 200

#: The number of an attempt, and its reply or failure.
Outcome = tuple[int, TargetReply | Failure]


class Relay:
    """Converts replies of the relaying host to outcomes of attempts."""

    def __init__(
        self,
        router: RelayRouter,
        link: MessageLink,
        attempts: tuple[int, ...],
        receive: Callable[[list[Outcome]], None],
    ) -> None:
        assert router.links is not None
        self._links: LinkDirectory = router.links
        self._link = link
        self._attempts = attempts
        self._parts = {number: part for part, number in enumerate(attempts)}
        self._receive = receive
        self._record_costs = router.costs.record
        #: Parts without an outcome yet.
        self._pending = dict(enumerate(attempts))
        self._cancelled: list[int] = []
        #: The number of the query on its link.
        self.number = self._links.allocate_number()

    def send_query(self, query: RelayQuery) -> None:
        """Sends the query."""
        self._links.send_query(self._link, query, self._handle_message)

    def cancel(self, attempt: int) -> None:
        """Marks an attempt as cancelled; :meth:`send_cancelled` sends it."""
        part = self._parts.get(attempt)
        if part is not None and self._pending.pop(part, None) is not None:
            self._cancelled.append(part)

    def send_cancelled(self) -> None:
        """Sends the cancelled parts to the other host in one message."""
        if self._cancelled:
            self._links.cancel(self._link, self.number, self._cancelled)
            self._cancelled = []

    def end(self) -> None:
        """Cancels the remaining parts; later replies are ignored."""
        self._cancelled.extend(self._pending)
        self._pending = {}
        self.send_cancelled()
        self._links.forget(self._link, self.number)

    def _handle_message(self, reply: LinkMessage | None) -> None:
        if not isinstance(reply, RelayReply) or not self._has_parts(reply):
            lost = tuple(self._pending.values())
            self._pending = {}
            self._receive([(attempt, Failure.LOST) for attempt in lost])
            return
        self._record_costs(reply.costs)
        outcomes = self._read_parts(reply)
        for part, failure in reply.failures:
            outcomes.append((self._attempts[part], _read_failure(failure)))
            self._pending.pop(part, None)
        self._receive(outcomes)

    def _has_parts(self, reply: RelayReply) -> bool:
        """Whether the lists of the reply fit each other and the query."""
        if not len(reply.parts) == len(reply.stamps) == len(reply.elapsed):
            return False
        named = [*reply.parts, *(part for part, _ in reply.failures)]
        if not named:
            return True
        return min(named) >= 0 and max(named) < len(self._attempts)

    def _read_parts(self, reply: RelayReply) -> list[Outcome]:
        """Returns the replies, of which several share their records."""
        is_alone = len(self._attempts) == 1
        group = None if is_alone else ReplyGroup(reply.records)
        outcomes: list[Outcome] = []
        for part, stamp, elapsed in zip(
            reply.parts,
            reply.stamps,
            reply.elapsed,
            strict=True,
        ):
            self._pending.pop(part, None)
            success = TargetReply(
                kind=ReplyKind.SUCCESS,
                status=OK,
                headers=(),
                body=reply.records if is_alone else b'',
                stamp=stamp,
                group=group,
                elapsed=elapsed,
            )
            outcomes.append((self._attempts[part], success))
        return outcomes


def _read_failure(failure: PartFailure) -> TargetReply | Failure:
    if failure is PartFailure.UNSENT:
        return Failure.UNSENT
    if failure is PartFailure.LOST:
        return Failure.LOST
    kind = ReplyKind[failure.name]
    return TargetReply(kind, 0, (), b'', None)
