"""Replies of a stand-in target, with the faults that falsify them."""

from collections.abc import Mapping

from almonddock_standins.target._faults import Faults


def build_echo(asked: Mapping[str, str]) -> dict[str, str]:
    """Returns the headers that every reply repeats from its request."""
    return {name: asked[name] for name in ('x-attempt-id', 'x-shard')}


class Replies:
    """Builds the headers of replies and remembers the one before."""

    def __init__(self) -> None:
        self._before: dict[str, str] | None = None

    def build(
        self,
        asked: Mapping[str, str],
        faults: Faults,
    ) -> dict[str, str]:
        """Returns what was read and for which attempt."""
        version = int(asked['x-index-version'])
        shard = asked['x-shard']
        if faults.wrong_version:
            version += 1
        if faults.wrong_shard:
            shard = f'{shard}-other'
        reply = {
            **build_echo(asked),
            'x-shard': shard,
            'x-index-version': str(version),
        }
        before = self._before
        self._before = reply
        if faults.crossed and before is not None:
            return before
        return reply
