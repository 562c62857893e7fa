"""The real owner side over fake targets."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial

from almonddock_core.deployment import Target
from almonddock_core.model import (
    AttemptId,
    HostId,
    SubQuery,
    SubReply,
    TargetId,
    TargetLoad,
)
from almonddock_core.owners import (
    Dispatch,
    OwnedTarget,
    OwnerAction,
    OwnerSettings,
    Reply,
)
from bench.tail.links import Links
from bench.tail.target import FakeTarget

Receive = Callable[[SubReply, TargetLoad], None]


class OwnerSide:
    """All owned targets; callers add the delay of the link to the owner."""

    def __init__(
        self,
        links: Links,
        targets: Mapping[TargetId, Target],
        owners: Mapping[TargetId, HostId],
        fakes: Mapping[TargetId, FakeTarget],
    ) -> None:
        self._links = links
        self._owners = owners
        self._fakes = fakes
        self._receivers: dict[AttemptId, Receive] = {}
        self._owned = {
            name: OwnedTarget(
                target,
                OwnerSettings(),
                timedelta(),
                taken_over=False,
            )
            for name, target in targets.items()
        }

    def offer(self, sub: SubQuery, receive: Receive) -> None:
        """Takes a sub-query; ``receive`` is called when the owner replies."""
        loop = self._links.loop
        owned = self._owned[sub.target]
        self._receivers[sub.attempt_id] = receive
        self._execute(sub.target, owned.offer(sub, loop.now))
        loop.call_at(sub.deadline, partial(self._tick, sub.target))

    def cancel(self, target: TargetId, attempt_id: AttemptId) -> None:
        """Cancels a try."""
        owned = self._owned[target]
        self._execute(target, owned.cancel(attempt_id, self._links.loop.now))

    def _tick(self, target: TargetId) -> None:
        self._execute(target, self._owned[target].tick(self._links.loop.now))

    def _receive_reply(self, target: TargetId, reply: SubReply) -> None:
        owned = self._owned[target]
        self._execute(target, owned.receive_reply(reply, self._links.loop.now))

    def _respond(self, target: TargetId, reply: SubReply) -> None:
        receive = partial(self._receive_reply, target, reply)
        self._links.call_target(self._owners[target], target, receive)

    def _execute(self, target: TargetId, actions: list[OwnerAction]) -> None:
        fake = self._fakes[target]
        owner = self._owners[target]
        for action in actions:
            if isinstance(action, Reply):
                load = self._owned[target].measure(self._links.loop.now)
                receive = self._receivers.pop(action.reply.attempt_id)
                receive(action.reply, load)
            elif isinstance(action, Dispatch):
                respond = partial(self._respond, target)
                start = partial(fake.start, action.sub, respond)
                self._links.call_target(owner, target, start)
            else:
                cancel = partial(fake.cancel, action.attempt_id)
                self._links.call_target(owner, target, cancel)
